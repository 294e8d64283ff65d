#include "benchmarks/requestfleet.h"

#include <algorithm>
#include <utility>

namespace banyanwall::benchmarks {

using common::Duration;
using common::UpstreamId;
using connection::SlotOutcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration DeadAfter = seconds(5);
constexpr Duration ViewLag = milliseconds(500);
constexpr Duration ReportDelay = milliseconds(2);
constexpr Duration FabricListLag = seconds(3);
constexpr Duration StoreDelay = milliseconds(5);
constexpr Duration RenewInterval = seconds(3);
constexpr Duration HeartbeatInterval = milliseconds(500);
// Time in which all members learn of a join.
constexpr milliseconds JoinFence(2'500);
constexpr std::uint64_t LostStoreAnswersPerMille = 20;

version::ServiceRoster rosterOf(std::size_t upstreams)
{
    version::ServiceRoster roster;
    roster.customer = common::CustomerId(1);
    roster.service = CoordinatorFleet::Service;
    roster.version = common::RosterVersion(1);
    roster.slotsPerUpstream = UpstreamFake::Slots;
    roster.longestRequest =
            std::chrono::duration_cast<milliseconds>(CoordinatorFleet::LongestRequest);
    roster.usualLatency = std::chrono::duration_cast<milliseconds>(UpstreamFake::UsualLatency);
    for (std::size_t index = 0; index < upstreams; ++index) {
        roster.upstreams.push_back(
                { CoordinatorFleet::upstreamId(index), CoordinatorFleet::zoneOf(index), {} });
    }
    return roster;
}

} // namespace

void CoordinatorFleet::startInstance(std::size_t instance)
{
    auto &self = m_instances[instance];
    self.coordinator = std::make_unique<request::Coordinator>(m_nextSeed++);
    self.coordinator->applyRoster(rosterOf(m_upstreams.size()));
    self.guard = {};
    self.owners.clear();
    self.reports.clear();
    self.waiting.clear();
}

void CoordinatorFleet::tick(std::size_t instance)
{
    auto &self = m_instances[instance];
    if (self.condition == Condition::Running) {
        self.coordinator->setPermit(self.guard.permit(m_events.moment()));
        perform(instance, self.coordinator->onTick(m_events.moment()));
    }
    m_events.after(request::Coordinator::TickInterval, [this, instance] { tick(instance); });
}

void CoordinatorFleet::acknowledge(std::size_t instance)
{
    auto &self = m_instances[instance];
    if (self.condition == Condition::Running) {
        const auto others = std::ranges::count_if(m_instances, [&](const Instance &other) {
            return other.member && other.condition == Condition::Running && other.id != self.id;
        });
        // Members that have removed an instance do not acknowledge it before it joins again.
        self.guard.onAcknowledgements(self.member ? static_cast<std::uint32_t>(others) : 0,
                                      static_cast<std::uint32_t>(memberCount() - 1),
                                      m_events.now() - milliseconds(10));
    }
    m_events.after(HeartbeatInterval, [this, instance] { acknowledge(instance); });
}

void CoordinatorFleet::scheduleRenewal(std::size_t instance)
{
    m_events.after(RenewInterval, [this, instance] { renewLease(instance); });
}

void CoordinatorFleet::renewLease(std::size_t instance)
{
    auto &self = m_instances[instance];
    scheduleRenewal(instance);
    if (self.condition != Condition::Running) {
        return;
    }
    self.guard.setStoreReachable(m_storeUp);
    if (!m_storeUp) {
        return;
    }
    const auto wall = m_events.moment().wall;
    const bool lost = self.leaseRevoked || self.leaseEnd < wall;
    if (!lost) {
        self.leaseEnd = wall + seconds(10);
    }
    if (m_network.random(1, 1'000) <= LostStoreAnswersPerMille) {
        return;
    }
    m_events.after(StoreDelay, [this, instance, lost, sentAt = m_events.now()] {
        arrive(instance, [this, instance, lost, sentAt] {
            if (lost) {
                m_instances[instance].guard.onLost();
                join(instance);
            } else {
                m_instances[instance].guard.onRenewed(sentAt);
            }
        });
    });
}

void CoordinatorFleet::kill(std::size_t instance)
{
    auto &self = m_instances[instance];
    startInstance(instance);
    self.condition = Condition::Down;
    self.downSince = m_events.now();
    m_events.after(FabricListLag, [&self] { self.listed = false; });
    m_events.after(DeadAfter,
                   [this, instance, since = self.downSince] { removeIfSilent(instance, since); });
}

void CoordinatorFleet::restart(std::size_t instance)
{
    join(instance);
}

void CoordinatorFleet::pause(std::size_t instance)
{
    auto &self = m_instances[instance];
    self.condition = Condition::Paused;
    self.downSince = m_events.now();
    m_events.after(DeadAfter,
                   [this, instance, since = self.downSince] { removeIfSilent(instance, since); });
}

void CoordinatorFleet::resume(std::size_t instance)
{
    auto &self = m_instances[instance];
    self.condition = Condition::Running;
    const auto waiting = std::exchange(self.waiting, {});
    for (const auto &event : waiting) {
        event();
    }
    m_events.after(m_network.random(milliseconds(50), ViewLag), [this, instance] {
        if (m_instances[instance].member) {
            advanceView(instance, m_views.size() - 1);
        } else {
            join(instance);
        }
    });
}

void CoordinatorFleet::setStoreUp(bool up)
{
    m_storeUp = up;
    // A store that comes back gives the leases it knows their full term again.
    for (auto &instance : m_instances) {
        instance.leaseEnd = std::max(instance.leaseEnd, m_events.moment().wall + seconds(10));
    }
}

void CoordinatorFleet::join(std::size_t instance)
{
    auto &self = m_instances[instance];
    if (self.member && !self.leaseRevoked) {
        return;
    }
    if (!m_storeUp) {
        m_events.after(seconds(1), [this, instance] { join(instance); });
        return;
    }
    const auto wall = m_events.moment().wall;
    self.condition = Condition::Running;
    self.member = true;
    self.leaseRevoked = false;
    self.leaseEnd = wall + seconds(10);
    self.guard.onRenewed(m_events.now());
    self.coordinator->setTakeover(wall, wall + JoinFence);
    m_events.after(FabricListLag, [&self] { self.listed = self.member; });
    pushView(std::nullopt);
    self.owners.clear();
    self.reports.clear();
    advanceView(instance, m_views.size() - 1);
    for (std::size_t upstream = 0; upstream < m_upstreams.size(); ++upstream) {
        if (ownerOf(instance, upstreamId(upstream)) == instance) {
            addOwner(instance, upstreamId(upstream));
        }
    }
}

void CoordinatorFleet::removeIfSilent(std::size_t instance, common::TimePoint downSince)
{
    auto &self = m_instances[instance];
    if (self.condition == Condition::Running || self.downSince != downSince || !self.member) {
        return;
    }
    self.member = false;
    self.listed = false;
    self.leaseRevoked = true;
    // With the store down the members' promise of no takeover counts instead of a lease.
    const auto promised = m_events.moment().wall
            - std::chrono::duration_cast<milliseconds>(m_events.now() - downSince)
            + std::chrono::duration_cast<milliseconds>(request::LeaseGuard::NoTakeoverTerm);
    m_lastRemoval = m_events.now();
    pushView(Removal { self.id, std::max(self.leaseEnd, promised) });
}

void CoordinatorFleet::pushView(std::optional<Removal> removal)
{
    std::vector<connection::Member> members;
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        if (m_instances[index].member) {
            members.push_back({ m_instances[index].id, zoneOf(index) });
        }
    }
    m_views.push_back(
            { std::make_shared<const connection::OwnerSelector>(std::move(members)), removal });
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        m_events.after(m_network.random(milliseconds(50), ViewLag),
                       [this, index, target = m_views.size() - 1] {
                           if (m_instances[index].condition == Condition::Running
                               && m_instances[index].member) {
                               advanceView(index, target);
                           }
                       });
    }
}

