#include "request/upstreamchooser.h"

#include <algorithm>

namespace banyanwall::request {

namespace {

// Random draws before an exhaustive search. Sufficient unless most upstreams are excluded.
constexpr int MaxDraws = 8;
// Added to the load of an avoided upstream; higher than any reported load.
constexpr std::uint64_t AvoidedLoad = std::uint64_t { 1 } << 32U;

bool contains(const std::vector<common::UpstreamId> &excluded, common::UpstreamId upstream)
{
    return std::ranges::find(excluded, upstream) != excluded.end();
}

} // namespace

UpstreamChooser::UpstreamChooser(std::uint64_t seed)
    : m_random(seed)
{ }

bool UpstreamChooser::applyRoster(const version::ServiceRoster &roster)
{
    const auto known = m_services.find(roster.service);
    if (known != m_services.end() && roster.version < known->second.roster.version) {
        return false;
    }
    Service service { roster, {} };
    std::ranges::copy_if(roster.upstreams, std::back_inserter(service.active),
                         [](const version::RosterUpstream &upstream) {
                             return upstream.state == version::UpstreamState::Active
                                     && upstream.sharePercent > 0;
                         });
    m_services.insert_or_assign(roster.service, std::move(service));
    return true;
}

const version::ServiceRoster *UpstreamChooser::roster(common::ServiceId service) const
{
    const auto known = m_services.find(service);
    return known == m_services.end() ? nullptr : &known->second.roster;
}

bool UpstreamChooser::isActive(common::ServiceId service, common::UpstreamId upstream) const
{
    const auto known = m_services.find(service);
    return known != m_services.end()
            && std::ranges::find(known->second.active, upstream, &version::RosterUpstream::id)
            != known->second.active.end();
}

std::size_t UpstreamChooser::activeCount(common::ServiceId service) const
{
    const auto known = m_services.find(service);
    return known == m_services.end() ? 0 : known->second.active.size();
}

void UpstreamChooser::setReportedLoad(common::UpstreamId upstream, std::uint32_t load)
{
    m_loads[upstream].reported = load;
}

void UpstreamChooser::onDispatched(common::UpstreamId upstream)
{
    ++m_loads[upstream].ownDispatches;
}

void UpstreamChooser::onSlotReleased(common::UpstreamId upstream)
{
    auto &ownDispatches = m_loads[upstream].ownDispatches;
    ownDispatches -= std::min(ownDispatches, 1U);
}

void UpstreamChooser::avoid(common::UpstreamId upstream, common::TimePoint until)
{
    auto &load = m_loads[upstream];
    load.avoidUntil = std::max(load.avoidUntil, until);
}

std::optional<common::UpstreamId>
UpstreamChooser::choose(common::ServiceId service, const std::vector<common::UpstreamId> &excluded,
                        common::TimePoint now)
{
    const auto known = m_services.find(service);
    if (known == m_services.end() || known->second.active.empty()) {
        return std::nullopt;
    }
    const auto first = drawByShare(known->second, excluded);
    if (!first) {
        return drawAny(known->second, excluded);
    }
    const auto second = drawByShare(known->second, excluded);
    return second && comparedLoad(*second, now) < comparedLoad(*first, now) ? second : first;
}

common::Duration UpstreamChooser::jittered(common::Duration full)
{
    std::uniform_int_distribution<std::int64_t> halfToFull(full.count() / 2, full.count());
    return common::Duration(halfToFull(m_random));
}

std::optional<common::UpstreamId>
UpstreamChooser::drawByShare(const Service &service,
                             const std::vector<common::UpstreamId> &excluded)
{
    std::uniform_int_distribution<std::size_t> position(0, service.active.size() - 1);
    std::uniform_int_distribution<std::uint32_t> percent(1, 100);
    for (int attempt = 0; attempt < MaxDraws; ++attempt) {
        const auto &candidate = service.active[position(m_random)];
        if (!contains(excluded, candidate.id) && percent(m_random) <= candidate.sharePercent) {
            return candidate.id;
        }
    }
    return std::nullopt;
}

std::optional<common::UpstreamId>
UpstreamChooser::drawAny(const Service &service, const std::vector<common::UpstreamId> &excluded)
{
    std::vector<common::UpstreamId> candidates;
    for (const auto &upstream : service.active) {
        if (!contains(excluded, upstream.id)) {
            candidates.push_back(upstream.id);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[std::uniform_int_distribution<std::size_t>(0,
                                                                 candidates.size() - 1)(m_random)];
}

std::uint64_t UpstreamChooser::comparedLoad(common::UpstreamId upstream,
                                            common::TimePoint now) const
{
    const auto load = m_loads.find(upstream);
    if (load == m_loads.end()) {
        return 0;
    }
    const auto total = std::uint64_t { load->second.reported } + load->second.ownDispatches;
    return now < load->second.avoidUntil ? total + AvoidedLoad : total;
}

} // namespace banyanwall::request
