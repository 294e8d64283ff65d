#include "process/unansweredflowtable.h"

#include <utility>

namespace banyanwall::process {

void UnansweredFlowTable::onForwarded(common::FlowKey flow, common::UpstreamId upstream,
                                      const wire::proto::UpstreamMessage &message,
                                      common::TimePoint now)
{
    auto &shard = shardOf(flow);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.flows.find(flow);
    if (found == shard.flows.end()) {
        if (shard.flows.size() < MaxFlowsPerShard) {
            shard.flows.emplace(flow, UnansweredFlow { flow, upstream, 1, now, now, message });
        }
        return;
    }
    auto &entry = found->second;
    if (entry.upstream != upstream) {
        entry = { flow, upstream, 0, now, now, {} };
    }
    ++entry.packets;
    entry.lastForwarded = now;
    entry.message = message;
}

void UnansweredFlowTable::remove(common::FlowKey flow)
{
    auto &shard = shardOf(flow);
    const std::lock_guard lock(shard.mutex);
    shard.flows.erase(flow);
}

std::optional<UnansweredFlow> UnansweredFlowTable::take(common::FlowKey flow)
{
    auto &shard = shardOf(flow);
    const std::lock_guard lock(shard.mutex);
    auto node = shard.flows.extract(flow);
    return node.empty() ? std::nullopt : std::optional(std::move(node.mapped()));
}

std::vector<UnansweredFlow> UnansweredFlowTable::takeUnresponsive(
        common::TimePoint now, const std::function<bool(common::UpstreamId)> &upstreamAnswersProbes)
{
    for (auto &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        std::erase_if(shard.flows, [&](const auto &entry) {
            return now - entry.second.lastForwarded > EntryRetention;
        });
    }
    return takeWhere([&](const UnansweredFlow &flow) {
        return flow.packets >= MinUnansweredPackets
                && now - flow.firstForwarded >= MinUnansweredTime
                && upstreamAnswersProbes(flow.upstream);
    });
}

std::vector<UnansweredFlow> UnansweredFlowTable::takeFlowsOf(common::UpstreamId upstream)
{
    return takeWhere([&](const UnansweredFlow &flow) { return flow.upstream == upstream; });
}

UnansweredFlowTable::Shard &UnansweredFlowTable::shardOf(common::FlowKey flow)
{
    return m_shards.at(flow.value() % ShardCount);
}

template<typename Predicate>
std::vector<UnansweredFlow> UnansweredFlowTable::takeWhere(const Predicate &isSelected)
{
    std::vector<UnansweredFlow> taken;
    for (auto &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (auto entry = shard.flows.begin(); entry != shard.flows.end();) {
            if (isSelected(entry->second)) {
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