void CoordinatorFleet::advanceView(std::size_t instance, std::size_t target)
{
    auto &view = m_instances[instance].view;
    while (view < target) {
        ++view;
        applyStep(instance, m_views[view - 1], m_views[view]);
    }
}

void CoordinatorFleet::applyStep(std::size_t instance, const ViewStep &from, const ViewStep &to)
{
    auto &self = m_instances[instance];
    if (to.removal) {
        // Names the keys by their former coordinator: they may reach this instance in a later step.
        const auto wasRemoved = [removed = to.removal->member,
                                 before = from.members](common::RequestKey key) {
            return before->coordinator(key) == removed;
        };
        self.coordinator->setTakeover(m_events.moment().wall, to.removal->fenceEnd, wasRemoved);
    }
    self.coordinator->setKeysLost([&](common::RequestKey key) {
        return from.members->coordinator(key) == self.id && to.members->coordinator(key) != self.id;
    });
    // The grants of a removed member are unknown to all others.
    const bool knowsAll = m_events.now() - m_lastRemoval > LongestRequest;
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        const auto upstream = upstreamId(index);
        const auto before = from.members->upstreamOwner(upstream, zoneOf(index));
        const auto after = to.members->upstreamOwner(upstream, zoneOf(index));
        if (before != after) {
            changeOwner(instance, index, after == self.id, knowsAll);
        }
    }
}

