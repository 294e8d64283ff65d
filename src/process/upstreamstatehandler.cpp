#include "process/upstreamstatehandler.h"

#include "process/logging.h"

namespace banyanwall::process {

using common::UpstreamId;

UpstreamStateHandler::UpstreamStateHandler(Parts parts)
    : m_parts(parts)
{ }

void UpstreamStateHandler::onState(const wire::proto::UpstreamState &state)
{
    const UpstreamId upstream(state.upstream());
    const common::Incarnation incarnation(state.incarnation());
    const auto view = m_parts.directory.view();
    const auto *known = view->upstream(upstream);
    const bool isRestarted = known != nullptr && known->incarnation != common::Incarnation()
            && incarnation > known->incarnation;
    // A late message of a former owner may carry an older incarnation.
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
    if (state.lost() || isRestarted) {
        resetFlowsOf(upstream, common::Reason::UpstreamLost);
    }
}

void UpstreamStateHandler::onIncarnation(UpstreamId upstream, common::Incarnation incarnation)
{
    const auto view = m_parts.directory.view();
    const auto *known = view->upstream(upstream);
    if (known == nullptr || incarnation <= known->incarnation) {
        return;
    }
    wire::proto::UpstreamState state;
    state.set_upstream(upstream.value());
    state.set_incarnation(incarnation.value());
    state.set_lost(known->isLost);
    onState(state);
}

void UpstreamStateHandler::resetFlowsOfWithdrawnUpstreams()
{
    for (const auto &[id, entry] : m_parts.directory.view()->upstreams) {
        if (entry.state == version::UpstreamState::Withdrawn) {
            resetFlowsOf(id, common::Reason::ZoneWithdrawn);
        }
    }
}

void UpstreamStateHandler::resetUnresponsiveFlows(common::TimePoint now)
{
    const auto view = m_parts.directory.view();
    const auto unresponsive =
            m_parts.unansweredFlows.takeUnresponsive(now, [&](UpstreamId upstream) {
                const auto *entry = view->upstream(upstream);
                return entry != nullptr && !entry->isLost;
            });
    for (const auto &flow : unresponsive) {
        m_parts.packets.resetFlow(flow.message.return_token(), common::Reason::UpstreamSilent);
    }
}

void UpstreamStateHandler::resetFlowsOf(UpstreamId upstream, common::Reason reason)
{
    for (const auto &flow : m_parts.unansweredFlows.takeFlowsOf(upstream)) {
        m_parts.packets.resetFlow(flow.message.return_token(), reason);
    }
}

} // namespace banyanwall::process
