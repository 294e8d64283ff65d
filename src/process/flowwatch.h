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

/// A flow with caller packets that its upstream has not answered yet.
struct UnansweredFlow
{
    common::FlowKey flow;
    common::UpstreamId upstream;
    std::uint32_t packets = 0;
    common::TimePoint first;
    common::TimePoint last;
    /// Newest packet as it was sent to the upstream.
    wire::proto::UpstreamMessage message;
};

/// Remembers flows only while a packet of theirs is unanswered, so that silent connections and the
/// flows of a lost upstream can be closed towards their callers. Thread-safe.
class FlowWatch
{
public:
    static constexpr std::uint32_t SilentPackets = 3;
    static constexpr common::Duration SilentFor = std::chrono::seconds(10);
    /// An unanswered flow without further packets is forgotten after this time.
    static constexpr common::Duration ForgetAfter = std::chrono::seconds(60);
    /// Bounds the memory; further flows are not watched.
    static constexpr std::size_t FlowsPerShard = 4'096;

    void onForwarded(common::FlowKey flow, common::UpstreamId upstream,
                     const wire::proto::UpstreamMessage &message, common::TimePoint now);
    void onAnswered(common::FlowKey flow);
    /// Removes and returns the flow.
    std::optional<UnansweredFlow> take(common::FlowKey flow);
    /// Removes and returns the flows whose upstream accepts probes but has not answered
    /// SilentPackets in a row over at least SilentFor.
    std::vector<UnansweredFlow>
    takeSilent(common::TimePoint now,
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
    template<typename Wanted>
    std::vector<UnansweredFlow> takeWhere(const Wanted &wanted);

    std::array<Shard, ShardCount> m_shards;
};

} // namespace banyanwall::process
