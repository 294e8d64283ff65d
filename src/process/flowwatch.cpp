#include "process/flowwatch.h"

#include <utility>

namespace banyanwall::process {

void FlowWatch::onForwarded(common::FlowKey flow, common::UpstreamId upstream,
                            const wire::proto::UpstreamMessage &message, common::TimePoint now)
{
    auto &shard = shardOf(flow);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.flows.find(flow);
    if (found == shard.flows.end()) {
        if (shard.flows.size() < FlowsPerShard) {
            shard.flows.emplace(flow, UnansweredFlow { flow, upstream, 1, now, now, message });
        }
        return;
    }
    auto &entry = found->second;
    if (entry.upstream != upstream) {
        entry = { flow, upstream, 0, now, now, {} };
    }
    ++entry.packets;
    entry.last = now;
    entry.message = message;
}

void FlowWatch::onAnswered(common::FlowKey flow)
{
    auto &shard = shardOf(flow);
    const std::lock_guard lock(shard.mutex);
    shard.flows.erase(flow);
}

std::optional<UnansweredFlow> FlowWatch::take(common::FlowKey flow)
{
    auto &shard = shardOf(flow);
    const std::lock_guard lock(shard.mutex);
    auto node = shard.flows.extract(flow);
    return node.empty() ? std::nullopt : std::optional(std::move(node.mapped()));
}

std::vector<UnansweredFlow>
FlowWatch::takeSilent(common::TimePoint now,
                      const std::function<bool(common::UpstreamId)> &upstreamAnswersProbes)
{
    for (auto &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        std::erase_if(shard.flows,
                      [&](const auto &entry) { return now - entry.second.last > ForgetAfter; });
    }
    return takeWhere([&](const UnansweredFlow &flow) {
        return flow.packets >= SilentPackets && now - flow.first >= SilentFor
                && upstreamAnswersProbes(flow.upstream);
    });
}

std::vector<UnansweredFlow> FlowWatch::takeFlowsOf(common::UpstreamId upstream)
{
    return takeWhere([&](const UnansweredFlow &flow) { return flow.upstream == upstream; });
}

FlowWatch::Shard &FlowWatch::shardOf(common::FlowKey flow)
{
    return m_shards.at(flow.value() % ShardCount);
}

template<typename Wanted>
std::vector<UnansweredFlow> FlowWatch::takeWhere(const Wanted &wanted)
{
    std::vector<UnansweredFlow> taken;
    for (auto &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (auto entry = shard.flows.begin(); entry != shard.flows.end();) {
            if (wanted(entry->second)) {
                taken.push_back(std::move(entry->second));
                entry = shard.flows.erase(entry);
            } else {
                ++entry;
            }
        }
    }
    return taken;
}

} // namespace banyanwall::process
