#pragma once

#include "connection/flowrouter.h"
#include "process/flowwatch.h"
#include "process/metrics.h"
#include "process/servicedirectory.h"
#include "process/sinks.h"
#include "wire/datagram.h"

#include <atomic>
#include <string_view>

namespace banyanwall::process {

/// Path of packets between fabric, peers and upstreams. Thread-safe; called by UDP workers and by
/// the thread of the peer transport.
class PacketHandler
{
public:
    /// References to the parts that the packet path uses; all outlive the handler.
    struct Parts
    {
        const ServiceDirectory &directory;
        connection::FlowRouter &router;
        FlowWatch &watch;
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

    /// Until then this instance may decide by its own map. The time is checked for each packet,
    /// because a paused process handles packets before its timers run.
    void setFreshUntil(common::TimePoint freshUntil);

    /// Closes the flow of a packet towards its caller. returnToken is that of the packet.
    void resetFlow(const std::string &returnToken, common::Reason reason);

    /// Header that leads answers back to the caller: the frame with a payload that holds only the
    /// caller's flow id.
    [[nodiscard]] static std::string returnToken(const wire::proto::FabricFrame &frame,
                                                 std::uint64_t flowId);
    /// Sends message to the caller that the token names. False when the token is malformed.
    static bool replyTo(const std::string &returnToken, wire::proto::CallerMessage message,
                        DatagramSink &datagrams);

private:
    struct FlowContext
    {
        const wire::proto::FabricFrame &frame;
        const wire::proto::CallerMessage &message;
        connection::RoutedPacket packet;
    };

    /// What the relaying instance says about a packet; all empty for one from the fabric.
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
    /// Tries the next upstream that may know the flow. False when there is none.
    bool retryElsewhere(const wire::proto::UpstreamMessage &reset, common::UpstreamId upstream,
                        common::TimePoint now);
    void refreshStaleness(common::TimePoint now);

    Parts m_parts;
    std::atomic<common::TimePoint::rep> m_freshUntil { 0 };
    std::atomic<bool> m_stale { true };
};

} // namespace banyanwall::process
