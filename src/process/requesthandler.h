#pragma once

#include "connection/ownerselector.h"
#include "process/metrics.h"
#include "process/ownedupstreams.h"
#include "process/requestplacement.h"
#include "process/servicedirectory.h"
#include "process/sinks.h"
#include "request/coordinator.h"

#include <memory>

namespace banyanwall::process {

/// Relays each request to its coordinator and sends the messages that the actions of the own
/// coordinator require. Not thread-safe; runs on the control thread.
class RequestHandler
{
public:
    /// Parts that the handler uses; all must outlive it.
    struct Parts
    {
        common::InstanceId self;
        const ServiceDirectory &directory;
        request::Coordinator &coordinator;
        RequestPlacement &placement;
        OwnedUpstreams &owned;
        DatagramSink &datagrams;
        PeerSink &peers;
        Metrics &metrics;
    };

    explicit RequestHandler(Parts parts);

    void setMembers(std::shared_ptr<const connection::OwnerSelector> members);

    /// sender is the relaying instance; empty for a request from the fabric.
    void onCallerRequest(const wire::proto::RequestRelay &relay,
                         std::optional<common::InstanceId> sender, request::Moment moment);
    void onDispatchResult(const wire::proto::UpstreamMessage &message, request::Moment moment);
    void onSlotRequest(common::InstanceId sender, const wire::proto::SlotRequest &request,
                       request::Moment moment);
    void onSlotGrant(const wire::proto::SlotGrant &grant, request::Moment moment);
    void onSlotRelease(const wire::proto::SlotRelease &release, request::Moment moment);
    void onSlotReportRequest(common::InstanceId sender,
                             const wire::proto::SlotReportRequest &request, request::Moment moment);
    void onTick(request::Moment moment);

    /// Maximum number of bytes of an answer in one datagram.
    static constexpr std::size_t MaxPieceBytes = 1'200;

private:
    void handleAsCoordinator(const wire::proto::FabricFrame &frame,
                             const wire::proto::CallerMessage &message, common::ServiceId service,
                             request::Moment moment);
    void relay(wire::proto::RequestRelay relay, const RequestPlacement::Relay &decision);
    void perform(const request::RequestActions &actions, request::Moment moment);

    void run(const request::RequestSlot &action, request::Moment moment);
    void run(const request::ReleaseSlot &action, request::Moment moment);
    void run(const request::DispatchRequest &action, request::Moment moment);
    void run(const request::CancelDispatch &action, request::Moment moment);
    void run(const request::DeliverAnswer &action, request::Moment moment);
    void run(const request::RefuseRequest &action, request::Moment moment);
    void run(const request::CountRetry &action, request::Moment moment);
    void run(const request::CountDrop &action, request::Moment moment);

    [[nodiscard]] std::optional<common::InstanceId> ownerOf(common::UpstreamId upstream) const;

    Parts m_parts;
    std::shared_ptr<const connection::OwnerSelector> m_members;
};

} // namespace banyanwall::process
