#include "fleetreplay.h"

#include "version/rollout.h"

#include <algorithm>
#include <iterator>

namespace banyanwall::benchmarks {

using common::Duration;
using common::InstanceId;
using common::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;
using version::Rollout;

namespace {

constexpr Duration MaxUpdateDelay = seconds(3);
constexpr Duration HeartbeatInterval = milliseconds(500);
constexpr Duration SuspectTimeout = seconds(2);
constexpr Duration RemovalTimeout = seconds(5);
/// An instance sends at most 1 KB/s of handover records in the background; a record takes 12 bytes
/// and a tick one second.
constexpr std::size_t HandoverRecordsPerTick = 85;
constexpr std::uint64_t TicksPerPlan = 5;
/// From the start of an instance until the fabric hands packets to it.
constexpr Duration FabricAddDelay = seconds(1);
/// From the start of the successor until the replaced instance announces that it leaves, gets no
/// more packets from the fabric, and exits.
constexpr Duration LeaveDelay = seconds(4);
constexpr Duration FabricRemoveDelay = seconds(10);
constexpr Duration ExitDelay = seconds(14);

common::ZoneId zoneOf(std::uint32_t id)
{
    return common::ZoneId(1 + id % 3);
}

} // namespace

FleetReplay::FleetReplay(std::uint32_t instances, const version::ServiceRoster &roster,
                         std::uint64_t seed)
    : m_random(seed)
    , m_roster(roster)
{
    const version::BucketMap map(roster, std::nullopt, nullptr);
    m_settled = *version::planSettled({ map, roster, {}, {}, {} }, std::nullopt);
    for (std::uint32_t count = 0; count < instances; ++count) {
        start(m_nextInstance++);
    }
    for (auto &[id, instance] : m_instances) {
        instance.router->setMembers(m_selector, m_now);
        instance.router->setInForce(Service, roster.version);
        m_fabricInstances.push_back(id);
    }
    m_now += seconds(10);
    at(m_now, [this] { tick(); });
}

void FleetReplay::at(TimePoint time, std::function<void()> event)
{
    m_events.emplace(time, std::move(event));
}

void FleetReplay::advance(TimePoint until)
{
    while (!m_events.empty() && m_events.begin()->first <= until) {
        auto next = m_events.extract(m_events.begin());
        m_now = next.key();
        next.mapped()();
    }
    m_now = until;
}

ReplayInstance *FleetReplay::find(std::uint32_t id)
{
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : &found->second;
}

void FleetReplay::start(std::uint32_t id)
{
    auto &instance = m_instances[id];
    instance.router = std::make_unique<connection::FlowRouter>(InstanceId(id), zoneOf(id));
    instance.roster = m_roster;
    m_members.push_back({ InstanceId(id), zoneOf(id), false });
    m_selector = std::make_shared<const connection::OwnerSelector>(m_members);
    instance.router->setMembers(m_selector, m_now);
    instance.router->applySettled(Service, m_settled, m_now);
    instance.router->applyRoster(m_roster, m_now);
    instance.memberViewNumber = ++m_memberViewNumber;
    instance.lostUpstreams = m_lostUpstreams;
    for (const auto upstream : m_lostUpstreams) {
        instance.router->setUpstreamLost(upstream, true);
    }
}

TimePoint FleetReplay::distribute(const Update &update, Duration maxDelay)
{
    std::uniform_int_distribution<Duration::rep> delays(0, maxDelay.count());
    TimePoint last = m_now;
    for (const auto &[id, instance] : m_instances) {
        const auto arrival = m_now + Duration(delays(m_random));
        last = std::max(last, arrival);
        const bool isDelayed = arrival - m_now > Rollout::StaleAfter;
        if (isDelayed) {
            at(m_now + Rollout::StaleAfter, [this, id = id] {
                if (auto *late = find(id); late != nullptr && ++late->delayedUpdates == 1) {
                    late->router->setStale(true);
                }
            });
        }
        at(arrival, [this, update, isDelayed, id = id] {
            auto *receiver = find(id);
            if (receiver == nullptr) {
                return;
            }
            update(*receiver);
            if (isDelayed && --receiver->delayedUpdates == 0) {
                receiver->router->setStale(false);
            }
        });
    }
    return last;
}

void FleetReplay::publishRoster(const version::ServiceRoster &roster)
{
    m_roster = roster;
    const auto enforce = [this](std::uint32_t id, TimePoint when, common::RosterVersion version) {
        at(when, [this, id, version] {
            if (auto *instance = find(id); instance != nullptr) {
                instance->router->setInForce(Service, version);
            }
        });
    };
    const auto apply = [this, roster, enforce](ReplayInstance &instance) {
        instance.router->applyRoster(roster, m_now);
        if (instance.roster.version < roster.version) {
            instance.roster = roster;
        }
        const auto found = std::ranges::find_if(
                m_instances, [&](const auto &entry) { return &entry.second == &instance; });
        enforce(found->first, m_now + Rollout::Deadline, roster.version);
    };
    const auto acknowledged = distribute(apply, MaxUpdateDelay) + HeartbeatInterval;
    for (const auto &[id, instance] : m_instances) {
        enforce(id, acknowledged, roster.version);
    }
}

void FleetReplay::publishSettled(const version::SettledTable &settled)
{
    m_settled = settled;
    const auto acknowledged = distribute(
            [this, settled](ReplayInstance &instance) {
                instance.router->applySettled(Service, settled, m_now);
            },
            MaxUpdateDelay);
    at(acknowledged + HeartbeatInterval, [this, revision = settled.revision] {
        for (auto &[id, instance] : m_instances) {
            instance.router->setSettledAcknowledged(Service, revision);
        }
    });
}

void FleetReplay::distributeMembers()
{
    m_selector = std::make_shared<const connection::OwnerSelector>(m_members);
    distribute(
            [this, members = m_selector, number = ++m_memberViewNumber](ReplayInstance &instance) {
                if (instance.memberViewNumber < number) {
                    instance.memberViewNumber = number;
                    instance.router->setMembers(members, m_now);
                }
            },
            MaxUpdateDelay);
}

void FleetReplay::distributeSuspicions()
{
    distribute([members = m_suspected](
                       ReplayInstance &instance) { instance.router->setSuspected(members); },
               HeartbeatInterval);
}

void FleetReplay::replaceInstance(std::uint32_t id)
{
    const auto successor = m_nextInstance++;
    const auto started = m_now;
    start(successor);
    distributeMembers();
    at(started + Rollout::Deadline, [this, successor, version = m_roster.version] {
        if (auto *instance = find(successor); instance != nullptr) {
            instance->router->setInForce(Service, version);
        }
    });
    at(started + FabricAddDelay, [this, successor] { m_fabricInstances.push_back(successor); });
    at(started + LeaveDelay, [this, id] {
        std::ranges::for_each(m_members, [&](auto &member) {
            member.leaving = member.leaving || member.id == InstanceId(id);
        });
        distributeMembers();
    });
    at(started + FabricRemoveDelay, [this, id] { removeFromFabric(id); });
    at(started + ExitDelay, [this, id] {
        m_instances.erase(id);
        std::erase_if(m_members, [&](const auto &member) { return member.id == InstanceId(id); });
        distributeMembers();
    });
}

void FleetReplay::killInstance(std::uint32_t id)
{
    m_instances.erase(id);
    at(m_now + SuspectTimeout, [this, id] {
        m_suspected.emplace_back(id);
        removeFromFabric(id);
        distributeSuspicions();
    });
    at(m_now + RemovalTimeout, [this, id] {
        std::erase_if(m_members, [&](const auto &member) { return member.id == InstanceId(id); });
        distributeMembers();
    });
}

void FleetReplay::failUpstream(common::UpstreamId upstream)
{
    m_lostUpstreams.insert(upstream);
    distribute(
            [upstream](ReplayInstance &instance) {
                instance.lostUpstreams.insert(upstream);
                instance.router->setUpstreamLost(upstream, true);
            },
            MaxUpdateDelay);
}

void FleetReplay::removeFromFabric(std::uint32_t id)
{
    std::erase(m_fabricInstances, id);
}

void FleetReplay::tick()
{
    std::vector<connection::IdleBucketReport> reports;
    std::size_t overrides = 0;
    for (auto &[id, instance] : m_instances) {
        std::ranges::move(instance.router->idleBuckets(m_now), std::back_inserter(reports));
        for (const auto &batch : instance.router->takeHandovers(HandoverRecordsPerTick, m_now)) {
            m_handoverRecords += batch.records.size();
            if (auto *receiver = find(batch.receiver.value()); receiver != nullptr) {
                receiver->router->acceptHandover(batch, m_now);
            }
        }
        for (const auto &request :
             instance.router->takeHandoverRequests(HandoverRecordsPerTick, m_now)) {
            ++m_handoverRequests;
            if (auto *receiver = find(request.receiver.value()); receiver != nullptr) {
                receiver->router->acceptHandoverRequest(InstanceId(id), request, m_now);
            }
        }
        overrides += instance.router->overrideCount();
    }
    m_mostOverrides = std::max(m_mostOverrides, overrides);
    if (++m_ticks % TicksPerPlan == 0) {
        plan(reports);
    }
    at(m_now + seconds(1), [this] { tick(); });
}

void FleetReplay::plan(const std::vector<connection::IdleBucketReport> &reports)
{
    const auto planner = m_selector->planner(Customer);
    auto *instance = planner ? find(planner->value()) : nullptr;
    if (instance == nullptr) {
        return;
    }
    std::vector<version::TransitionReport> transitionReports;
    std::ranges::transform(reports, std::back_inserter(transitionReports), [](const auto &report) {
        return version::TransitionReport { report.revision, report.rosterVersion, report.buckets,
                                           report.clean };
    });
    const auto map = instance->router->map(Service);
    const auto next = version::planSettled(
            { *map, instance->roster, std::move(transitionReports), instance->lostUpstreams, {} },
            m_settled);
    if (next) {
        publishSettled(*next);
    }
}

std::size_t FleetReplay::transitionalBuckets() const
{
    return m_instances.begin()->second.router->map(Service)->transitional().count();
}

} // namespace banyanwall::benchmarks
