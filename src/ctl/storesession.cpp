#include "ctl/storesession.h"

namespace banyanwall::ctl {

using common::errorOf;
using common::isOk;
using common::Result;
using common::valueOf;

namespace {

template<typename T, typename Start>
Result<T> await(boost::asio::io_context &context, const Start &start)
{
    std::optional<Result<T>> answer;
    start([&answer](Result<T> result) { answer = std::move(result); });
    // A former run may have stopped the context for lack of work.
    context.restart();
    while (!answer && context.run_one() > 0) { }
    return answer ? std::move(*answer)
                  : Result<T>(common::Error { "store_unreachable", "the call was interrupted" });
}

/// Adds the key to the error of a damaged document.
common::Error damaged(const std::string &key, const common::Error &error)
{
    return { error.code, "the document '" + key + "' in the store is damaged: " + error.message };
}

template<typename T, typename Parse>
Result<Stored<T>> single(const Result<process::StoreRange> &range, const Parse &parse)
{
    if (!isOk(range)) {
        return errorOf(range);
    }
    if (valueOf(range).entries.empty()) {
        return Stored<T> {};
    }
    const auto &entry = valueOf(range).entries.front();
    auto parsed = parse(entry.value);
    if (!isOk(parsed)) {
        return damaged(entry.key, errorOf(parsed));
    }
    return Stored<T> { entry.key, entry.modRevision, valueOf(std::move(parsed)) };
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

Result<std::vector<Stored<version::ContractDocument>>> StoreSession::contracts()
{
    const auto entries = range(std::string(version::ContractKeyPrefix));
    if (!isOk(entries)) {
        return errorOf(entries);
    }
    std::vector<Stored<version::ContractDocument>> documents;
    for (const auto &entry : valueOf(entries).entries) {
        auto parsed = version::parseContractDocument(entry.value);
        if (!isOk(parsed)) {
            return damaged(entry.key, errorOf(parsed));
        }
        documents.push_back({ entry.key, entry.modRevision, valueOf(std::move(parsed)) });
    }
    return documents;
}

Result<Stored<version::ContractDocument>> StoreSession::contract(const std::string &customer)
{
    return single<version::ContractDocument>(get(contractKey(customer)),
                                             version::parseContractDocument);
}

Result<Stored<version::ZoneStates>> StoreSession::zones()
{
    return single<version::ZoneStates>(get(std::string(version::ZonesKey)),
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
            return damaged(entry.key, errorOf(parsed));
        }
        records.push_back(valueOf(std::move(parsed)));
    }
    return records;
}

} // namespace banyanwall::ctl
