#include "ctl/storesession.h"

namespace banyanwall::ctl {

using common::errorOf;
using common::isOk;
using common::Result;
using common::valueOf;

namespace {

/// Starts an asynchronous call and runs the io_context until the handler of the call has its
/// result.
template<typename T, typename Start>
Result<T> await(boost::asio::io_context &context, const Start &start)
{
    std::optional<Result<T>> callResult;
    start([&callResult](Result<T> result) { callResult = std::move(result); });
    // The io_context stops when it runs out of work, so it has to be restarted for each call.
    context.restart();
    while (!callResult && context.run_one() > 0) { }
    return callResult
            ? std::move(*callResult)
            : Result<T>(common::Error { "store_unreachable", "the call was interrupted" });
}

/// Adds the document key to the error of a document that cannot be parsed.
common::Error damagedDocumentError(const std::string &key, const common::Error &error)
{
    return { error.code, "the document '" + key + "' in the store is damaged: " + error.message };
}

/// Parses the document of a read of one key; revision 0 when the key does not exist.
template<typename T, typename Parse>
Result<StoredDocument<T>> parseSingleDocument(const Result<process::StoreRange> &range,
                                              const Parse &parse)
{
    if (!isOk(range)) {
        return errorOf(range);
    }
    if (valueOf(range).entries.empty()) {
        return StoredDocument<T> {};
    }
    const auto &entry = valueOf(range).entries.front();
    auto parsed = parse(entry.value);
    if (!isOk(parsed)) {
        return damagedDocumentError(entry.key, errorOf(parsed));
    }
    return StoredDocument<T> { entry.key, entry.modRevision, valueOf(std::move(parsed)) };
}

} // namespace

std::string contractKey(const std::string &customer)
{
    return std::string(version::ContractKeyPrefix) + customer;
}

StoreSession::StoreSession(boost::asio::io_context &context, process::StoreSettings settings,
                           std::uint64_t seed)
    : m_context(context)
    , m_client(context, std::move(settings), seed)
{ }

Result<process::StoreRange> StoreSession::range(const std::string &prefix)
{
    return await<process::StoreRange>(
            m_context, [&](const auto &handler) { m_client.range(prefix, handler); });
}

Result<process::StoreRange> StoreSession::get(const std::string &key)
{
    return await<process::StoreRange>(m_context,
                                      [&](const auto &handler) { m_client.get(key, handler); });
}

Result<process::PutOutcome>
StoreSession::write(const std::string &key, std::int64_t expectedRevision, const std::string &value)
{
    return await<process::PutOutcome>(m_context, [&](const auto &handler) {
        m_client.compareAndPut(key, expectedRevision, value, 0, handler);
    });
}

Result<std::vector<StoredDocument<version::ContractDocument>>> StoreSession::contracts()
{
    const auto entries = range(std::string(version::ContractKeyPrefix));
    if (!isOk(entries)) {
        return errorOf(entries);
    }
    std::vector<StoredDocument<version::ContractDocument>> documents;
    for (const auto &entry : valueOf(entries).entries) {
        auto parsed = version::parseContractDocument(entry.value);
        if (!isOk(parsed)) {
            return damagedDocumentError(entry.key, errorOf(parsed));
        }
        documents.push_back({ entry.key, entry.modRevision, valueOf(std::move(parsed)) });
    }
    return documents;
}

Result<StoredDocument<version::ContractDocument>>
StoreSession::contract(const std::string &customer)
{
    return parseSingleDocument<version::ContractDocument>(get(contractKey(customer)),
                                                          version::parseContractDocument);
}

Result<StoredDocument<version::ZoneStates>> StoreSession::zones()
{
    return parseSingleDocument<version::ZoneStates>(get(std::string(version::ZonesKey)),
                                                    version::parseZoneStates);
}

Result<std::vector<version::InstanceRecord>> StoreSession::instances()
{
    const auto entries = range(std::string(version::InstanceKeyPrefix));
    if (!isOk(entries)) {
        return errorOf(entries);
    }
    std::vector<version::InstanceRecord> records;
    for (const auto &entry : valueOf(entries).entries) {
        auto parsed = version::parseInstanceRecord(entry.value);
        if (!isOk(parsed)) {
            return damagedDocumentError(entry.key, errorOf(parsed));
        }
        records.push_back(valueOf(std::move(parsed)));
    }
    return records;
}

} // namespace banyanwall::ctl
