#include "tools/feedset.h"

#include "common/hash.h"
#include "tools/workload.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace banyanwall::tools {

using wire::proto::CallerMessage;

namespace {

/// The seed forms the upper 32 bits of a flow id, so that callers with different seeds use
/// different ids.
constexpr unsigned SeedShift = 32;

} // namespace

FeedSet::FeedSet(FeedSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_nextFlowId(seed << SeedShift)
    , m_feeds(m_settings.feeds)
{
    for (std::size_t index = 0; index < m_feeds.size(); ++index) {
        m_feeds[index].flowId = ++m_nextFlowId;
        m_byFlowId[m_feeds[index].flowId] = index;
    }
}

std::vector<CallerMessage> FeedSet::onTick(common::TimePoint now, common::WallTime wall)
{
    std::vector<CallerMessage> messages;
    for (auto &feed : m_feeds) {
        if (feed.nextSend == common::TimePoint {}) {
            // The feeds open at random times within one interval, so that their later packets do
            // not coincide either.
            const auto maxDelay = m_settings.interval.count();
            feed.nextSend = now
                    + common::Duration(std::uniform_int_distribution<common::Duration::rep>(
                            0, maxDelay)(m_random));
        }
        if (feed.nextSend > now) {
            continue;
        }
        if (auto message = advance(feed, now, wall)) {
            message->set_flow_id(feed.flowId);
            messages.push_back(std::move(*message));
            if (messages.back().has_close()) {
                replaceFeed(feed, now + ReopenDelay);
            }
        }
    }
    return messages;
}

std::optional<CallerMessage> FeedSet::advance(Feed &feed, common::TimePoint now,
                                              common::WallTime wall)
{
    if (feed.state == State::Opening) {
        return m_isStopping ? std::nullopt : advanceOpening(feed, now);
    }
    if (!m_isStopping
        && feed.lastSequence - feed.lastEchoedSequence >= m_settings.unansweredPacketLimit) {
        replaceBrokenFeed(feed, "silent", now, wall);
        return std::nullopt;
    }
    if (feed.closeAt && now >= *feed.closeAt) {
        ++m_counters.closed;
        CallerMessage message;
        message.mutable_close();
        return message;
    }
    feed.nextSend += m_settings.interval;
    return sendData(feed);
}

std::optional<CallerMessage> FeedSet::advanceOpening(Feed &feed, common::TimePoint now)
{
    if (feed.transmissions >= MaxOpenTransmissions) {
        ++m_counters.openFailed;
        replaceFeed(feed, now + ReopenDelay);
        return std::nullopt;
    }
    CallerMessage message;
    message.mutable_open()->set_transmission(++feed.transmissions);
    feed.nextSend = now + OpenRetransmissionInterval;
    return message;
}

CallerMessage FeedSet::sendData(Feed &feed)
{
    CallerMessage message;
    message.mutable_data()->set_sequence(++feed.lastSequence);
    message.mutable_data()->set_payload(payloadOf(feed));
    ++m_counters.packets;
    return message;
}

std::string FeedSet::payloadOf(const Feed &feed) const
{
    return m_settings.service + "|" + std::to_string(feed.flowId);
}

void FeedSet::replaceFeed(Feed &feed, common::TimePoint nextSend)
{
    const auto index = m_byFlowId.at(feed.flowId);
    m_byFlowId.erase(feed.flowId);
    feed = Feed {};
    feed.flowId = ++m_nextFlowId;
    feed.nextSend = nextSend;
    m_byFlowId[feed.flowId] = index;
}

void FeedSet::replaceBrokenFeed(Feed &feed, const std::string &reason, common::TimePoint now,
                                common::WallTime wall)
{
    ++m_counters.broken;
    m_broken.push_back(
            { feed.flowId, feed.upstream, reason, wall,
              std::chrono::duration_cast<std::chrono::milliseconds>(now - feed.openedAt) });
    replaceFeed(feed, now + ReopenDelay);
}

FeedSet::Feed *FeedSet::find(std::uint64_t flowId)
{
    const auto entry = m_byFlowId.find(flowId);
    return entry == m_byFlowId.end() ? nullptr : &m_feeds[entry->second];
}

void FeedSet::onMessage(const CallerMessage &message, common::TimePoint now, common::WallTime wall)
{
    auto *feed = find(message.flow_id());
    if (feed == nullptr) {
        return;
    }
    if (message.has_opened()) {
        onOpened(*feed, message.opened().upstream(), now);
    } else if (message.has_feed()) {
        onEcho(*feed, message.feed());
    } else if (message.has_reset() && feed->state == State::Open && !m_isStopping) {
        replaceBrokenFeed(*feed, message.reset().reason(), now, wall);
    } else if (message.has_reset() && feed->state == State::Opening) {
        ++m_counters.openFailed;
        replaceFeed(*feed, now + ReopenDelay);
    }
}

void FeedSet::onOpened(Feed &feed, std::uint32_t upstream, common::TimePoint now)
{
    if (feed.state == State::Open) {
        m_counters.openedTwice += feed.upstream != upstream ? 1 : 0;
        return;
    }
    ++m_counters.opened;
    feed.state = State::Open;
    feed.upstream = upstream;
    feed.openedAt = now;
    feed.nextSend = now + m_settings.interval;
    if (m_settings.lifetime > common::Duration::zero()) {
        std::exponential_distribution<double> lifetimeDistribution(
                1.0 / static_cast<double>(m_settings.lifetime.count()));
        feed.closeAt = now
                + common::Duration(
                               static_cast<common::Duration::rep>(lifetimeDistribution(m_random)));
    }
}

void FeedSet::onEcho(Feed &feed, const wire::proto::FeedData &echo)
{
    const auto parsed = decodeEcho(echo.payload());
    if (!parsed || parsed->payload != payloadOf(feed)
        || !parsed->upstream.starts_with(m_settings.service + "/")) {
        ++m_counters.wrongService;
        return;
    }
    if (feed.state != State::Open || echo.sequence() > feed.lastSequence) {
        return;
    }
    ++m_counters.echoes;
    const auto upstream = common::idFromName<common::UpstreamId>(parsed->upstream).value();
    m_counters.movedEchoes += upstream != feed.upstream ? 1 : 0;
    feed.lastEchoedSequence = std::max(feed.lastEchoedSequence, echo.sequence());
}

std::size_t FeedSet::openFeeds() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            m_feeds, [](const Feed &feed) { return feed.state == State::Open; }));
}

