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

constexpr Duration RemovalTimeout = seconds(5);
constexpr Duration ViewLag = milliseconds(500);
constexpr Duration ReportDelay = milliseconds(2);
// From a change of an instance until the fabric's list of instances shows it.
constexpr Duration FabricListLag = seconds(3);
constexpr Duration StoreDelay = milliseconds(5);
constexpr Duration RenewInterval = seconds(3);
constexpr Duration HeartbeatInterval = milliseconds(500);
// Time from a join until all members have been notified of it.
constexpr milliseconds JoinFence(2'500);
constexpr std::uint64_t LostStoreAnswersPerMille = 20;

version::ServiceRoster rosterOf(std::size_t upstreams)
{
    version::ServiceRoster roster;
    roster.customer = common::CustomerId(1);
    roster.service = CoordinatorFleet::Service;
    roster.version = common::RosterVersion(1);
    roster.slotsPerUpstream = RequestUpstreamFake::Slots;
    roster.longestRequest =
            std::chrono::duration_cast<milliseconds>(CoordinatorFleet::MaxRequestDuration);
    roster.usualLatency =
            std::chrono::duration_cast<milliseconds>(RequestUpstreamFake::UsualLatency);
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
    self.pendingEvents.clear();
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
            return other.isMember && other.condition == Condition::Running && other.id != self.id;
        });
        // Members do not acknowledge an instance that they have removed until it joins again.
        self.guard.onAcknowledgements(self.isMember ? static_cast<std::uint32_t>(others) : 0,
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
    self.guard.setStoreReachable(m_isStoreUp);
    if (!m_isStoreUp) {
        return;
    }
    const auto wall = m_events.moment().wall;
    const bool isLeaseLost = self.isLeaseRevoked || self.leaseEnd < wall;
    if (!isLeaseLost) {
        self.leaseEnd = wall + seconds(10);
    }
    if (m_network.random(1, 1'000) <= LostStoreAnswersPerMille) {
        return;
    }
    m_events.after(StoreDelay, [this, instance, isLeaseLost, sentAt = m_events.now()] {
        arrive(instance, [this, instance, isLeaseLost, sentAt] {
            if (isLeaseLost) {
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
    m_events.after(FabricListLag, [&self] { self.isInFabricList = false; });
    m_events.after(RemovalTimeout, [this, instance, since = self.downSince] {
        removeIfStillDown(instance, since);
    });
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
    m_events.after(RemovalTimeout, [this, instance, since = self.downSince] {
        removeIfStillDown(instance, since);
    });
}

void CoordinatorFleet::resume(std::size_t instance)
{
    auto &self = m_instances[instance];
    self.condition = Condition::Running;
    const auto pendingEvents = std::exchange(self.pendingEvents, {});
    for (const auto &event : pendingEvents) {
        event();
    }
    m_events.after(m_network.random(milliseconds(50), ViewLag), [this, instance] {
        if (m_instances[instance].isMember) {
            advanceView(instance, m_views.size() - 1);
        } else {
            join(instance);
        }
    });
}

void CoordinatorFleet::setStoreUp(bool isUp)
{
    m_isStoreUp = isUp;
    // Each change extends all stored leases to their full term, as the store does when it is
    // reachable again.
    for (auto &instance : m_instances) {
        instance.leaseEnd = std::max(instance.leaseEnd, m_events.moment().wall + seconds(10));
    }
}

void CoordinatorFleet::join(std::size_t instance)
{
    auto &self = m_instances[instance];
    if (self.isMember && !self.isLeaseRevoked) {
        return;
    }
    if (!m_isStoreUp) {
        m_events.after(seconds(1), [this, instance] { join(instance); });
        return;
    }
    const auto wall = m_events.moment().wall;
    self.condition = Condition::Running;
    self.isMember = true;
    self.isLeaseRevoked = false;
    self.leaseEnd = wall + seconds(10);
    self.guard.onRenewed(m_events.now());
    self.coordinator->setTakeover(wall, wall + JoinFence);
    m_events.after(FabricListLag, [&self] { self.isInFabricList = self.isMember; });
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

void CoordinatorFleet::removeIfStillDown(std::size_t instance, common::TimePoint downSince)
{
    auto &self = m_instances[instance];
    if (self.condition == Condition::Running || self.downSince != downSince || !self.isMember) {
        return;
    }
    self.isMember = false;
    self.isInFabricList = false;
    self.isLeaseRevoked = true;
    // While the store is down, acknowledgements of the members replace the lease: with an
    // acknowledgement, a member promises not to take over requests of the instance for this term.
    const auto noTakeoverEnd = m_events.moment().wall
            - std::chrono::duration_cast<milliseconds>(m_events.now() - downSince)
            + std::chrono::duration_cast<milliseconds>(request::LeaseGuard::NoTakeoverTerm);
    m_lastRemoval = m_events.now();
    pushView(Removal { self.id, std::max(self.leaseEnd, noTakeoverEnd) });
}

void CoordinatorFleet::pushView(std::optional<Removal> removal)
{
    std::vector<connection::Member> members;
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        if (m_instances[index].isMember) {
            members.push_back({ m_instances[index].id, zoneOf(index) });
        }
    }
    m_views.push_back(
            { std::make_shared<const connection::OwnerSelector>(std::move(members)), removal });
    for (std::size_t index = 0; index < m_instances.size(); ++index) {
        m_events.after(m_network.random(milliseconds(50), ViewLag),
                       [this, index, target = m_views.size() - 1] {
                           if (m_instances[index].condition == Condition::Running
                               && m_instances[index].isMember) {
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
        // Selects the keys by their former coordinator, because a later step may assign them to
        // this instance.
        const auto wasRemoved = [removed = to.removal->member,
                                 before = from.members](common::RequestKey key) {
            return before->coordinator(key) == removed;
        };
        self.coordinator->setTakeover(m_events.moment().wall, to.removal->fenceEnd, wasRemoved);
    }
    self.coordinator->setKeysLost([&](common::RequestKey key) {
        return from.members->coordinator(key) == self.id && to.members->coordinator(key) != self.id;
    });
    // The reports of the other members do not cover the slots that a removed member held. These
    // are free when the longest request has ended.
    const bool knowsAllGrants = m_events.now() - m_lastRemoval > MaxRequestDuration;
    for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
        const auto upstream = upstreamId(index);
        const auto before = from.members->upstreamOwner(upstream, zoneOf(index));
        const auto after = to.members->upstreamOwner(upstream, zoneOf(index));
        if (before != after) {
            changeOwner(instance, index, after == self.id, knowsAllGrants);
        }
    }
}

void CoordinatorFleet::changeOwner(std::size_t instance, std::size_t upstream, bool isOwner,
                                   bool knowsAllGrants)
{
    auto &self = m_instances[instance];
    self.owners.erase(upstreamId(upstream));
    if (isOwner) {
        addOwner(instance, upstreamId(upstream));
    }
    perform(instance, self.coordinator->onOwnerChange(upstreamId(upstream), m_events.moment()));
    // The report is sent when every instance has this view.
    m_events.after(ViewLag, [this, instance, upstream, knowsAllGrants] {
        arrive(instance, [this, instance, upstream, knowsAllGrants] {
            reportSlots(instance, upstream, knowsAllGrants);
        });
    });
}

void CoordinatorFleet::reportSlots(std::size_t instance, std::size_t upstream, bool knowsAllGrants)
{
    const auto id = upstreamId(upstream);
    const auto owner = ownerOf(instance, id);
    if (!owner) {
        return;
    }
    const auto held = m_instances[instance].coordinator->heldSlots(id);
    m_events.after(ReportDelay, [this, id, held, knowsAllGrants, owner = *owner] {
        const auto role = m_instances[owner].owners.find(id);
        if (role != m_instances[owner].owners.end()) {
            const auto reports = ++m_instances[owner].reports[id];
            const bool all = knowsAllGrants && reports == memberCount();
            role->second.adoptGrants(held, MaxRequestDuration, all, m_events.now());
        }
    });
}

void CoordinatorFleet::addOwner(std::size_t instance, UpstreamId upstream)
{
    // In a new fleet, no slots are granted yet, so that the owners need not wait for reports.
    const auto since = m_views.size() == 1 ? m_events.now() - MaxRequestDuration : m_events.now();
    auto &self = m_instances[instance];
    // Without slow start, no latency counts as slow.
    const auto usualLatency =
            m_hasSlowStart ? RequestUpstreamFake::UsualLatency : MaxRequestDuration;
    connection::UpstreamOwner owner(RequestUpstreamFake::Slots, usualLatency, MaxRequestDuration,
                                    since);
    if (!m_hasSlowStart) {
        for (std::uint64_t answer = 0; answer < 16; ++answer) {
            const connection::SlotKey key { common::RequestKey(answer), common::AttemptNumber(1) };
            if (owner.acquire(key, seconds(1), m_events.now())) {
                owner.release(key, SlotOutcome::Answered, RequestUpstreamFake::UsualLatency,
                              m_events.now());
            }
        }
    }
    self.owners.insert_or_assign(upstream, owner);
    self.reports[upstream] = 0;
}

} // namespace banyanwall::benchmarks
