#include "version/rosterbuilder.h"

#include "common/hash.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace banyanwall::version {

namespace {

/// Share of each upstream of a group, in percent.
using GroupShares = std::map<std::string, std::uint32_t>;

class RosterBuilder
{
public:
    RosterBuilder(const Contract &contract, const std::vector<std::string> &drainedUpstreams,
                  const ZoneStates &zones)
        : m_contract(contract)
        , m_drained(drainedUpstreams.begin(), drainedUpstreams.end())
    {
        std::ranges::for_each(zones.zones,
                              [this](const ZoneState &zone) { m_zones[zone.name] = zone; });
    }

    ServiceRoster build(const ServiceContract &service, common::RosterVersion version) const
    {
        ServiceRoster roster;
        roster.customer = common::idFromName<common::CustomerId>(m_contract.customer);
        roster.service =
                common::idFromName<common::ServiceId>(m_contract.customer + "/" + service.name);
        roster.address = service.address;
        roster.version = version;
        roster.slotsPerUpstream = service.slotsPerUpstream;
        roster.connectionsPerUpstream = service.connectionsPerUpstream;
        roster.requestsPerSecond = service.requestsPerSecond;
        roster.longestRequest = service.longestRequest;
        roster.usualLatency = service.usualLatency;
        roster.idleLimit = service.idleLimit;
        roster.comparePercent = service.cutover ? service.cutover->comparePercent : 0;
        const auto shares = groupShares(service);
        for (const auto &group : service.groups) {
            const bool isTarget = service.cutover && service.cutover->toGroup == group.name;
            std::ranges::transform(group.upstreams, std::back_inserter(roster.upstreams),
                                   [&](const UpstreamSpec &spec) {
                                       auto entry = upstream(service, spec, shares.at(group.name));
                                       entry.isCutoverTarget = isTarget;
                                       return entry;
                                   });
        }
        std::ranges::sort(roster.upstreams, {}, &RosterUpstream::id);
        return roster;
    }

private:
    UpstreamState stateOf(const ServiceContract &service, const UpstreamSpec &spec) const
    {
        const auto zone = m_zones.find(spec.zone);
        if (zone != m_zones.end() && zone->second.withdrawn) {
            return UpstreamState::Withdrawn;
        }
        return m_drained.contains(service.name + "/" + spec.name) ? UpstreamState::Draining
                                                                  : UpstreamState::Active;
    }

    RosterUpstream upstream(const ServiceContract &service, const UpstreamSpec &spec,
                            std::uint32_t groupShare) const
    {
        RosterUpstream result;
        result.id = common::idFromName<common::UpstreamId>(m_contract.customer + "/" + service.name
                                                           + "/" + spec.name);
        result.zone = common::idFromName<common::ZoneId>(spec.zone);
        result.address = spec.address;
        result.state = stateOf(service, spec);
        const auto zone = m_zones.find(spec.zone);
        const auto zoneShare =
                zone == m_zones.end() ? 100U : std::min(zone->second.returningSharePercent, 100U);
        // Rounded up, so that a share above zero does not become zero.
        result.sharePercent = (groupShare * zoneShare + 99) / 100;
        return result;
    }

    std::uint64_t activeCount(const ServiceContract &service, const UpstreamGroup &group) const
    {
        return static_cast<std::uint64_t>(
                std::ranges::count_if(group.upstreams, [&](const UpstreamSpec &spec) {
                    return stateOf(service, spec) == UpstreamState::Active;
                }));
    }

    GroupShares groupShares(const ServiceContract &service) const
    {
        GroupShares shares;
        std::uint64_t heaviest = 0;
        std::map<std::string, std::uint64_t> weights;
        for (const auto &group : service.groups) {
            const auto active = std::max<std::uint64_t>(activeCount(service, group), 1);
            const auto share = groupPercent(service, group.name);
            // Scaled up before the integer division, which otherwise rounds the weights of large
            // groups.
            weights[group.name] = share * 1'000'000 / active;
            heaviest = std::max(heaviest, weights[group.name]);
        }
        for (const auto &[name, weight] : weights) {
            shares[name] = heaviest == 0
                    ? 0
                    : static_cast<std::uint32_t>((weight * 100 + heaviest - 1) / heaviest);
        }
        return shares;
    }

    static std::uint64_t groupPercent(const ServiceContract &service, const std::string &group)
    {
        if (!service.cutover) {
            return 100;
        }
        const auto &cutover = *service.cutover;
        if (group == cutover.toGroup) {
            return cutover.sharePercent;
        }
        return group == cutover.fromGroup ? 100 - cutover.sharePercent : 0;
    }

    const Contract &m_contract;
    std::set<std::string> m_drained;
    std::map<std::string, ZoneState> m_zones;
};

} // namespace

common::RosterVersion rosterVersionOf(std::uint64_t contractVersion, std::uint64_t zoneVersion)
{
    return common::RosterVersion((contractVersion << 32U) | (zoneVersion & 0xffffffffU));
}

std::vector<ServiceRoster> buildRosters(const Contract &contract, std::uint64_t contractVersion,
                                        const std::vector<std::string> &drainedUpstreams,
                                        const ZoneStates &zones)
{
    const RosterBuilder builder(contract, drainedUpstreams, zones);
    const auto version = rosterVersionOf(contractVersion, zones.version);
    std::vector<ServiceRoster> rosters;
    std::ranges::transform(
            contract.services, std::back_inserter(rosters),
            [&](const ServiceContract &service) { return builder.build(service, version); });
    return rosters;
}

} // namespace banyanwall::version
