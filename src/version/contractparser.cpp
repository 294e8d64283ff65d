#include "version/contractparser.h"

#include "common/hash.h"
#include "common/ids.h"
#include "version/tomlreader.h"

#include <algorithm>
#include <map>
#include <set>

namespace banyanwall::version {

namespace {

constexpr std::size_t MaximumZones = 16;
constexpr std::size_t MaximumServices = 1'000;
constexpr std::size_t MaximumUpstreams = 1'000;
constexpr IntegerRange SlotRange { 1, 1'000 };
constexpr IntegerRange ConnectionRange { 1, 1'000'000 };
constexpr IntegerRange RateRange { 1, 1'000'000 };
constexpr IntegerRange LongestRequestRangeMs { 10, 600'000 };
constexpr IntegerRange UsualLatencyRangeMs { 1, 60'000 };
constexpr IntegerRange IdleLimitRangeSeconds { 1, 86'400 };
constexpr IntegerRange PercentRange { 0, 100 };
constexpr std::uint32_t DefaultLongestRequestMs = 10'000;
constexpr std::uint32_t DefaultUsualLatencyMs = 50;
constexpr std::uint32_t DefaultIdleLimitSeconds = 60;
constexpr std::string_view UrlRule =
        "an HTTP URL with IP number and port such as \"http://127.0.0.1:8090/notice\"";

/// Names of one kind. Detects names that are equal or have equal ids.
class NameRegister
{
public:
    explicit NameRegister(std::string kind)
        : m_kind(std::move(kind))
    { }

    /// Adds a name. Returns the error text if the name is rejected; empty if it is accepted.
    std::string add(const std::string &name, const std::string &qualifiedName)
    {
        const auto id = static_cast<std::uint32_t>(common::hashBytes(qualifiedName));
        const auto [entry, added] = m_ids.emplace(id, name);
        if (added) {
            // Bucket maps use id 0 for "no upstream".
            return id == 0 ? "the name has a reserved id, choose another one" : "";
        }
        if (entry->second == name) {
            return "duplicate " + m_kind + " name '" + name + "', names must be unique";
        }
        return "the id of " + m_kind + " '" + name + "' collides with that of '" + entry->second
                + "', choose another name";
    }

private:
    std::string m_kind;
    std::map<std::uint32_t, std::string> m_ids;
};

/// Reads one contract. Keeps the names and addresses that must be unique in the whole contract.
class ContractReader
{
public:
    explicit ContractReader(const TomlReader &root)
        : m_root(root)
    { }

    Contract read()
    {
        m_contract.customer = m_root.requiredName("customer");
        readZones();
        const TomlReader::Keys serviceKeys {
            "name",
            "address",
            "slots_per_upstream",
            "connections_per_upstream",
            "requests_per_second",
            "longest_request_ms",
            "usual_latency_ms",
            "idle_limit_s",
            "group",
            "cutover",
        };
        for (const auto &reader : m_root.requiredTables("service", serviceKeys, MaximumServices)) {
            m_contract.services.push_back(readService(reader));
        }
        return std::move(m_contract);
    }

private:
    void readZones()
    {
        m_contract.zones = m_root.requiredNames("zones");
        if (m_contract.zones.size() > MaximumZones) {
            m_root.fail("zones", "must have at most " + std::to_string(MaximumZones) + " zones");
        }
        NameRegister names("zone");
        for (const auto &zone : m_contract.zones) {
            check(m_root, "zones", names.add(zone, zone));
        }
    }

    ServiceContract readService(const TomlReader &reader)
    {
        ServiceContract service;
        service.name = reader.requiredName("name");
        check(reader, "name",
              m_serviceNames.add(service.name, m_contract.customer + "/" + service.name));
        service.address = readAddress(reader);
        service.slotsPerUpstream = reader.requiredInteger("slots_per_upstream", SlotRange);
        service.connectionsPerUpstream =
                reader.requiredInteger("connections_per_upstream", ConnectionRange);
        service.requestsPerSecond = reader.requiredInteger("requests_per_second", RateRange);
        service.longestRequest = std::chrono::milliseconds(reader.integer(
                "longest_request_ms", LongestRequestRangeMs, DefaultLongestRequestMs));
        service.usualLatency = std::chrono::milliseconds(
                reader.integer("usual_latency_ms", UsualLatencyRangeMs, DefaultUsualLatencyMs));
        service.idleLimit = std::chrono::seconds(
                reader.integer("idle_limit_s", IdleLimitRangeSeconds, DefaultIdleLimitSeconds));
        if (service.usualLatency > service.longestRequest
            && !reader.hasFailed("longest_request_ms")) {
            reader.fail("usual_latency_ms", "must be at most longest_request_ms");
        }
        readGroups(reader, service);
        readCutover(reader, service);
        return service;
    }

    void readGroups(const TomlReader &reader, ServiceContract &service)
    {
        NameRegister groupNames("group");
        NameRegister upstreamNames("upstream");
        for (const auto &groupReader : reader.requiredTables("group", { "name", "upstream" }, 2)) {
            UpstreamGroup group;
            group.name = groupReader.requiredName("name");
            check(groupReader, "name", groupNames.add(group.name, group.name));
            for (const auto &entry : groupReader.requiredTables(
                         "upstream", { "name", "zone", "address" }, MaximumUpstreams)) {
                auto upstream = readUpstream(entry);
                check(entry, "name",
                      upstreamNames.add(upstream.name,
                                        m_contract.customer + "/" + service.name + "/"
                                                + upstream.name));
                group.upstreams.push_back(std::move(upstream));
            }
            service.groups.push_back(std::move(group));
        }
    }

    UpstreamSpec readUpstream(const TomlReader &reader)
    {
        UpstreamSpec upstream;
        upstream.name = reader.requiredName("name");
        upstream.zone = reader.requiredName("zone");
        if (!m_root.hasFailed("zones")
            && std::ranges::find(m_contract.zones, upstream.zone) == m_contract.zones.end()) {
            reader.fail("zone", "must be one of the contract's zones, is '" + upstream.zone + "'");
        }
        upstream.address = readAddress(reader);
        return upstream;
    }

    common::Endpoint readAddress(const TomlReader &reader)
    {
        const auto address = reader.requiredEndpoint("address");
        if (!m_addresses.insert(address).second) {
            reader.fail("address",
                        "duplicate address " + common::toString(address)
                                + ", addresses of services and upstreams must be unique");
        }
        return address;
    }

    static void readCutover(const TomlReader &reader, ServiceContract &service)
    {
        const auto cutoverReader = reader.table(
                "cutover", { "from", "to", "share_percent", "compare_percent", "notice_url" });
        if (!cutoverReader) {
            if (service.groups.size() > 1) {
                reader.fail("cutover", "is missing, must be a table when there are two groups");
            }
            return;
        }
        CutoverSpec cutover;
        cutover.fromGroup = cutoverReader->requiredName("from");
        cutover.toGroup = cutoverReader->requiredName("to");
        cutover.sharePercent = cutoverReader->requiredInteger("share_percent", PercentRange);
        cutover.comparePercent = cutoverReader->integer("compare_percent", PercentRange, 0);
        cutover.noticeUrl = cutoverReader->requiredText("notice_url", UrlRule);
        if (!parseNoticeUrl(cutover.noticeUrl)) {
            cutoverReader->fail("notice_url", "must be " + std::string(UrlRule));
        }
        checkGroup(*cutoverReader, "from", cutover.fromGroup, service);
        checkGroup(*cutoverReader, "to", cutover.toGroup, service);
        if (cutover.fromGroup == cutover.toGroup) {
            cutoverReader->fail("to", "must name another group than 'from'");
        }
        service.cutover = cutover;
    }

    static void checkGroup(const TomlReader &reader, std::string_view key, const std::string &name,
                           const ServiceContract &service)
    {
        if (std::ranges::find(service.groups, name, &UpstreamGroup::name) == service.groups.end()) {
            reader.fail(key, "must name a group of this service, is '" + name + "'");
        }
    }

    static void check(const TomlReader &reader, std::string_view key, const std::string &problem)
    {
        if (!problem.empty()) {
            reader.fail(key, problem);
        }
    }

    const TomlReader &m_root;
    Contract m_contract;
    NameRegister m_serviceNames { "service" };
    std::set<common::Endpoint> m_addresses;
};

std::map<common::Endpoint, std::string> addressesOf(const Contract &contract)
{
    std::map<common::Endpoint, std::string> addresses;
    for (const auto &service : contract.services) {
        addresses.emplace(service.address, service.name);
        for (const auto &group : service.groups) {
            for (const auto &upstream : group.upstreams) {
                addresses.emplace(upstream.address, service.name + "/" + upstream.name);
            }
        }
    }
    return addresses;
}

} // namespace

common::Result<PlacedContract, std::vector<TomlProblem>>
parseContractWithPlaces(std::string_view toml, std::string_view sourceName)
{
    if (toml.size() > MaximumContractBytes) {
        return std::vector { TomlProblem { {},
                                           "contract",
                                           "must be at most " + std::to_string(MaximumContractBytes)
                                                   + " bytes, has "
                                                   + std::to_string(toml.size()) } };
    }
    auto document = TomlDocument::parse(toml, sourceName);
    if (!common::isOk(document)) {
        return std::vector { common::errorOf(document) };
    }
    TomlErrors errors;
    const TomlReader root(common::valueOf(document).root(), "", errors,
                          { "customer", "zones", "service" });
    auto contract = ContractReader(root).read();
    if (!errors.problems().empty()) {
        return errors.problems();
    }
    return PlacedContract { std::move(contract), common::valueOf(std::move(document)) };
}

common::Result<Contract> parseContract(std::string_view toml, std::string_view sourceName)
{
    auto parsed = parseContractWithPlaces(toml, sourceName);
    if (common::isOk(parsed)) {
        return common::valueOf(std::move(parsed)).contract;
    }
    const auto &problem = common::errorOf(parsed).front();
    const auto key = problem.key.empty() ? "" : problem.key + ": ";
    return common::Error { problem.key.empty() ? "invalid_toml" : "invalid_contract",
                           std::string(sourceName) + ":" + std::to_string(problem.place.line) + ": "
                                   + key + problem.reason };
}

std::optional<NoticeUrl> parseNoticeUrl(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme)) {
        return std::nullopt;
    }
    const auto rest = url.substr(scheme.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    const auto server = common::parseEndpoint(rest.substr(0, slash));
    const auto target = rest.substr(slash);
    // White space or control characters in the target would corrupt the HTTP request line.
    const bool printable = std::ranges::all_of(target, [](char c) { return c > ' ' && c < 127; });
    if (!server || !printable) {
        return std::nullopt;
    }
    return NoticeUrl { *server, target.empty() ? "/" : std::string(target) };
}

std::optional<common::Error> findConflict(const Contract &contract, const Contract &other)
{
    const auto conflict = [&](const std::string &problem) {
        return common::Error { "contract_conflict",
                               problem + " the contract of customer '" + other.customer + "'" };
    };
    if (common::idFromName<common::CustomerId>(contract.customer)
        == common::idFromName<common::CustomerId>(other.customer)) {
        return conflict("the id of customer '" + contract.customer + "' is used by");
    }
    const auto otherAddresses = addressesOf(other);
    for (const auto &[address, owner] : addressesOf(contract)) {
        if (otherAddresses.contains(address)) {
            return conflict("address " + common::toString(address) + " of '" + owner
                            + "' is used by '" + otherAddresses.at(address) + "' in");
        }
    }
    std::set<common::ServiceId> ids;
    for (const auto &service : other.services) {
        ids.insert(common::idFromName<common::ServiceId>(other.customer + "/" + service.name));
    }
    for (const auto &service : contract.services) {
        if (ids.contains(common::idFromName<common::ServiceId>(contract.customer + "/"
                                                               + service.name))) {
            return conflict("the id of service '" + service.name + "' is used in");
        }
    }
    return std::nullopt;
}

} // namespace banyanwall::version
