#include "version/documents.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <iterator>

namespace banyanwall::version {

namespace json = boost::json;

namespace {

/// Reads the fields of a JSON object and records the first error.
class FieldReader
{
public:
    explicit FieldReader(const json::value &value)
        : m_object(value.if_object())
    {
        if (m_object == nullptr) {
            m_problem = "the value is not an object";
        }
    }

    std::uint64_t number(std::string_view key)
    {
        const auto *value = find(key);
        boost::system::error_code error;
        const auto number = value != nullptr && value->is_number()
                ? value->to_number<std::uint64_t>(error)
                : std::uint64_t { 0 };
        if (value != nullptr && (!value->is_number() || error)) {
            fail(key, "an unsigned integer");
        }
        return number;
    }

    std::string text(std::string_view key)
    {
        const auto *value = find(key);
        if (value == nullptr) {
            return {};
        }
        if (!value->is_string()) {
            fail(key, "a string");
            return {};
        }
        return std::string(value->get_string());
    }

    bool flag(std::string_view key)
    {
        const auto *value = find(key);
        if (value != nullptr && !value->is_bool()) {
            fail(key, "true or false");
        }
        return value != nullptr && value->is_bool() && value->get_bool();
    }

    common::Endpoint endpoint(std::string_view key)
    {
        const auto parsed = common::parseEndpoint(text(key));
        if (!parsed) {
            fail(key, "an address \"ip:port\"");
        }
        return parsed.value_or(common::Endpoint {});
    }

    std::vector<std::string> texts(std::string_view key)
    {
        std::vector<std::string> texts;
        for (const auto &element : elements(key)) {
            if (!element.is_string()) {
                fail(key, "an array of strings");
                return {};
            }
            texts.emplace_back(element.get_string());
        }
        return texts;
    }

    json::array elements(std::string_view key)
    {
        const auto *value = find(key);
        if (value == nullptr || !value->is_array()) {
            if (value != nullptr) {
                fail(key, "an array");
            }
            return {};
        }
        return value->get_array();
    }

    [[nodiscard]] bool has(std::string_view key) const
    {
        return m_object != nullptr && m_object->contains(key);
    }

    void adoptProblemOf(const FieldReader &element)
    {
        if (m_problem.empty()) {
            m_problem = element.m_problem;
        }
    }

    void fail(std::string_view key, std::string_view rule)
    {
        if (m_problem.empty()) {
            m_problem = "field '" + std::string(key) + "' must be " + std::string(rule);
        }
    }

    template<typename T>
    common::Result<T> finish(T value) const
    {
        if (!m_problem.empty()) {
            return common::Error { "invalid_document", m_problem };
        }
        return value;
    }

private:
    const json::value *find(std::string_view key)
    {
        const auto *value = m_object == nullptr ? nullptr : m_object->if_contains(key);
        if (value == nullptr && m_problem.empty()) {
            m_problem = "field '" + std::string(key) + "' is missing";
        }
        return value;
    }

