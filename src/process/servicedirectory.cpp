#include "process/servicedirectory.h"

namespace banyanwall::process {

std::optional<common::ServiceId> DirectoryView::serviceAt(common::Endpoint address) const
{
    const auto found = serviceByAddress.find(address);
    return found == serviceByAddress.end() ? std::nullopt : std::optional(found->second);
}

const UpstreamEntry *DirectoryView::upstream(common::UpstreamId id) const
{
    const auto found = upstreams.find(id);
    return found == upstreams.end() ? nullptr : &found->second;
}

std::optional<common::UpstreamId> DirectoryView::upstreamAt(common::Endpoint address) const
{
    const auto found = upstreamByAddress.find(address);
    return found == upstreamByAddress.end() ? std::nullopt : std::optional(found->second);
}

ServiceDirectory::ServiceDirectory()
    : m_view(std::make_shared<const DirectoryView>())
{ }

void ServiceDirectory::applyRosters(common::CustomerId customer,
                                    const std::vector<version::ServiceRoster> &rosters)
{
    const std::lock_guard lock(m_mutex);
    m_rosters[customer] = rosters;
    m_view = build();
}

bool ServiceDirectory::setUpstreamState(common::UpstreamId upstream,
                                        common::Incarnation incarnation, bool isLost)
{
    const std::lock_guard lock(m_mutex);
    auto &condition = m_conditions[upstream];
    if (condition.incarnation == incarnation && condition.isLost == isLost) {
        return false;
    }
    condition = { incarnation, isLost };
    m_view = build();
    return true;
}

std::shared_ptr<const DirectoryView> ServiceDirectory::view() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

std::shared_ptr<const DirectoryView> ServiceDirectory::build() const
{
    auto view = std::make_shared<DirectoryView>();
    for (const auto &[customer, rosters] : m_rosters) {
        for (const auto &roster : rosters) {
            view->services[roster.service] = std::make_shared<version::ServiceRoster>(roster);
            view->serviceByAddress[roster.address] = roster.service;
            for (const auto &upstream : roster.upstreams) {
                UpstreamEntry entry {
                    roster.service, upstream.zone, upstream.address, upstream.state, {}, false
                };
                const auto known = m_conditions.find(upstream.id);
                if (known != m_conditions.end()) {
                    entry.incarnation = known->second.incarnation;
                    entry.isLost = known->second.isLost;
                }
                view->upstreams[upstream.id] = entry;
                view->upstreamByAddress[upstream.address] = upstream.id;
            }
        }
    }
    return view;
}

} // namespace banyanwall::process
