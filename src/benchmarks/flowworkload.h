#pragma once

#include "fleetreplay.h"

#include <array>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanwall::benchmarks {

/// Stateless or per-instance balancers that the core is compared with.
enum class Baseline {
    Modulo,
    Rendezvous,
    RendezvousWithTable,
};

inline constexpr std::size_t BaselineCount = 3;

struct WorkloadOptions
{
    std::uint32_t instances = 16;
    std::uint32_t flows = 60'000;
    std::uint32_t opensPerSecond = 100;
    /// Duplicates and delays 1 % of the packets, kills two instances and an upstream.
    bool faults = false;
    /// Instances that are killed in a run with faults, the second one killInterval later.
    std::array<std::uint32_t, 2> victims { 16, 15 };
    common::Duration killAfter = std::chrono::seconds(125);
    common::Duration killInterval = std::chrono::milliseconds(700);
    std::uint64_t seed = 1;
};

struct WorkloadResult
{
    std::uint64_t packets = 0;
    std::uint64_t flows = 0;
    /// Flows with a packet that reached another upstream and could not be recovered, or that the
    /// core refused.
    std::uint64_t broken = 0;
    std::array<std::uint64_t, BaselineCount> baselineBroken {};
    /// Flows whose upstream failed.
    std::uint64_t upstreamDied = 0;
    /// Flows that the upstream's "unknown flow" answer led back to their upstream.
    std::uint64_t recovered = 0;
    /// Opens that reached a second upstream.
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

/// Replays packets in time order: each flow sends one packet every 10 s to a random instance, while
/// 2 upstreams are drained and 2 added 60 s apart and all instances are replaced one after another.
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
        bool ended = false;
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
    void endFlow(std::size_t index, bool close);
    /// Calls send now, or late and twice for 1 % of the packets in a run with faults.
    void transmit(const std::function<void()> &send);
    [[nodiscard]] std::uint32_t randomInstance();
    /// Follows the packet to an upstream, or to the reason why it reaches none (UnknownPeer when an
    /// instance on its way is gone).
    [[nodiscard]] Delivery deliver(std::uint32_t instance, connection::PacketKind kind,
                                   common::FlowKey key);
    void receiveOpen(std::size_t index, const Delivery &delivery);
    void receiveData(std::size_t index, const Delivery &delivery);
    void breakFlow(std::size_t index);
    void runBaselines(Flow &flow, std::uint32_t instance, bool open);
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
    std::optional<common::UpstreamId> m_dead;
    WorkloadResult m_result;
};

/// Roster of the workload: Active upstreams by number, drained ones marked.
[[nodiscard]] version::ServiceRoster workloadRoster(std::uint64_t version, std::uint32_t upstreams,
                                                    std::uint32_t drained);

} // namespace banyanwall::benchmarks