void CoordinatorFleet::changeOwner(std::size_t instance, std::size_t upstream, bool owns,
                                   bool knowsAll)
{
    auto &self = m_instances[instance];
    self.owners.erase(upstreamId(upstream));
    if (owns) {
        addOwner(instance, upstreamId(upstream));
    }
    perform(instance, self.coordinator->onOwnerChange(upstreamId(upstream), m_events.moment()));
    // Sent when every instance has this view.
    m_events.after(ViewLag, [this, instance, upstream, knowsAll] {
        arrive(instance,
               [this, instance, upstream, knowsAll] { reportSlots(instance, upstream, knowsAll); });
    });
}

void CoordinatorFleet::reportSlots(std::size_t instance, std::size_t upstream, bool knowsAll)
{
    const auto id = upstreamId(upstream);
    const auto owner = ownerOf(instance, id);
    if (!owner) {
        return;
    }
    const auto held = m_instances[instance].coordinator->heldSlots(id);
    m_events.after(ReportDelay, [this, id, held, knowsAll, owner = *owner] {
        const auto role = m_instances[owner].owners.find(id);
        if (role != m_instances[owner].owners.end()) {
            const auto reports = ++m_instances[owner].reports[id];
            const bool all = knowsAll && reports == memberCount();
            role->second.adoptGrants(held, LongestRequest, all, m_events.now());
        }
    });
}

void CoordinatorFleet::addOwner(std::size_t instance, UpstreamId upstream)
{
    // The owners of a new fleet know that nothing is granted.
    const auto since = m_views.size() == 1 ? m_events.now() - LongestRequest : m_events.now();
    auto &self = m_instances[instance];
    // Without slow start, no grant or answer is slow.
    const auto usualLatency = m_slowStart ? UpstreamFake::UsualLatency : LongestRequest;
    connection::UpstreamOwner owner(UpstreamFake::Slots, usualLatency, LongestRequest, since);
    if (!m_slowStart) {
        for (std::uint64_t answer = 0; answer < 16; ++answer) {
            const connection::SlotKey key { common::RequestKey(answer), common::AttemptNumber(1) };
            if (owner.acquire(key, seconds(1), m_events.now())) {
                owner.release(key, SlotOutcome::Answered, UpstreamFake::UsualLatency,
                              m_events.now());
            }
        }
    }
    self.owners.insert_or_assign(upstream, owner);
    self.reports[upstream] = 0;
}

} // namespace banyanwall::benchmarks
