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

// gRPC status codes that the JSON gateway of etcd puts into error responses.
constexpr int InvalidArgument = 3;
constexpr int NotFound = 5;

/// Thrown while a request is handled; response() is the error response to the request.
class RequestError : public std::runtime_error
{
public:
    RequestError(unsigned status, int code, const std::string &message)
        : std::runtime_error(message)
        , m_status(status)
        , m_code(code)
    { }

    [[nodiscard]] ApiResponse response() const
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

/// Throws RequestError when the value is not an object.
const json::object &objectOf(const json::value &value)
{
    if (!value.is_object()) {
        throw invalid("an object was expected");
    }
    return value.get_object();
}

/// Value of an integer or of a decimal number in a string; 0 when the field is absent.
std::int64_t integerField(const json::object &object, std::string_view key)
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

/// Value of a string; empty when the field is absent.
std::string textField(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

/// Decoded value of a base64 string; empty when the field is absent.
std::string base64Field(const json::object &object, std::string_view key)
{
    auto decoded = process::decodeBase64(textField(object, key));
    if (!decoded) {
        throw invalid(std::string(key) + " must be base64");
    }
    return std::move(*decoded);
}

KeyRange rangeOf(const json::object &request)
{
    KeyRange range { base64Field(request, "key"), base64Field(request, "range_end") };
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

/// Whether a comparison is true. result names the operator, as in the field of the request.
bool isComparisonTrue(std::string_view result, bool isEqual, bool isGreater)
{
    if (result == "GREATER") {
        return isGreater;
    }
    if (result == "LESS") {
        return !isGreater && !isEqual;
    }
    return result == "NOT_EQUAL" ? !isEqual : isEqual;
}

std::string resultLine(const json::object &result)
{
    return json::serialize(json::object { { "result", result } }) + "\n";
}

} // namespace

PlatformApi::PlatformApi(PlatformStore &store)
    : m_store(store)
{ }

ApiResponse PlatformApi::handle(std::string_view target, std::string_view body,
                                common::TimePoint now)
{
    m_store.expire(now);
    try {
        const auto request = json::parse(body);
        return dispatch(target, objectOf(request), now);
    } catch (const RequestError &error) {
        return error.response();
    } catch (const boost::system::system_error &error) {
        return invalid(error.what()).response();
    }
}

ApiResponse PlatformApi::dispatch(std::string_view target, const Object &request,
                                  common::TimePoint now)
{
    if (target == "/v3/kv/range") {
        return { 200, json::serialize(range(request)) };
    }
    if (target == "/v3/kv/txn") {
        return runTransaction(request, now);
    }
    const auto lease = integerField(request, "ID");
    if (target == "/v3/lease/grant") {
        const auto ttl = integerField(request, "TTL");
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
        return { 200, resultLine(result) };
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
    Object response { { "header", header() } };
    if (!entries.empty()) {
        json::array kvs;
        for (const auto &[key, entry] : entries) {
            kvs.push_back(entryObject(key, entry));
        }
        response["kvs"] = std::move(kvs);
        response["count"] = std::to_string(entries.size());
    }
    return response;
}

bool PlatformApi::isSatisfied(const Object &condition) const
{
    const auto *entry = m_store.find(base64Field(condition, "key"));
    const PlatformEntry actual = entry == nullptr ? PlatformEntry {} : *entry;
    const auto target = textField(condition, "target");
    const auto result = textField(condition, "result");
    const auto compareNumber = [&](std::int64_t value, std::string_view key) {
        const auto expected = integerField(condition, key);
        return isComparisonTrue(result, value == expected, value > expected);
    };
    if (target == "MOD") {
        return compareNumber(actual.modRevision, "mod_revision");
    }
    if (target == "CREATE") {
        return compareNumber(actual.createRevision, "create_revision");
    }
    if (target == "LEASE") {
        return compareNumber(actual.lease, "lease");
    }
    if (target == "VALUE") {
        const auto expected = base64Field(condition, "value");
        return entry != nullptr
                && isComparisonTrue(result, actual.value == expected, actual.value > expected);
    }
    return compareNumber(actual.version, "version");
}

ApiResponse PlatformApi::runTransaction(const Object &request, common::TimePoint now)
{
    const auto list = [&request](std::string_view key) {
        const auto *value = request.if_contains(key);
        return value != nullptr && value->is_array() ? value->get_array() : json::array();
    };
    const auto conditions = list("compare");
    const bool succeeded = std::ranges::all_of(conditions, [this](const json::value &condition) {
        return isSatisfied(objectOf(condition));
    });
    const auto operations = list(succeeded ? "success" : "failure");
    // Leases are checked before the first write, so that a failing transaction writes nothing.
    const bool hasWrites = std::ranges::any_of(operations, [this](const json::value &operation) {
        const auto *put = objectOf(operation).if_contains("request_put");
        const auto lease = put == nullptr ? 0 : integerField(objectOf(*put), "lease");
        if (lease != 0 && !m_store.hasLease(lease)) {
            throw RequestError(404, NotFound, "requested lease not found");
        }
        return put != nullptr || objectOf(operation).contains("request_delete_range");
    });
    if (hasWrites) {
        m_store.beginRevision();
    }
    json::array responses;
    for (const auto &operation : operations) {
        responses.push_back(runOperation(objectOf(operation), now));
    }
    Object response { { "header", header() }, { "responses", std::move(responses) } };
    if (succeeded) {
        response["succeeded"] = true;
    }
    return { 200, json::serialize(response) };
}

PlatformApi::Object PlatformApi::runOperation(const Object &operation, common::TimePoint now)
{
    if (const auto *value = operation.if_contains("request_put")) {
        const auto &put = objectOf(*value);
        m_store.put(base64Field(put, "key"), base64Field(put, "value"), integerField(put, "lease"),
                    now);
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
        return WatchRequest { rangeOf(request), integerField(request, "start_revision"),
                              progress != nullptr && progress->is_bool() && progress->get_bool() };
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string PlatformApi::watchCreated() const
{
    return resultLine({ { "header", header() }, { "created", true } });
}

std::string PlatformApi::watchProgress() const
{
    return resultLine({ { "header", header() } });
}

std::string PlatformApi::watchCompacted() const
{
    return resultLine({ { "header", header() },
                        { "canceled", true },
                        { "compact_revision", std::to_string(m_store.oldestRevision()) } });
}

std::string PlatformApi::watchEvents(const std::vector<PlatformEvent> &events) const
{
    json::array list;
    std::ranges::transform(events, std::back_inserter(list), eventObject);
    return resultLine({ { "header", header() }, { "events", std::move(list) } });
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
