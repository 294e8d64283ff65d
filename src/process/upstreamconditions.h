#pragma once

#include "connection/flowrouter.h"
#include "process/flowwatch.h"
#include "process/packethandler.h"
#include "process/servicedirectory.h"

namespace banyanwall::process {

/// Takes news of upstreams (incarnation, loss, withdrawal) and closes the flows that they end. Not
/// thread-safe; runs on the control thread.
class UpstreamConditions
{
public:
    /// References to the parts that are told; all outlive this object.
    struct Parts
    {
        ServiceDirectory &directory;
        connection::FlowRouter &router;
        FlowWatch &watch;
        PacketHandler &packets;
    };

    explicit UpstreamConditions(Parts parts);

    /// News from the upstream's owner.
    void onState(const wire::proto::UpstreamState &state);
    /// News from the upstream itself.
    void onIncarnation(common::UpstreamId upstream, common::Incarnation incarnation);
    /// Closes the flows of upstreams whose zone is withdrawn.
    void closeWithdrawn();
    /// Closes flows whose upstream accepts probes but does not answer them.
    void closeSilent(common::TimePoint now);

private:
    void closeFlowsOf(common::UpstreamId upstream, common::Reason reason);

    Parts m_parts;
};

} // namespace banyanwall::process
