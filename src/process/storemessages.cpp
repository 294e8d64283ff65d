#include "process/storemessages.h"

#include "process/base64.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <charconv>
#include <stdexcept>

namespace banyanwall::process {

namespace json = boost::json;

namespace {

/// Thrown for a malformed response; parseWith() turns it into an error.
class ProtocolError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

const json::object &objectOf(const json::value &value)
{
    const auto *object = value.if_object();
    if (object == nullptr) {
        throw ProtocolError("a JSON object was expected");
    }
    return *object;
}

/// 0 when the field is missing, because the store omits fields with the value 0.
std::int64_t integerField(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr) {
        return 0;
    }
    if (const auto *number = value->if_int64()) {
        return *number;
    }
    std::int64_t number = 0;
    const auto *text = value->if_string();
    if (text != nullptr) {
        const auto parsed = std::from_chars(text->data(), text->data() + text->size(), number);
        if (parsed.ec == std::errc() && parsed.ptr == text->data() + text->size()) {
            return number;
        }
    }
    throw ProtocolError("field '" + std::string(key) + "' must be an integer");
}

std::string bytesField(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr) {
        return {};
    }
    const auto *text = value->if_string();
    auto decoded = text == nullptr ? std::nullopt : decodeBase64({ text->data(), text->size() });
    if (!decoded) {
        throw ProtocolError("field '" + std::string(key) + "' must be base64");
    }
    return std::move(*decoded);
}

const json::object &objectField(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr) {
        throw ProtocolError("field '" + std::string(key) + "' is missing");
    }
    return objectOf(*value);
}

json::array arrayField(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_array()) {
        throw ProtocolError("field '" + std::string(key) + "' must be an array");
    }
    return value->get_array();
}

StoreEntry entryOf(const json::object &object)
{
    return { bytesField(object, "key"), bytesField(object, "value"),
             integerField(object, "create_revision"), integerField(object, "mod_revision"),
             integerField(object, "lease") };
}

std::int64_t headerRevision(const json::object &response)
{
    return integerField(objectField(response, "header"), "revision");
}

StoreRange rangeOf(const json::object &response, std::int64_t revision)
{
    StoreRange range { revision, {} };
    for (const auto &entry : arrayField(response, "kvs")) {
        range.entries.push_back(entryOf(objectOf(entry)));
    }
    return range;
}

template<typename T, typename Read>
common::Result<T> parseWith(std::string_view body, const Read &read)
{
    try {
        const auto value = json::parse(body);
        return read(objectOf(value));
    } catch (const ProtocolError &error) {
        return common::Error { "store_protocol", error.what() };
    } catch (const boost::system::system_error &error) {
        return common::Error { "store_protocol", error.what() };
    }
}

std::string integerString(std::int64_t value)
{
    return std::to_string(value);
}

} // namespace

std::string prefixEnd(std::string_view prefix)
{
    std::string end(prefix);
    while (!end.empty() && end.back() == '\xff') {
        end.pop_back();
    }
    if (end.empty()) {
        // For etcd, a range end of a single zero byte means all keys from the start key on.
        return { '\0' };
    }
    end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
    return end;
}

std::string rangeRequest(std::string_view key, std::string_view rangeEnd)
{
    json::object request { { "key", encodeBase64(key) } };
    if (!rangeEnd.empty()) {
        request["range_end"] = encodeBase64(rangeEnd);
    }
    return json::serialize(request);
}

std::string putRequest(std::string_view key, std::int64_t expectedModRevision,
                       std::string_view value, std::int64_t lease)
{
    const auto encodedKey = encodeBase64(key);
    const json::object compare { { "key", encodedKey },
                                 { "target", "MOD" },
                                 { "result", "EQUAL" },
                                 { "mod_revision", integerString(expectedModRevision) } };
    const json::object put { { "key", encodedKey },
                             { "value", encodeBase64(value) },
                             { "lease", integerString(lease) } };
    const json::object success { { "request_put", put } };
    const json::object failure { { "request_range", json::object { { "key", encodedKey } } } };
    return json::serialize(json::object { { "compare", json::array { compare } },
                                          { "success", json::array { success } },
                                          { "failure", json::array { failure } } });
}

std::string grantRequest(std::int64_t ttlSeconds)
{
    return json::serialize(json::object { { "TTL", integerString(ttlSeconds) } });
}

std::string leaseRequest(std::int64_t lease)
{
    return json::serialize(json::object { { "ID", integerString(lease) } });
}

std::string watchRequest(std::string_view prefix, std::int64_t fromRevision)
{
    const json::object create { { "key", encodeBase64(prefix) },
                                { "range_end", encodeBase64(prefixEnd(prefix)) },
                                { "start_revision", integerString(fromRevision) },
                                { "progress_notify", true } };
    return json::serialize(json::object { { "create_request", create } });
}

common::Result<StoreRange> parseRange(std::string_view body)
{
    return parseWith<StoreRange>(body, [](const json::object &response) {
        return rangeOf(response, headerRevision(response));
    });
}

common::Result<PutOutcome> parsePut(std::string_view body)
{
    return parseWith<PutOutcome>(body, [](const json::object &response) {
        PutOutcome outcome;
        const auto *succeeded = response.if_contains("succeeded");
        outcome.applied = succeeded != nullptr && succeeded->is_bool() && succeeded->get_bool();
        if (outcome.applied) {
            outcome.modRevision = headerRevision(response);
            return outcome;
        }
        for (const auto &operation : arrayField(response, "responses")) {
            const auto range = rangeOf(objectField(objectOf(operation), "response_range"), 0);
            if (!range.entries.empty()) {
                outcome.current = range.entries.front();
            }
        }
        return outcome;
    });
}

common::Result<std::int64_t> parseGrant(std::string_view body)
{
    return parseWith<std::int64_t>(body, [](const json::object &response) {
        const auto lease = integerField(response, "ID");
        if (lease == 0) {
            throw ProtocolError("field 'ID' is missing");
        }
        return lease;
    });
}

common::Result<std::int64_t> parseKeepAlive(std::string_view body)
{
    return parseWith<std::int64_t>(body, [](const json::object &response) {
        return integerField(objectField(response, "result"), "TTL");
    });
}

common::Result<WatchBatch> parseWatchLine(std::string_view line)
{
    return parseWith<WatchBatch>(line, [](const json::object &response) {
        const auto &result = objectField(response, "result");
        WatchBatch batch;
        batch.revision = headerRevision(result);
        batch.compacted = integerField(result, "compact_revision") != 0;
        for (const auto &element : arrayField(result, "events")) {
            const auto &object = objectOf(element);
            const auto *type = object.if_contains("type");
            batch.events.push_back(
                    { type != nullptr && *type == "DELETE", entryOf(objectField(object, "kv")) });
        }
        return batch;
    });
}

} // namespace banyanwall::process
