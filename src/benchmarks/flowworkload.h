#pragma once

#include "fleetreplay.h"

#include <array>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanwall::benchmarks {

/// Stateless or per-instance designs that FlowRouter is compared with. All of them choose among the
/// active upstreams in the roster of the instance that receives the packet.
enum class Baseline {
    Modulo,
    Rendezvous,
    /// Rendezvous hashing for the first packet of a flow at an instance, which stores the choice in
    /// a table of its own.
    RendezvousWithTable,
};

inline constexpr std::size_t BaselineCount = 3;

struct WorkloadOptions
{
    std::uint32_t instances = 16;
    std::uint32_t flows = 60'000;
    std::uint32_t opensPerSecond = 100;
    /// Whether 1 % of the packets are duplicated and delayed, two instances are killed and an
    /// upstream fails.
    bool hasFaults = false;
    /// Instances that are killed in a run with faults: the first one killAfter after the start, the
    /// second one killInterval later.
    std::array<std::uint32_t, 2> killedInstances { 16, 15 };
    common::Duration killAfter = std::chrono::seconds(125);
    common::Duration killInterval = std::chrono::milliseconds(700);
    std::uint64_t seed = 1;
};

struct WorkloadResult
{
    std::uint64_t packets = 0;
    std::uint64_t flows = 0;
    /// Flows with a packet that reached an upstream without that flow and could not be forwarded to
    /// the flow's own upstream, or that FlowRouter rejected.
    std::uint64_t broken = 0;
    std::array<std::uint64_t, BaselineCount> baselineBroken {};
    /// Flows that ended because their upstream failed.
    std::uint64_t upstreamFailed = 0;
    /// Packets that first reached another upstream. After its "unknown flow" answer, the instance
    /// forwarded them to the upstream of their flow.
    std::uint64_t recovered = 0;
    /// Opening packets that reached a second upstream after an earlier one of the same flow.
    std::uint64_t splitOpens = 0;
    std::uint64_t failedOpens = 0;
    std::uint64_t relays = 0;
    std::uint64_t lostPackets = 0;
    std::uint64_t hopLimit = 0;
    std::size_t mostOverrides = 0;
    std::uint64_t handoverRecords = 0;
    std::uint64_t handoverRequests = 0;
    std::uint64_t settledRevisions = 0;
    std::size_t transitionalAtEnd = 0;
};

/// Replays packets in time order for 420 s. Each flow sends one packet every 10 s to a random
/// instance, while two upstreams are drained and two are added, one change every 60 s, and the
/// instances are replaced one after another, one every 20 s.
class FlowWorkload
{
public:
    explicit FlowWorkload(const WorkloadOptions &options);

    [[nodiscard]] WorkloadResult run();

private:
    struct Flow
    {
        common::FlowKey key;
        std::optional<common::UpstreamId> upstream;
        std::array<common::UpstreamId, BaselineCount> baselineUpstreams;
        std::array<bool, BaselineCount> baselineBroken {};
        int openAttempts = 0;
        bool hasEnded = false;
    };

    struct Arrival
    {
        common::UpstreamId upstream;
        std::uint32_t instance = 0;
    };

    using Delivery = std::variant<Arrival, common::Reason>;

    void scheduleChanges();
    void scheduleFaults();
    void openFlow();
    void sendOpen(std::size_t index);
    void sendData(std::size_t index);
    void endFlow(std::size_t index, bool shouldSendClose);
    /// Calls send at once. In a run with faults, calls it twice, each time delayed by up to 200 ms,
    /// for 1 % of the packets.
    void transmit(const std::function<void()> &send);
    [[nodiscard]] std::uint32_t randomInstance();
    /// Routes the packet through the instances. Returns the upstream that it reaches and the
    /// instance that forwarded it there, or the reason why it reaches none (UnknownPeer when an
    /// instance on its way has exited).
    [[nodiscard]] Delivery deliver(std::uint32_t instance, connection::PacketKind kind,
                                   common::FlowKey key);
    void receiveOpen(std::size_t index, const Delivery &delivery);
    void receiveData(std::size_t index, const Delivery &delivery);
    void breakFlow(std::size_t index);
    void runBaselines(Flow &flow, std::uint32_t instance, bool isOpening);
    [[nodiscard]] common::UpstreamId baselineChoice(Baseline baseline, common::FlowKey key,
                                                    std::uint32_t instance);

    WorkloadOptions m_options;
    std::mt19937_64 m_random;
    FleetReplay m_fleet;
    common::TimePoint m_start;
    std::vector<Flow> m_flows;
    std::deque<std::pair<common::TimePoint, std::size_t>> m_schedule;
    std::vector<std::size_t> m_open;
    std::map<std::uint32_t, std::unordered_map<std::uint64_t, common::UpstreamId>> m_tables;
    std::optional<common::UpstreamId> m_failedUpstream;
    WorkloadResult m_result;
};

/// Roster with this many upstreams, of which the first `drained` are draining and the rest active.
[[nodiscard]] version::ServiceRoster workloadRoster(std::uint64_t version, std::uint32_t upstreams,
                                                    std::uint32_t drained);

} // namespace banyanwall::benchmarks
