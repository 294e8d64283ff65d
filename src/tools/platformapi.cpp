#include "tools/platformapi.h"

#include "process/base64.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace banyanwall::tools {

namespace json = boost::json;

namespace {

// Codes of gRPC as the JSON gateway of etcd reports them.
constexpr int InvalidArgument = 3;
constexpr int NotFound = 5;

/// Internal signal of a request that is answered with an error.
class RequestError : public std::runtime_error
{
public:
    RequestError(unsigned status, int code, const std::string &message)
        : std::runtime_error(message)
        , m_status(status)
        , m_code(code)
    { }

    [[nodiscard]] ApiAnswer answer() const
    {
        return { m_status,
                 json::serialize(json::object {
                         { "error", what() }, { "code", m_code }, { "message", what() } }) };
    }

private:
    unsigned m_status;
    int m_code;
};

RequestError invalid(const std::string &message)
{
    return { 400, InvalidArgument, message };
}

const json::object &objectOf(const json::value &value)
{
    if (!value.is_object()) {
        throw invalid("an object was expected");
    }
    return value.get_object();
}

std::int64_t integer(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr) {
        return 0;
    }
    if (value->is_int64()) {
        return value->get_int64();
    }
    std::int64_t number = 0;
    if (const auto *text = value->if_string()) {
        const auto *last = text->data() + text->size();
        if (std::from_chars(text->data(), last, number).ptr == last) {
            return number;
        }
    }
    throw invalid(std::string(key) + " must be an integer");
}

std::string text(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::string bytes(const json::object &object, std::string_view key)
{
    auto decoded = process::decodeBase64(text(object, key));
    if (!decoded) {
        throw invalid(std::string(key) + " must be base64");
    }
    return std::move(*decoded);
}

KeyRange rangeOf(const json::object &request)
{
    KeyRange range { bytes(request, "key"), bytes(request, "range_end") };
    if (range.begin.empty() && range.end.empty()) {
        throw invalid("key is not provided");
    }
    return range;
}

json::object entryObject(const std::string &key, const PlatformEntry &entry)
{
    json::object object { { "key", process::encodeBase64(key) },
                          { "create_revision", std::to_string(entry.createRevision) },
                          { "mod_revision", std::to_string(entry.modRevision) },
                          { "version", std::to_string(entry.version) },
                          { "value", process::encodeBase64(entry.value) } };
    if (entry.lease != 0) {
        object["lease"] = std::to_string(entry.lease);
    }
    return object;
}

json::object eventObject(const PlatformEvent &event)
{
    if (event.entry) {
        return { { "kv", entryObject(event.key, *event.entry) } };
    }
    return { { "type", "DELETE" },
             { "kv",
               json::object { { "key", process::encodeBase64(event.key) },
                              { "mod_revision", std::to_string(event.revision) } } } };
}

bool compares(std::string_view result, bool equal, bool greater)
{
    if (result == "GREATER") {
        return greater;
    }
    if (result == "LESS") {
        return !greater && !equal;
    }
    return result == "NOT_EQUAL" ? !equal : equal;
}

std::string watchLine(const json::object &result)
{
    return json::serialize(json::object { { "result", result } }) + "\n";
}

} // namespace

PlatformApi::PlatformApi(PlatformStore &store)
    : m_store(store)
{ }

ApiAnswer PlatformApi::handle(std::string_view target, std::string_view body, common::TimePoint now)
{
    m_store.expire(now);
    try {
        const auto request = json::parse(body);
        return dispatch(target, objectOf(request), now);
    } catch (const RequestError &error) {
        return error.answer();
    } catch (const boost::system::system_error &error) {
        return invalid(error.what()).answer();
    }
}

ApiAnswer PlatformApi::dispatch(std::string_view target, const Object &request,
                                common::TimePoint now)
{
    if (target == "/v3/kv/range") {
        return { 200, json::serialize(range(request)) };
    }
    if (target == "/v3/kv/txn") {
        return txn(request, now);
    }
    const auto lease = integer(request, "ID");
    if (target == "/v3/lease/grant") {
        const auto ttl = integer(request, "TTL");
        if (ttl <= 0) {
            throw invalid("TTL must be positive");
        }
        const auto id = m_store.grant(ttl, now);
        return { 200,
                 json::serialize(Object { { "header", header() },
                                          { "ID", std::to_string(id) },
                                          { "TTL", std::to_string(ttl) } }) };
    }
    if (target == "/v3/lease/keepalive") {
        Object result { { "header", header() }, { "ID", std::to_string(lease) } };
        if (const auto ttl = m_store.keepAlive(lease, now); ttl > 0) {
            result["TTL"] = std::to_string(ttl);
        }
        return { 200, watchLine(result) };
    }
    if (target == "/v3/lease/revoke") {
        if (!m_store.revoke(lease, now)) {
            throw RequestError(404, NotFound, "requested lease not found");
        }
        return { 200, json::serialize(Object { { "header", header() } }) };
    }
    throw RequestError(404, NotFound, "Not Found");
}

