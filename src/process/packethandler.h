#pragma once

#include "connection/flowrouter.h"
#include "process/metrics.h"
#include "process/servicedirectory.h"
#include "process/sinks.h"
#include "process/unansweredflowtable.h"
#include "wire/datagram.h"

#include <atomic>
#include <string_view>

namespace banyanwall::process {

/// Handles packets of flows between fabric, peers and upstreams. Thread-safe; called by the UDP
/// workers and by the thread of the peer transport.
class PacketHandler
{
public:
    /// Parts that the handler uses; all must outlive it.
    struct Parts
    {
        const ServiceDirectory &directory;
        connection::FlowRouter &router;
        UnansweredFlowTable &unansweredFlows;
        DatagramSink &datagrams;
        PeerSink &peers;
        ControlSink &control;
        Metrics &metrics;
    };

    explicit PacketHandler(Parts parts);

    void onFabricDatagram(std::string_view bytes, common::TimePoint now);
    void onUpstreamDatagram(std::string_view bytes, common::Endpoint sender, common::TimePoint now);
    void onRelay(const wire::proto::RelayPacket &relay, common::InstanceId sender,
                 common::TimePoint now);

    /// Sets the time until which this instance may decide by its own bucket map; zero while it has
    /// not joined. Afterwards the router is stale and relays packets. The handler compares the time
    /// with that of each packet, because a process that was paused handles packets before its
    /// timers run.
    void setFreshUntil(common::TimePoint freshUntil);

    /// Sends a reset to the caller of a flow. returnToken is that of a packet of the flow.
    void resetFlow(const std::string &returnToken, common::Reason reason);

    /// Header that an upstream echoes to address its answer to the caller: the encoded reply frame,
    /// whose payload holds only the caller's flow id.
    [[nodiscard]] static std::string returnToken(const wire::proto::FabricFrame &frame,
                                                 std::uint64_t flowId);
    /// Sends message to the caller that the token names. Returns false when the token is malformed.
    static bool replyTo(const std::string &returnToken, wire::proto::CallerMessage message,
                        DatagramSink &datagrams);

private:
    struct FlowContext
    {
        const wire::proto::FabricFrame &frame;
        const wire::proto::CallerMessage &message;
        connection::RoutedPacket packet;
    };

    /// Data that the relaying instance adds to a packet; empty for a packet from the fabric.
    struct RelayInfo
    {
        std::uint32_t hops = 0;
        std::optional<common::UpstreamId> record;
        std::optional<common::InstanceId> sender;
    };

    void handleCallerMessage(const wire::proto::FabricFrame &frame, const RelayInfo &info,
                             common::TimePoint now);
    void routeFlow(const FlowContext &flow, common::TimePoint now);
    void forward(const FlowContext &flow, common::UpstreamId upstream, common::TimePoint now);
    void relay(const FlowContext &flow, const connection::RelayToPeer &decision);
    void reject(const FlowContext &flow, common::Reason reason);
    void onUpstreamReset(const wire::proto::UpstreamMessage &message, common::UpstreamId upstream,
                         common::TimePoint now);
    /// Sends the last packet of the flow to the next upstream that may know the flow. Returns false
    /// when there is none.
    bool retryAtNextCandidate(const wire::proto::UpstreamMessage &reset,
                              common::UpstreamId upstream, common::TimePoint now);
    void updateStaleness(common::TimePoint now);

    Parts m_parts;
    std::atomic<common::TimePoint::rep> m_freshUntil { 0 };
    std::atomic<bool> m_isStale { true };
};

} // namespace banyanwall::process
