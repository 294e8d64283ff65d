#include "flowworkload.h"

#include "common/hash.h"
#include "version/bucketassignment.h"

#include <algorithm>

namespace banyanwall::benchmarks {

using common::FlowKey;
using common::UpstreamId;
using connection::PacketKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr common::Duration PacketInterval = seconds(10);
constexpr common::Duration OpenRetryInterval = seconds(1);
constexpr int MaxOpenAttempts = 5;
constexpr common::Duration MaxReorderDelay = milliseconds(200);
constexpr double FaultyPacketShare = 0.01;
constexpr std::uint32_t UpstreamsAtStart = 14;
constexpr common::Duration ChangeInterval = seconds(60);
constexpr common::Duration ReplaceInterval = seconds(20);
constexpr common::Duration RunLength = seconds(420);

UpstreamId upstreamAt(std::uint32_t number)
{
    return UpstreamId(static_cast<std::uint32_t>(common::hashPair(number, 1)));
}

} // namespace

version::ServiceRoster workloadRoster(std::uint64_t version, std::uint32_t upstreams,
                                      std::uint32_t drained)
{
    version::ServiceRoster roster;
    roster.service = FleetReplay::Service;
    roster.version = common::RosterVersion(version);
    for (std::uint32_t number = 0; number < upstreams; ++number) {
        const auto state = number < drained ? version::UpstreamState::Draining
                                            : version::UpstreamState::Active;
        roster.upstreams.push_back(
                { upstreamAt(number), common::ZoneId(1 + number % 3), {}, state });
    }
    std::ranges::sort(roster.upstreams, {}, &version::RosterUpstream::id);
    return roster;
}