PlatformApi::Object PlatformApi::header() const
{
    return { { "revision", std::to_string(m_store.revision()) } };
}

PlatformApi::Object PlatformApi::range(const Object &request) const
{
    const auto entries = m_store.range(rangeOf(request));
    Object answer { { "header", header() } };
    if (!entries.empty()) {
        json::array kvs;
        for (const auto &[key, entry] : entries) {
            kvs.push_back(entryObject(key, entry));
        }
        answer["kvs"] = std::move(kvs);
        answer["count"] = std::to_string(entries.size());
    }
    return answer;
}

bool PlatformApi::holds(const Object &compare) const
{
    const auto *entry = m_store.find(bytes(compare, "key"));
    const PlatformEntry actual = entry == nullptr ? PlatformEntry {} : *entry;
    const auto target = text(compare, "target");
    const auto result = text(compare, "result");
    const auto number = [&](std::int64_t value, std::string_view key) {
        const auto expected = integer(compare, key);
        return compares(result, value == expected, value > expected);
    };
    if (target == "MOD") {
        return number(actual.modRevision, "mod_revision");
    }
    if (target == "CREATE") {
        return number(actual.createRevision, "create_revision");
    }
    if (target == "LEASE") {
        return number(actual.lease, "lease");
    }
    if (target == "VALUE") {
        const auto expected = bytes(compare, "value");
        return entry != nullptr
                && compares(result, actual.value == expected, actual.value > expected);
    }
    return number(actual.version, "version");
}

ApiAnswer PlatformApi::txn(const Object &request, common::TimePoint now)
{
    const auto list = [&request](std::string_view key) {
        const auto *value = request.if_contains(key);
        return value != nullptr && value->is_array() ? value->get_array() : json::array();
    };
    const auto compares = list("compare");
    const bool succeeded = std::ranges::all_of(
            compares, [this](const json::value &compare) { return holds(objectOf(compare)); });
    const auto operations = list(succeeded ? "success" : "failure");
    // Checked before the first write, so that a transaction fails as a whole.
    const bool writes = std::ranges::any_of(operations, [this](const json::value &operation) {
        const auto *put = objectOf(operation).if_contains("request_put");
        const auto lease = put == nullptr ? 0 : integer(objectOf(*put), "lease");
        if (lease != 0 && !m_store.hasLease(lease)) {
            throw RequestError(404, NotFound, "requested lease not found");
        }
        return put != nullptr || objectOf(operation).contains("request_delete_range");
    });
    if (writes) {
        m_store.beginRevision();
    }
    json::array responses;
    for (const auto &operation : operations) {
        responses.push_back(runOperation(objectOf(operation), now));
    }
    Object answer { { "header", header() }, { "responses", std::move(responses) } };
    if (succeeded) {
        answer["succeeded"] = true;
    }
    return { 200, json::serialize(answer) };
}

PlatformApi::Object PlatformApi::runOperation(const Object &operation, common::TimePoint now)
{
    if (const auto *value = operation.if_contains("request_put")) {
        const auto &put = objectOf(*value);
        m_store.put(bytes(put, "key"), bytes(put, "value"), integer(put, "lease"), now);
        return { { "response_put", Object { { "header", header() } } } };
    }
    if (const auto *value = operation.if_contains("request_delete_range")) {
        const auto deleted = m_store.remove(rangeOf(objectOf(*value)), now);
        return { { "response_delete_range",
                   Object { { "header", header() }, { "deleted", std::to_string(deleted) } } } };
    }
    if (const auto *value = operation.if_contains("request_range")) {
        return { { "response_range", range(objectOf(*value)) } };
    }
    throw invalid("unknown operation");
}

std::optional<WatchRequest> PlatformApi::parseWatch(std::string_view body)
{
    try {
        const auto value = json::parse(body);
        const auto &request = objectOf(objectOf(value).at("create_request"));
        const auto *progress = request.if_contains("progress_notify");
        return WatchRequest { rangeOf(request), integer(request, "start_revision"),
                              progress != nullptr && progress->is_bool() && progress->get_bool() };
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string PlatformApi::watchCreated() const
{
    return watchLine({ { "header", header() }, { "created", true } });
}

std::string PlatformApi::watchProgress() const
{
    return watchLine({ { "header", header() } });
}

std::string PlatformApi::watchCompacted() const
{
    return watchLine({ { "header", header() },
                       { "canceled", true },
                       { "compact_revision", std::to_string(m_store.oldestRevision()) } });
}

std::string PlatformApi::watchEvents(const std::vector<PlatformEvent> &events) const
{
    json::array list;
    std::ranges::transform(events, std::back_inserter(list), eventObject);
    return watchLine({ { "header", header() }, { "events", std::move(list) } });
}

std::string PlatformApi::instanceList(const PlatformStore::Entries &entries)
{
    json::array list;
    for (const auto &[key, entry] : entries) {
        boost::system::error_code error;
        auto value = json::parse(entry.value, error);
        list.push_back(error ? json::value(nullptr) : std::move(value));
    }
    return json::serialize(Object { { "instances", std::move(list) } });
}

} // namespace banyanwall::tools
