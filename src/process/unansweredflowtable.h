#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "upstream.pb.h"

#include <array>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyanwall::process {

/// A flow with caller packets that its upstream has not answered.
struct UnansweredFlow
{
    common::FlowKey flow;
    common::UpstreamId upstream;
    /// Packets forwarded since the last answer.
    std::uint32_t packets = 0;
    common::TimePoint firstForwarded;
    common::TimePoint lastForwarded;
    /// Last packet as it was sent to the upstream.
    wire::proto::UpstreamMessage message;
};

/// Flows with an unanswered packet. When the upstream does not answer or is lost, the instance
/// takes its flows from here and sends resets to their callers. A flow is removed when its upstream
/// answers. Thread-safe.
class UnansweredFlowTable
{
public:
    static constexpr std::uint32_t MinUnansweredPackets = 3;
    static constexpr common::Duration MinUnansweredTime = std::chrono::seconds(10);
    /// Time from the last forwarded packet until an unanswered flow is removed without a reset.
    static constexpr common::Duration EntryRetention = std::chrono::seconds(60);
    /// Bounds the memory; further flows are not added.
    static constexpr std::size_t MaxFlowsPerShard = 4'096;

    void onForwarded(common::FlowKey flow, common::UpstreamId upstream,
                     const wire::proto::UpstreamMessage &message, common::TimePoint now);
    void remove(common::FlowKey flow);
    /// Removes and returns the flow.
    std::optional<UnansweredFlow> take(common::FlowKey flow);
    /// Removes and returns the flows whose upstream answers probes, but has not answered the last
    /// MinUnansweredPackets or more packets of the flow, the first of them sent at least
    /// MinUnansweredTime ago. Also removes the flows whose last packet was forwarded more than
    /// EntryRetention ago.
    std::vector<UnansweredFlow>
    takeUnresponsive(common::TimePoint now,
                     const std::function<bool(common::UpstreamId)> &upstreamAnswersProbes);
    std::vector<UnansweredFlow> takeFlowsOf(common::UpstreamId upstream);

private:
    static constexpr std::size_t ShardCount = 64;

    struct Shard
    {
        std::mutex mutex;
        std::unordered_map<common::FlowKey, UnansweredFlow> flows;
    };

    Shard &shardOf(common::FlowKey flow);
    template<typename Predicate>
    std::vector<UnansweredFlow> takeWhere(const Predicate &isSelected);

    std::array<Shard, ShardCount> m_shards;
};

} // namespace banyanwall::process
