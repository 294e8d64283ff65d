#include "ctl/contractchanges.h"

#include "ctl/contractlookup.h"

#include <algorithm>
#include <array>
#include <map>

namespace banyanwall::ctl {

using version::Contract;
using version::ServiceContract;
using version::UpstreamSpec;

namespace {

/// An upstream of a service and the path of its entry in the contract.
struct PlacedUpstream
{
    const UpstreamSpec *spec;
    std::string key;
};

/// Upstreams of all groups of a service by name. A name occurs once in a service.
std::map<std::string, PlacedUpstream> placedUpstreamsOf(const ServiceContract &service,
                                                        const std::string &serviceKey)
{
    std::map<std::string, PlacedUpstream> upstreams;
    for (std::size_t group = 0; group < service.groups.size(); ++group) {
        const auto &specs = service.groups[group].upstreams;
        for (std::size_t index = 0; index < specs.size(); ++index) {
            auto key = serviceKey + "." + version::elementKey("group", group) + "."
                    + version::elementKey("upstream", index);
            upstreams.emplace(specs[index].name, PlacedUpstream { &specs[index], std::move(key) });
        }
    }
    return upstreams;
}

struct LimitField
{
    LimitChanged::Limit limit;
    const char *key;
    std::uint64_t (*valueOf)(const ServiceContract &);
};

constexpr std::array LimitFields {
    LimitField { LimitChanged::Limit::Slots, "slots_per_upstream",
                 [](const ServiceContract &service) {
                     return std::uint64_t { service.slotsPerUpstream };
                 } },
    LimitField { LimitChanged::Limit::Connections, "connections_per_upstream",
                 [](const ServiceContract &service) {
                     return std::uint64_t { service.connectionsPerUpstream };
                 } },
    LimitField { LimitChanged::Limit::RequestsPerSecond, "requests_per_second",
                 [](const ServiceContract &service) {
                     return std::uint64_t { service.requestsPerSecond };
                 } },
    LimitField { LimitChanged::Limit::LongestRequestMs, "longest_request_ms",
                 [](const ServiceContract &service) {
                     return static_cast<std::uint64_t>(service.longestRequest.count());
                 } },
    LimitField { LimitChanged::Limit::UsualLatencyMs, "usual_latency_ms",
                 [](const ServiceContract &service) {
                     return static_cast<std::uint64_t>(service.usualLatency.count());
                 } },
    LimitField { LimitChanged::Limit::IdleLimitS, "idle_limit_s",
                 [](const ServiceContract &service) {
                     return static_cast<std::uint64_t>(service.idleLimit.count());
                 } },
};

/// Compares a service with the one of the same name in force.
class ServiceComparison
{
public:
    ServiceComparison(const ServiceContract &former, const ServiceContract &next, std::string key,
                      const std::vector<std::string> &drainedUpstreams)
        : m_former(former)
        , m_next(next)
        , m_key(std::move(key))
        , m_drained(drainedUpstreams)
    { }

    std::vector<Finding> run()
    {
        if (m_former.address != m_next.address) {
            add(Severity::Warning, "address",
                AddressChanged { EntryKind::Service, m_next.name, m_former.address,
                                 m_next.address });
        }
        compareUpstreams();
        compareLimits();
        compareCutover();
        return std::move(m_findings);
    }

private:
    void add(Severity severity, const std::string &key, FindingDetail detail)
    {
        m_findings.push_back({ severity, m_key + "." + key, std::move(detail) });
    }

    std::string qualified(const std::string &upstream) const
    {
        return m_next.name + "/" + upstream;
    }

    void compareUpstreams()
    {
        const auto former = placedUpstreamsOf(m_former, m_key);
        const auto next = placedUpstreamsOf(m_next, m_key);
        for (const auto &[name, upstream] : former) {
            if (!next.contains(name)) {
                reportRemoval(name);
            }
        }
        for (const auto &[name, upstream] : next) {
            const auto found = former.find(name);
            if (found == former.end()) {
                m_findings.push_back({ Severity::Note, upstream.key,
                                       EntryAdded { EntryKind::Upstream, qualified(name) } });
            } else {
                compareUpstream(*found->second.spec, upstream);
            }
        }
        if (former.size() != next.size()) {
            add(Severity::Note, "group",
                UpstreamCountChanged { m_next.name, former.size(), next.size() });
        }
    }

