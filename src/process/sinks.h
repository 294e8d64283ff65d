#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "peer.pb.h"
#include "upstream.pb.h"

#include <string>

namespace banyanwall::process {

/// Takes datagrams that leave this instance. Thread-safe; never blocks.
class DatagramSink
{
public:
    virtual ~DatagramSink() = default;
    virtual void toUpstream(common::Endpoint upstream, std::string bytes) = 0;
    /// An encoded FabricFrame for the fabric.
    virtual void toFabric(std::string bytes) = 0;
};

/// Takes messages for other instances. Thread-safe; never blocks. Messages to unknown or
/// unreachable members are dropped.
class PeerSink
{
public:
    virtual ~PeerSink() = default;
    virtual void toPeer(common::InstanceId peer, const wire::proto::PeerMessage &message) = 0;
    /// For seeds, whose id is not known yet.
    virtual void toAddress(common::Endpoint address, const wire::proto::PeerMessage &message) = 0;
};

/// Takes what the packet path leaves to the control thread. Thread-safe; never blocks.
class ControlSink
{
public:
    virtual ~ControlSink() = default;
    /// A Request or RequestCancel in the payload of frame.
    virtual void onCallerRequest(wire::proto::RequestRelay request) = 0;
    /// An answer or refusal of a dispatch.
    virtual void onDispatchResult(wire::proto::UpstreamMessage message) = 0;
    virtual void onHealthReport(common::UpstreamId upstream, wire::proto::HealthReport report) = 0;
    /// The upstream says that it has another incarnation than the known one.
    virtual void onIncarnationRejected(common::UpstreamId upstream,
                                       common::Incarnation incarnation) = 0;
};

} // namespace banyanwall::process