boost::json::object FeedSet::toJson() const
{
    boost::json::array broken;
    for (const auto &feed : m_broken) {
        broken.push_back(
                boost::json::object { { "flow", feed.flowId },
                                      { "upstream", feed.upstream },
                                      { "reason", feed.reason },
                                      { "unix_ms", feed.brokenAt.time_since_epoch().count() },
                                      { "age_ms", feed.age.count() } });
    }
    std::map<std::uint32_t, std::uint64_t> byUpstream;
    for (const auto &feed : m_feeds) {
        byUpstream[feed.upstream] += feed.state == State::Open ? 1 : 0;
    }
    boost::json::object open;
    for (const auto &[upstream, count] : byUpstream) {
        open[std::to_string(upstream)] = count;
    }
    return { { "opened", m_counters.opened },
             { "closed", m_counters.closed },
             { "broken", m_counters.broken },
             { "open_failed", m_counters.openFailed },
             { "packets", m_counters.packets },
             { "echoes", m_counters.echoes },
             { "wrong_service", m_counters.wrongService },
             { "moved_echoes", m_counters.movedEchoes },
             { "opened_twice", m_counters.openedTwice },
             { "broken_feeds", std::move(broken) },
             { "open_by_upstream", std::move(open) } };
}

} // namespace banyanwall::tools
