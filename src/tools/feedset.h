#pragma once

#include "common/time.h"
#include "wire/datagram.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace banyanwall::tools {

struct FeedSettings
{
    /// "customer/service".
    std::string service;
    std::size_t feeds = 0;
    /// Time between two packets of a feed.
    common::Duration interval = std::chrono::milliseconds(500);
    /// Mean time from the opening of a feed until the caller closes it (exponential distribution).
    /// Zero keeps the feeds open.
    common::Duration lifetime = common::Duration::zero();
    /// Number of packets in a row without an echo at which a feed counts as broken.
    std::uint32_t unansweredPacketLimit = 8;
};

/// Feeds of one caller. A feed is a flow on which the caller sends packets at an interval and the
/// upstream echoes each of them. FeedSet retransmits the opening packets, checks the echoes and
/// counts a feed as broken when the feed is reset or its packets are no longer echoed. A new feed
/// replaces each broken or closed feed.
class FeedSet
{
public:
    static constexpr common::Duration OpenRetransmissionInterval = std::chrono::milliseconds(250);
    static constexpr std::uint32_t MaxOpenTransmissions = 20;
    static constexpr common::Duration ReopenDelay = std::chrono::milliseconds(500);

    struct Counters
    {
        std::uint64_t opened = 0;
        std::uint64_t closed = 0;
        std::uint64_t broken = 0;
        /// Feeds whose opening was reset or never answered.
        std::uint64_t openFailed = 0;
        std::uint64_t packets = 0;
        std::uint64_t echoes = 0;
        /// Echoes with the payload of another service or flow.
        std::uint64_t wrongService = 0;
        /// Echoes of an open feed from another upstream than the one that accepted the feed first.
        std::uint64_t movedEchoes = 0;
        /// Feeds that two upstreams accepted.
        std::uint64_t openedTwice = 0;
    };

    FeedSet(FeedSettings settings, std::uint64_t seed);

    /// Returns the messages to send by now.
    [[nodiscard]] std::vector<wire::proto::CallerMessage> onTick(common::TimePoint now,
                                                                 common::WallTime wall);
    void onMessage(const wire::proto::CallerMessage &message, common::TimePoint now,
                   common::WallTime wall);

    /// Opens no more feeds and counts no more feeds as broken.
    void stop() { m_isStopping = true; }

    [[nodiscard]] const Counters &counters() const { return m_counters; }

    [[nodiscard]] std::size_t openFeeds() const;
    /// Counters; the broken feeds with upstream id, reason, wall-clock time and age; the number of
    /// open feeds of each upstream.
    [[nodiscard]] boost::json::object toJson() const;

private:
    enum class State {
        Opening,
        Open,
    };

    struct Feed
    {
        std::uint64_t flowId = 0;
        State state = State::Opening;
        std::uint32_t transmissions = 0;
        common::TimePoint nextSend;
        common::TimePoint openedAt;
        std::optional<common::TimePoint> closeAt;
        std::uint32_t upstream = 0;
        std::uint64_t lastSequence = 0;
        std::uint64_t lastEchoedSequence = 0;
    };

    struct BrokenFeed
    {
        std::uint64_t flowId = 0;
        std::uint32_t upstream = 0;
        std::string reason;
        common::WallTime brokenAt;
        std::chrono::milliseconds age { 0 };
    };

    using Message = wire::proto::CallerMessage;

    void replaceFeed(Feed &feed, common::TimePoint nextSend);
    [[nodiscard]] std::optional<Message> advance(Feed &feed, common::TimePoint now,
                                                 common::WallTime wall);
    [[nodiscard]] std::optional<Message> advanceOpening(Feed &feed, common::TimePoint now);
    [[nodiscard]] Message sendData(Feed &feed);
    [[nodiscard]] std::string payloadOf(const Feed &feed) const;
    void replaceBrokenFeed(Feed &feed, const std::string &reason, common::TimePoint now,
                           common::WallTime wall);
    void onOpened(Feed &feed, std::uint32_t upstream, common::TimePoint now);
    void onEcho(Feed &feed, const wire::proto::FeedData &echo);
    [[nodiscard]] Feed *find(std::uint64_t flowId);

    FeedSettings m_settings;
    std::mt19937_64 m_random;
    std::uint64_t m_nextFlowId;
    bool m_isStopping = false;
    std::vector<Feed> m_feeds;
    std::unordered_map<std::uint64_t, std::size_t> m_byFlowId;
    std::vector<BrokenFeed> m_broken;
    Counters m_counters;
};

} // namespace banyanwall::tools