FlowWorkload::FlowWorkload(const WorkloadOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_fleet(options.instances, workloadRoster(1, UpstreamsAtStart, 0), options.seed + 1)
    , m_start(m_fleet.now())
{ }

WorkloadResult FlowWorkload::run()
{
    std::uniform_int_distribution<common::Duration::rep> phases(0, PacketInterval.count() - 1);
    std::vector<common::Duration::rep> initial(m_options.flows);
    std::ranges::generate(initial, [&] { return phases(m_random); });
    std::ranges::sort(initial);
    for (const auto phase : initial) {
        openFlow();
        m_schedule.emplace_back(m_start + common::Duration(phase), m_flows.size() - 1);
    }
    scheduleChanges();
    if (m_options.hasFaults) {
        scheduleFaults();
    }
    const common::Duration openInterval = common::Duration(seconds(1)) / m_options.opensPerSecond;
    auto nextOpen = m_start + openInterval;
    while (m_fleet.now() < m_start + RunLength) {
        const auto next = std::min(nextOpen, m_schedule.front().first);
        m_fleet.advance(next);
        if (next == nextOpen) {
            nextOpen += openInterval;
            openFlow();
            m_schedule.emplace_back(next + PacketInterval, m_flows.size() - 1);
            endFlow(m_open[m_random() % m_open.size()], true);
            continue;
        }
        const auto index = m_schedule.front().second;
        m_schedule.pop_front();
        if (!m_flows[index].hasEnded) {
            m_schedule.emplace_back(next + PacketInterval, index);
            transmit([this, index] { sendData(index); });
        }
    }
    m_result.flows = m_flows.size();
    m_result.mostOverrides = m_fleet.mostOverrides();
    m_result.handoverRecords = m_fleet.handoverRecords();
    m_result.handoverRequests = m_fleet.handoverRequests();
    m_result.settledRevisions = m_fleet.settledRevisions();
    m_result.transitionalAtEnd = m_fleet.transitionalBuckets();
    return m_result;
}

void FlowWorkload::scheduleChanges()
{
    for (std::uint32_t step = 0; step < 4; ++step) {
        const std::uint32_t drained = 1 + step / 2;
        const std::uint32_t upstreams = UpstreamsAtStart + (step + 1) / 2;
        m_fleet.at(m_start + (step + 1) * ChangeInterval, [this, step, upstreams, drained] {
            m_fleet.publishRoster(workloadRoster(step + 2, upstreams, drained));
        });
    }
    for (std::uint32_t step = 0; step < m_options.instances; ++step) {
        m_fleet.at(m_start + (step + 1) * ReplaceInterval, [this, step] {
            if (m_fleet.find(step + 1) != nullptr) {
                m_fleet.replaceInstance(step + 1);
            }
        });
    }
}

void FlowWorkload::scheduleFaults()
{
    // With the default options, the two killed instances are not being replaced at that time.
    const auto kill = m_start + m_options.killAfter;
    m_fleet.at(kill, [this] { m_fleet.killInstance(m_options.killedInstances[0]); });
    m_fleet.at(kill + m_options.killInterval,
               [this] { m_fleet.killInstance(m_options.killedInstances[1]); });
    m_fleet.at(m_start + 3 * ChangeInterval + seconds(20), [this] {
        m_failedUpstream = upstreamAt(UpstreamsAtStart / 2);
        m_fleet.failUpstream(*m_failedUpstream);
    });
}

void FlowWorkload::openFlow()
{
    const auto index = m_flows.size();
    m_flows.emplace_back().key = FlowKey(common::hashPair(m_options.seed, index));
    m_open.push_back(index);
    transmit([this, index] { sendOpen(index); });
}

void FlowWorkload::transmit(const std::function<void()> &send)
{
    std::uniform_real_distribution<double> share(0, 1);
    if (!m_options.hasFaults || share(m_random) >= FaultyPacketShare) {
        send();
        return;
    }
    std::uniform_int_distribution<common::Duration::rep> delays(0, MaxReorderDelay.count());
    m_fleet.at(m_fleet.now() + common::Duration(delays(m_random)), send);
    m_fleet.at(m_fleet.now() + common::Duration(delays(m_random)), send);
}

std::uint32_t FlowWorkload::randomInstance()
{
    return m_fleet.fabricInstances()[m_random() % m_fleet.fabricInstances().size()];
}

void FlowWorkload::sendOpen(std::size_t index)
{
    auto &flow = m_flows[index];
    if (flow.hasEnded) {
        return;
    }
    const auto instance = randomInstance();
    if (flow.openAttempts++ == 0) {
        runBaselines(flow, instance, true);
    }
    receiveOpen(index, deliver(instance, PacketKind::Open, flow.key));
}

void FlowWorkload::receiveOpen(std::size_t index, const Delivery &delivery)
{
    auto &flow = m_flows[index];
    const auto *arrival = std::get_if<Arrival>(&delivery);
    if (arrival != nullptr && arrival->upstream != m_failedUpstream) {
        m_result.splitOpens += flow.upstream && *flow.upstream != arrival->upstream ? 1 : 0;
        flow.upstream = flow.upstream.value_or(arrival->upstream);
        return;
    }
    if (flow.upstream) {
        return;
    }
    if (flow.openAttempts >= MaxOpenAttempts) {
        ++m_result.failedOpens;
        endFlow(index, false);
        return;
    }
    m_fleet.at(m_fleet.now() + OpenRetryInterval, [this, index] { sendOpen(index); });
}

void FlowWorkload::sendData(std::size_t index)
{
    auto &flow = m_flows[index];
    if (flow.hasEnded || !flow.upstream) {
        return;
    }
    const auto instance = randomInstance();
    runBaselines(flow, instance, false);
    receiveData(index, deliver(instance, PacketKind::Data, flow.key));
}

void FlowWorkload::receiveData(std::size_t index, const Delivery &delivery)
{
    auto &flow = m_flows[index];
    const auto *arrival = std::get_if<Arrival>(&delivery);
    if (flow.upstream == m_failedUpstream) {
        ++m_result.upstreamFailed;
        endFlow(index, false);
        return;
    }
    if (arrival == nullptr) {
        // The caller retransmits a packet that is lost with an instance or at the hop limit. Any
        // other rejection closes the flow.
        const auto reason = std::get<common::Reason>(delivery);
        if (reason != common::Reason::UnknownPeer && reason != common::Reason::HopLimit) {
            breakFlow(index);
        }
        return;
    }
    if (arrival->upstream == flow.upstream) {
        return;
    }
    // The upstream answers "unknown flow", so the forwarding instance tries the next candidate.
    auto next = std::optional(arrival->upstream);
    while (next && next != flow.upstream) {
        auto *instance = m_fleet.find(arrival->instance);
        next = instance->router->nextCandidate(FleetReplay::Service, flow.key, *next,
                                               m_fleet.now());
    }
    if (next) {
        ++m_result.recovered;
        return;
    }
    breakFlow(index);
}

void FlowWorkload::breakFlow(std::size_t index)
{
    ++m_result.broken;
    endFlow(index, false);
}

void FlowWorkload::endFlow(std::size_t index, bool shouldSendClose)
{
    auto &flow = m_flows[index];
    const auto position = std::ranges::lower_bound(m_open, index);
    if (flow.hasEnded || position == m_open.end()) {
        return;
    }
    m_open.erase(position);
    flow.hasEnded = true;
    if (shouldSendClose) {
        std::ignore = deliver(randomInstance(), PacketKind::Close, flow.key);
    }
}

FlowWorkload::Delivery FlowWorkload::deliver(std::uint32_t instance, PacketKind kind, FlowKey key)
{
    ++m_result.packets;
    connection::RoutedPacket packet {
        FleetReplay::Service, key, kind, 0, std::nullopt, std::nullopt
    };
    for (auto *at = m_fleet.find(instance); at != nullptr; at = m_fleet.find(instance)) {
        const auto decision = at->router->route(packet, m_fleet.now());
        if (const auto *forward = std::get_if<connection::ForwardToUpstream>(&decision)) {
            return Arrival { forward->upstream, instance };
        }
        const auto *relay = std::get_if<connection::RelayToPeer>(&decision);
        if (relay == nullptr) {
            const auto reason = std::get<connection::RejectPacket>(decision).reason;
            m_result.hopLimit += reason == common::Reason::HopLimit ? 1 : 0;
            return reason;
        }
        ++m_result.relays;
        packet = { FleetReplay::Service, key,           kind,
                   packet.hops + 1,      relay->record, common::InstanceId(instance) };
        instance = relay->peer.value();
    }
    ++m_result.lostPackets;
    return common::Reason::UnknownPeer;
}

void FlowWorkload::runBaselines(Flow &flow, std::uint32_t instance, bool isOpening)
{
    if (m_fleet.find(instance) == nullptr) {
        return;
    }
    for (std::size_t number = 0; number < BaselineCount; ++number) {
        if (flow.baselineBroken[number]) {
            continue;
        }
        const auto chosen = baselineChoice(static_cast<Baseline>(number), flow.key, instance);
        auto &upstream = flow.baselineUpstreams[number];
        if (isOpening || upstream == UpstreamId(0)) {
            upstream = chosen;
        } else if (chosen != upstream && upstream != m_failedUpstream) {
            flow.baselineBroken[number] = true;
            ++m_result.baselineBroken[number];
        }
    }
}

UpstreamId FlowWorkload::baselineChoice(Baseline baseline, FlowKey key, std::uint32_t instance)
{
    if (baseline == Baseline::RendezvousWithTable) {
        const auto [entry, added] = m_tables[instance].try_emplace(key.value());
        if (added || entry->second == m_failedUpstream) {
            entry->second = baselineChoice(Baseline::Rendezvous, key, instance);
        }
        return entry->second;
    }
    const auto &known = *m_fleet.find(instance);
    std::vector<UpstreamId> active;
    std::pair<std::uint64_t, UpstreamId> best;
    for (const auto &upstream : known.roster.upstreams) {
        if (upstream.state == version::UpstreamState::Active
            && !known.lostUpstreams.contains(upstream.id)) {
            active.push_back(upstream.id);
            best = std::max(best,
                            { common::hashPair(key.value(), upstream.id.value()), upstream.id });
        }
    }
    return baseline == Baseline::Rendezvous ? best.second : active[key.value() % active.size()];
}

} // namespace banyanwall::benchmarks