    void reportRemoval(const std::string &name)
    {
        const bool isDrained = std::ranges::find(m_drained, qualified(name)) != m_drained.end();
        add(isDrained ? Severity::Note : Severity::Warning, "group",
            EntryRemoved { EntryKind::Upstream, qualified(name), isDrained });
    }

    void compareUpstream(const UpstreamSpec &former, const PlacedUpstream &next)
    {
        const auto &spec = *next.spec;
        if (former.address != spec.address) {
            m_findings.push_back({ Severity::Warning, next.key + ".address",
                                   AddressChanged { EntryKind::Upstream, qualified(spec.name),
                                                    former.address, spec.address } });
        }
        if (former.zone != spec.zone) {
            m_findings.push_back(
                    { Severity::Warning, next.key + ".zone",
                      UpstreamZoneChanged { qualified(spec.name), former.zone, spec.zone } });
        }
    }

    void compareLimits()
    {
        for (const auto &field : LimitFields) {
            const auto former = field.valueOf(m_former);
            const auto next = field.valueOf(m_next);
            // The usual latency is a figure that other limits are derived from, and no limit.
            const bool isStricter =
                    next < former && field.limit != LimitChanged::Limit::UsualLatencyMs;
            if (former != next) {
                add(isStricter ? Severity::Warning : Severity::Note, field.key,
                    LimitChanged { field.limit, former, next });
            }
        }
    }

    void compareCutover()
    {
        if (const auto error = checkCutoverStep(m_former, m_next)) {
            add(Severity::Error, "cutover.share_percent", CutoverStepExceeded { error->message });
        }
        if (const auto change = shareChangeOf(m_former, m_next)) {
            add(Severity::Note, "cutover.share_percent", ShareMoved { *change });
        }
    }

    const ServiceContract &m_former;
    const ServiceContract &m_next;
    std::string m_key;
    const std::vector<std::string> &m_drained;
    std::vector<Finding> m_findings;
};

void compareZones(const Contract &former, const Contract &next, std::vector<Finding> &findings)
{
    const auto lacks = [](const Contract &contract, const std::string &zone) {
        return std::ranges::find(contract.zones, zone) == contract.zones.end();
    };
    for (const auto &zone : former.zones) {
        if (lacks(next, zone)) {
            findings.push_back({ Severity::Note, "zones", EntryRemoved { EntryKind::Zone, zone } });
        }
    }
    for (const auto &zone : next.zones) {
        if (lacks(former, zone)) {
            findings.push_back({ Severity::Note, "zones", EntryAdded { EntryKind::Zone, zone } });
        }
    }
}

} // namespace

std::vector<Finding> findChanges(const ContractInForce &inForce, const Contract &next)
{
    std::vector<Finding> findings;
    compareZones(inForce.contract, next, findings);
    for (const auto &service : inForce.contract.services) {
        if (findService(next, service.name) == nullptr) {
            findings.push_back({ Severity::Warning, "service",
                                 EntryRemoved { EntryKind::Service, service.name } });
        }
    }
    for (std::size_t index = 0; index < next.services.size(); ++index) {
        const auto &service = next.services[index];
        const auto key = version::elementKey("service", index);
        const auto *former = findService(inForce.contract, service.name);
        if (former == nullptr) {
            findings.push_back(
                    { Severity::Note, key, EntryAdded { EntryKind::Service, service.name } });
            continue;
        }
        std::ranges::move(ServiceComparison(*former, service, key, inForce.drainedUpstreams).run(),
                          std::back_inserter(findings));
    }
    return findings;
}

} // namespace banyanwall::ctl