    const json::object *m_object;
    std::string m_problem;
};

template<typename T, typename Read>
common::Result<T> parseWith(std::string_view text, const Read &read)
{
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    if (error) {
        return common::Error { "invalid_document", "not JSON: " + error.message() };
    }
    FieldReader reader(value);
    auto result = read(reader);
    return reader.finish(std::move(result));
}

/// Reads the fields that a document and its history entries have in common.
template<typename T>
void readVersion(FieldReader &reader, T &target)
{
    target.version = reader.number("version");
    target.author = reader.text("author");
    target.drainedUpstreams = reader.texts("drained_upstreams");
}

template<typename T>
json::object versionObject(const T &source)
{
    return { { "version", source.version },
             { "author", source.author },
             { "drained_upstreams",
               json::array(source.drainedUpstreams.begin(), source.drainedUpstreams.end()) } };
}

/// Sets the text of each history entry without one to that of the next entry.
void fillOmittedTexts(ContractDocument &document, const std::vector<bool> &hasText)
{
    for (std::size_t i = document.history.size(); i-- > 0;) {
        if (!hasText[i]) {
            document.history[i].toml =
                    i + 1 < document.history.size() ? document.history[i + 1].toml : document.toml;
        }
    }
}

} // namespace

common::Result<ContractDocument> parseContractDocument(std::string_view json)
{
    return parseWith<ContractDocument>(json, [](FieldReader &reader) {
        ContractDocument document;
        readVersion(reader, document);
        document.toml = reader.text("toml");
        std::vector<bool> hasText;
        for (const auto &element : reader.elements("history")) {
            FieldReader entry(element);
            auto &version = document.history.emplace_back();
            readVersion(entry, version);
            hasText.push_back(entry.has("toml"));
            version.toml = hasText.back() ? entry.text("toml") : "";
            reader.adoptProblemOf(entry);
        }
        fillOmittedTexts(document, hasText);
        return document;
    });
}

std::string formatContractDocument(const ContractDocument &document)
{
    auto object = versionObject(document);
    object["toml"] = document.toml;
    json::array history;
    for (std::size_t i = 0; i < document.history.size(); ++i) {
        const auto &entry = document.history[i];
        const auto &following =
                i + 1 < document.history.size() ? document.history[i + 1].toml : document.toml;
        auto version = versionObject(entry);
        if (entry.toml != following) {
            version["toml"] = entry.toml;
        }
        history.push_back(std::move(version));
    }
    object["history"] = std::move(history);
    return json::serialize(object);
}

std::string formatContractForInstances(ContractDocument document)
{
    document.history.clear();
    return formatContractDocument(document);
}

common::Result<ZoneStates> parseZoneStates(std::string_view json)
{
    return parseWith<ZoneStates>(json, [](FieldReader &reader) {
        ZoneStates states;
        states.version = reader.number("version");
        for (const auto &element : reader.elements("zones")) {
            FieldReader entry(element);
            ZoneState state;
            state.name = entry.text("name");
            state.withdrawn = entry.flag("withdrawn");
            const auto share = entry.number("returning_share_percent");
            if (share > 100) {
                entry.fail("returning_share_percent", "at most 100");
            }
            state.returningSharePercent = static_cast<std::uint32_t>(share);
            states.zones.push_back(std::move(state));
            reader.adoptProblemOf(entry);
        }
        return states;
    });
}

std::string formatZoneStates(const ZoneStates &states)
{
    json::array zones;
    for (const auto &zone : states.zones) {
        zones.push_back(json::object { { "name", zone.name },
                                       { "withdrawn", zone.withdrawn },
                                       { "returning_share_percent", zone.returningSharePercent } });
    }
    return json::serialize(json::object { { "version", states.version }, { "zones", zones } });
}

common::Result<InstanceRecord> parseInstanceRecord(std::string_view json)
{
    return parseWith<InstanceRecord>(json, [](FieldReader &reader) {
        InstanceRecord record;
        record.name = reader.text("name");
        record.zone = reader.text("zone");
        record.incarnation = reader.number("incarnation");
        record.fabric = reader.endpoint("fabric");
        record.peer = reader.endpoint("peer");
        record.admin = reader.endpoint("admin");
        record.leaving = reader.flag("leaving");
        return record;
    });
}

std::string formatInstanceRecord(const InstanceRecord &record)
{
    return json::serialize(json::object { { "name", record.name },
                                          { "zone", record.zone },
                                          { "incarnation", record.incarnation },
                                          { "fabric", common::toString(record.fabric) },
                                          { "peer", common::toString(record.peer) },
                                          { "admin", common::toString(record.admin) },
                                          { "leaving", record.leaving } });
}

ContractDocument nextVersion(const ContractDocument &current, std::string toml, std::string author,
                             std::vector<std::string> drainedUpstreams)
{
    ContractDocument next;
    next.version = current.version + 1;
    next.toml = std::move(toml);
    next.author = std::move(author);
    next.drainedUpstreams = std::move(drainedUpstreams);
    std::ranges::sort(next.drainedUpstreams);
    next.history = current.history;
    next.history.push_back({ next.version, next.toml, next.author, next.drainedUpstreams });
    while (next.history.size() > ContractDocument::HistoryLength
           || (next.history.size() > 1
               && formatContractDocument(next).size() > ContractDocument::MaximumBytes)) {
        next.history.erase(next.history.begin());
    }
    return next;
}

} // namespace banyanwall::version
