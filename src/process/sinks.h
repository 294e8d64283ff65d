#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "peer.pb.h"
#include "upstream.pb.h"

#include <string>

namespace banyanwall::process {

/// Sends datagrams to upstreams and to the fabric. Thread-safe; never blocks.
class DatagramSink
{
public:
    virtual ~DatagramSink() = default;
    virtual void toUpstream(common::Endpoint upstream, std::string bytes) = 0;
    /// bytes is an encoded FabricFrame.
    virtual void toFabric(std::string bytes) = 0;
};

/// Sends messages to other instances. Thread-safe; never blocks. Messages to unknown or unreachable
/// members are dropped.
class PeerSink
{
public:
    virtual ~PeerSink() = default;
    virtual void toPeer(common::InstanceId peer, const wire::proto::PeerMessage &message) = 0;
    /// For seeds, whose instance ids are not known yet.
    virtual void toAddress(common::Endpoint address, const wire::proto::PeerMessage &message) = 0;
};

/// Receives the messages that the packet path passes to the control thread. Thread-safe; never
/// blocks.
class ControlSink
{
public:
    virtual ~ControlSink() = default;
    /// The payload of the frame is a Request or a RequestCancel.
    virtual void onCallerRequest(wire::proto::RequestRelay request) = 0;
    /// message is an upstream's answer to a dispatch or its refusal.
    virtual void onDispatchResult(wire::proto::UpstreamMessage message) = 0;
    virtual void onHealthReport(common::UpstreamId upstream, wire::proto::HealthReport report) = 0;
    /// The upstream has rejected a packet, because its incarnation differs from that in the packet.
    /// incarnation is that of the upstream.
    virtual void onIncarnationRejected(common::UpstreamId upstream,
                                       common::Incarnation incarnation) = 0;
};

} // namespace banyanwall::process
