#pragma once

#include "connection/flowrouter.h"
#include "process/packethandler.h"
#include "process/servicedirectory.h"
#include "process/unansweredflowtable.h"

namespace banyanwall::process {

/// Applies state changes of upstreams (incarnation, loss, withdrawal) and resets the flows that
/// they end. Not thread-safe; runs on the control thread.
class UpstreamStateHandler
{
public:
    /// Parts that the handler uses; all must outlive it.
    struct Parts
    {
        ServiceDirectory &directory;
        connection::FlowRouter &router;
        UnansweredFlowTable &unansweredFlows;
        PacketHandler &packets;
    };

    explicit UpstreamStateHandler(Parts parts);

    /// A state that the instance that owns the upstream has sent.
    void onState(const wire::proto::UpstreamState &state);
    /// The incarnation that the upstream itself has sent.
    void onIncarnation(common::UpstreamId upstream, common::Incarnation incarnation);
    /// Resets the flows of upstreams whose zone is withdrawn.
    void resetFlowsOfWithdrawnUpstreams();
    /// Resets the flows whose upstream answers probes but not the packets of the flow.
    void resetUnresponsiveFlows(common::TimePoint now);

private:
    void resetFlowsOf(common::UpstreamId upstream, common::Reason reason);

    Parts m_parts;
};

} // namespace banyanwall::process
