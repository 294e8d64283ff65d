#include "process/upstreamconditions.h"

#include "process/logging.h"

namespace banyanwall::process {

using common::UpstreamId;

UpstreamConditions::UpstreamConditions(Parts parts)
    : m_parts(parts)
{ }

void UpstreamConditions::onState(const wire::proto::UpstreamState &state)
{
    const UpstreamId upstream(state.upstream());
    const common::Incarnation incarnation(state.incarnation());
    const auto view = m_parts.directory.view();
    const auto *known = view->upstream(upstream);
    const bool restarted = known != nullptr && known->incarnation != common::Incarnation()
            && incarnation > known->incarnation;
    // A former owner may report late.
    if (known != nullptr && incarnation < known->incarnation) {
        return;
    }
    if (!m_parts.directory.setUpstreamState(upstream, incarnation, state.lost())) {
        return;
    }
    LogEvent(LogLevel::Info, "upstream_state")
            .with("upstream", upstream.value())
            .with("incarnation", incarnation.value())
            .with("lost", state.lost());
    m_parts.router.setUpstreamLost(upstream, state.lost());
    if (state.lost() || restarted) {
        closeFlowsOf(upstream, common::Reason::UpstreamLost);
    }
}

void UpstreamConditions::onIncarnation(UpstreamId upstream, common::Incarnation incarnation)
{
    const auto view = m_parts.directory.view();
    const auto *known = view->upstream(upstream);
    if (known == nullptr || incarnation <= known->incarnation) {
        return;
    }
    wire::proto::UpstreamState state;
    state.set_upstream(upstream.value());
    state.set_incarnation(incarnation.value());
    state.set_lost(known->lost);
    onState(state);
}

void UpstreamConditions::closeWithdrawn()
{
    for (const auto &[id, entry] : m_parts.directory.view()->upstreams) {
        if (entry.state == version::UpstreamState::Withdrawn) {
            closeFlowsOf(id, common::Reason::ZoneWithdrawn);
        }
    }
}

void UpstreamConditions::closeSilent(common::TimePoint now)
{
    const auto view = m_parts.directory.view();
    const auto silent = m_parts.watch.takeSilent(now, [&](UpstreamId upstream) {
        const auto *entry = view->upstream(upstream);
        return entry != nullptr && !entry->lost;
    });
    for (const auto &flow : silent) {
        m_parts.packets.resetFlow(flow.message.return_token(), common::Reason::UpstreamSilent);
    }
}

void UpstreamConditions::closeFlowsOf(UpstreamId upstream, common::Reason reason)
{
    for (const auto &flow : m_parts.watch.takeFlowsOf(upstream)) {
        m_parts.packets.resetFlow(flow.message.return_token(), reason);
    }
}

} // namespace banyanwall::process
