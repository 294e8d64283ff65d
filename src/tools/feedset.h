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
    common::Duration interval = std::chrono::milliseconds(500);
    /// Mean life of a feed, after which the caller closes it; zero keeps feeds open.
    common::Duration lifetime = common::Duration::zero();
    /// Packets in a row without an echo after which a feed counts as broken.
    std::uint32_t silentLimit = 8;
};

/// Feeds of one caller: opens each with retransmission, sends packets at an interval, checks the
/// echoes and counts a feed as broken when it is reset or falls silent. A broken or closed feed is
/// replaced by a new one.
class FeedSet
{
public:
    static constexpr common::Duration OpenRetransmission = std::chrono::milliseconds(250);
    static constexpr std::uint32_t LastOpenTransmission = 20;
    static constexpr common::Duration ReopenPause = std::chrono::milliseconds(500);

    struct Counters
    {
        std::uint64_t opened = 0;
        std::uint64_t closed = 0;
        std::uint64_t broken = 0;
        /// Opens that were refused or never answered.
        std::uint64_t openFailed = 0;
        std::uint64_t packets = 0;
        std::uint64_t echoes = 0;
        /// Echoes of another service or flow.
        std::uint64_t wrongService = 0;
        /// Echoes of an open feed from another upstream than the one that opened it.
        std::uint64_t movedEchoes = 0;
        /// Feeds that two upstreams accepted.
        std::uint64_t openedTwice = 0;
    };

    FeedSet(FeedSettings settings, std::uint64_t seed);

    [[nodiscard]] std::vector<wire::proto::CallerMessage> onTick(common::TimePoint now,
                                                                 common::WallTime wall);
    void onMessage(const wire::proto::CallerMessage &message, common::TimePoint now,
                   common::WallTime wall);

    /// Opens no feeds from now on and counts no feed as broken.
    void stop() { m_stopping = true; }

    [[nodiscard]] const Counters &counters() const { return m_counters; }

    [[nodiscard]] std::size_t openFeeds() const;
    /// Counters, broken feeds with upstream id, reason and wall-clock time, feeds open by upstream.
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
        common::TimePoint due;
        common::TimePoint opened;
        std::optional<common::TimePoint> closeAt;
        std::uint32_t upstream = 0;
        std::uint64_t sequence = 0;
        std::uint64_t echoed = 0;
    };

    struct BrokenFeed
    {
        std::uint64_t flowId = 0;
        std::uint32_t upstream = 0;
        std::string reason;
        common::WallTime at;
        std::chrono::milliseconds age { 0 };
    };

    using Message = wire::proto::CallerMessage;

    void startFeed(Feed &feed, common::TimePoint due);
    [[nodiscard]] std::optional<Message> step(Feed &feed, common::TimePoint now,
                                              common::WallTime wall);
    [[nodiscard]] std::optional<Message> stepOpening(Feed &feed, common::TimePoint now);
    [[nodiscard]] Message sendData(Feed &feed);
    [[nodiscard]] std::string payloadOf(const Feed &feed) const;
    void breakFeed(Feed &feed, const std::string &reason, common::TimePoint now,
                   common::WallTime wall);
    void onOpened(Feed &feed, std::uint32_t upstream, common::TimePoint now);
    void onEcho(Feed &feed, const wire::proto::FeedData &echo);
    [[nodiscard]] Feed *find(std::uint64_t flowId);

    FeedSettings m_settings;
    std::mt19937_64 m_random;
    std::uint64_t m_nextFlowId;
    bool m_stopping = false;
    std::vector<Feed> m_feeds;
    std::unordered_map<std::uint64_t, std::size_t> m_byFlowId;
    std::vector<BrokenFeed> m_broken;
    Counters m_counters;
};

} // namespace banyanwall::tools
