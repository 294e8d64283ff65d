#include "process/ownedupstreams.h"

#include "wire/datagram.h"

#include <algorithm>
#include <iterator>

namespace banyanwall::process {

using common::TimePoint;
using common::UpstreamId;
using connection::SlotKey;

namespace {

wire::proto::UpstreamState stateOf(UpstreamId upstream, common::Incarnation incarnation,
                                   bool isLost)
{
    wire::proto::UpstreamState state;
    state.set_upstream(upstream.value());
    state.set_incarnation(incarnation.value());
    state.set_lost(isLost);
    return state;
}

} // namespace

OwnedUpstreams::OwnedUpstreams(common::InstanceId self, const ServiceDirectory &directory,
                               DatagramSink &datagrams, PeerSink &peers)
    : m_self(self)
    , m_directory(directory)
    , m_datagrams(datagrams)
    , m_peers(peers)
{ }

bool OwnedUpstreams::isOwnedHere(UpstreamId upstream, const UpstreamEntry &entry,
                                 const connection::OwnerSelector &members) const
{
    return members.upstreamOwner(upstream, entry.zone) == m_self;
}

std::vector<UpstreamId> OwnedUpstreams::update(const connection::OwnerSelector &members,
                                               bool allHoldersLive, TimePoint now)
{
    const auto view = m_directory.view();
    std::erase_if(m_owned, [&](const auto &owned) {
        const auto *entry = view->upstream(owned.first);
        return entry == nullptr || !isOwnedHere(owned.first, *entry, members);
    });
    std::set<common::InstanceId> peers;
    for (const auto &member : members.members()) {
        if (member.id != m_self) {
            peers.insert(member.id);
        }
    }
    std::vector<UpstreamId> gained;
    for (const auto &[id, entry] : view->upstreams) {
        if (m_owned.contains(id) || !isOwnedHere(id, entry, members)) {
            continue;
        }
        const auto &roster = *view->services.at(entry.service);
        Owned owned { connection::UpstreamOwner(roster.slotsPerUpstream, roster.usualLatency,
                                                roster.longestRequest, now),
                      roster.longestRequest,
                      entry.incarnation,
                      0,
                      entry.isLost,
                      false,
                      peers,
                      allHoldersLive };
        if (peers.empty()) {
            owned.slots.adoptGrants({}, owned.longestRequest, allHoldersLive, now);
        }
        m_owned.emplace(id, std::move(owned));
        gained.push_back(id);
    }
    requestSlotReports(gained, peers);
    return gained;
}

void OwnedUpstreams::requestSlotReports(const std::vector<UpstreamId> &gained,
                                        const std::set<common::InstanceId> &peers)
{
    if (gained.empty()) {
        return;
    }
    wire::proto::PeerMessage message;
    for (const auto upstream : gained) {
        message.mutable_slot_report_request()->add_upstreams(upstream.value());
    }
    std::ranges::for_each(peers, [&](auto peer) { m_peers.toPeer(peer, message); });
}

bool OwnedUpstreams::owns(UpstreamId upstream) const
{
    return m_owned.contains(upstream);
}

bool OwnedUpstreams::acquire(UpstreamId upstream, SlotKey slot, common::Duration hold,
                             TimePoint now)
{
    const auto owned = m_owned.find(upstream);
    return owned != m_owned.end() && !owned->second.isLost
            && owned->second.slots.acquire(slot, hold, now);
}

void OwnedUpstreams::release(UpstreamId upstream, SlotKey slot, connection::SlotOutcome outcome,
                             common::Duration latency, TimePoint now)
{
    const auto owned = m_owned.find(upstream);
    if (owned != m_owned.end()) {
        owned->second.slots.release(slot, outcome, latency, now);
    }
}

void OwnedUpstreams::onSlotReport(common::InstanceId sender, const wire::proto::SlotReport &report,
                                  TimePoint now)
{
    for (const auto id : report.upstreams()) {
        const auto found = m_owned.find(UpstreamId(id));
        if (found == m_owned.end() || found->second.pendingReporters.erase(sender) == 0) {
            continue;
        }
        auto &owned = found->second;
        std::vector<SlotKey> held;
        for (const auto &grant : report.held()) {
            if (grant.upstream() == id) {
                held.push_back({ common::RequestKey(grant.request_key()),
                                 common::AttemptNumber(grant.attempt()) });
            }
        }
        owned.slots.adoptGrants(held, owned.longestRequest,
                                owned.pendingReporters.empty() && owned.allHoldersLive, now);
    }
}

void OwnedUpstreams::onHealthReport(UpstreamId upstream, const wire::proto::HealthReport &report,
                                    TimePoint now)
{
    const auto found = m_owned.find(upstream);
    if (found == m_owned.end()) {
        return;
    }
    auto &owned = found->second;
    const common::Incarnation incarnation(report.incarnation());
    owned.hasUnreportedChange |= owned.isLost || owned.incarnation != incarnation;
    owned.isLost = false;
    owned.unansweredProbes = 0;
    owned.incarnation = incarnation;
    owned.slots.observeIncarnation(incarnation, now);
    owned.slots.observeHealth(report.healthy(), report.busy_slots(), now);
}

std::vector<wire::proto::UpstreamState> OwnedUpstreams::probe(TimePoint)
{
    const auto view = m_directory.view();
    std::vector<wire::proto::UpstreamState> changes;
    ++m_sequence;
    for (auto &[id, owned] : m_owned) {
        const auto *entry = view->upstream(id);
        if (entry == nullptr || entry->state == version::UpstreamState::Withdrawn) {
            continue;
        }
        if (owned.unansweredProbes >= LostAfterProbes && !owned.isLost) {
            owned.isLost = true;
            owned.hasUnreportedChange = true;
        }
        if (owned.hasUnreportedChange) {
            changes.push_back(stateOf(id, owned.incarnation, owned.isLost));
            owned.hasUnreportedChange = false;
        }
        ++owned.unansweredProbes;
        wire::proto::UpstreamMessage message;
        message.set_service(entry->service.value());
        message.mutable_probe()->set_sequence(m_sequence);
        m_datagrams.toUpstream(entry->address, wire::encode(std::move(message)));
    }
    return changes;
}

std::vector<wire::proto::UpstreamState> OwnedUpstreams::states() const
{
    std::vector<wire::proto::UpstreamState> states;
    std::ranges::transform(m_owned, std::back_inserter(states), [](const auto &owned) {
        return stateOf(owned.first, owned.second.incarnation, owned.second.isLost);
    });
    return states;
}

} // namespace banyanwall::process
