#pragma once

#include "common/ids.h"
#include "common/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace banyanwall::connection {

enum class SlotOutcome {
    Answered,
    Shed,
    TimedOut,
    /// The grant was not used.
    Unused,
};

struct SlotKey
{
    common::RequestKey request;
    common::AttemptNumber attempt;

    auto operator<=>(const SlotKey &) const = default;
};

/// Counts the slots of one upstream and runs its slow start, on the one instance that owns the
/// upstream.
///
/// The window is the number of slots in use at the same time. It starts at 1 and grows by 1 after
/// GrowAfterAnswers answers in a row under twice the usual latency; it falls to 1 on a shed, a
/// timeout, a new incarnation, or after ColdAfterAnswers answers in a row over four times the usual
/// latency. After a fall on slow answers from more than one slot, each growth takes
/// GrowAfterAnswersWhenCold answers until the window is full. Reports of the health endpoint only
/// lower it.
///
/// A grant that is under way for over four times the usual latency is a sign of a cold upstream
/// before its answer arrives: it counts as a slow answer, and nothing is granted next to it.
///
/// A grant whose holder does not release it ends after its hold time. Such an expiry ends the run
/// of good answers but does not lower the window, because it shows a lost holder, not a slow
/// upstream. Not thread-safe.
class UpstreamOwner
{
public:
    static constexpr std::uint32_t GrowAfterAnswers = 8;
    static constexpr std::uint32_t ColdAfterAnswers = 3;
    /// After a fall on slow answers the window grows this slowly until it is full. A window that
    /// grows too early makes all that the upstream is running slow, which costs more time than
    /// waiting for these answers.
    static constexpr std::uint32_t GrowAfterAnswersWhenCold = 5 * GrowAfterAnswers;
    /// Allowance for the messages between owner, coordinator and upstream, which pass at most three
    /// times between zones each way.
    static constexpr common::Duration GrantTravelTime = std::chrono::milliseconds(10);
    /// A cold upstream takes up to about ten times the usual latency. After this many times, the
    /// holder of the grant counts as lost, which says nothing about the upstream.
    static constexpr int LostAfterFactor = 12;
    /// A warm upstream may fill up with connections within this time; a cold one takes longer in
    /// proportion to its window.
    static constexpr common::Duration ConnectionFillTime = std::chrono::seconds(30);

    /// All slots count as taken until ownedSince + longestRequest, except those reported by peers.
    UpstreamOwner(std::uint32_t slots, common::Duration usualLatency,
                  common::Duration longestRequest, common::TimePoint ownedSince);

    /// Grants a slot for at most hold. A repeated request for a held slot is granted again.
    [[nodiscard]] bool acquire(SlotKey key, common::Duration hold, common::TimePoint now);
    void release(SlotKey key, SlotOutcome outcome, common::Duration latency, common::TimePoint now);
    /// Peers that have reported their grants to the new owner shorten the initial wait. allReported
    /// may be set only when every instance that could hold a grant has reported; the grants of an
    /// instance that died within longestRequest are unknown to its peers.
    void adoptGrants(const std::vector<SlotKey> &held, common::Duration hold, bool allReported,
                     common::TimePoint now);
    void observeIncarnation(common::Incarnation incarnation, common::TimePoint now);
    void observeHealth(bool healthy, std::uint32_t busySlots, common::TimePoint now);

    [[nodiscard]] std::uint32_t window() const { return m_window; }

    /// Connection opens a second that the upstream takes in its present slow-start state; empty
    /// when it is warm and only its connection limit applies.
    [[nodiscard]] std::optional<std::uint32_t> opensPerSecond(std::uint32_t connectionLimit) const;

    /// Grants that have not ended; all slots while a new owner does not know the grants.
    [[nodiscard]] std::uint32_t busySlots(common::TimePoint now) const;
    [[nodiscard]] std::uint32_t freeSlots(common::TimePoint now) const;

    /// Newest incarnation seen; zero when unknown.
    [[nodiscard]] common::Incarnation incarnation() const { return m_incarnation; }

private:
    struct Grant
    {
        SlotKey key;
        common::TimePoint since;
        common::TimePoint end;
    };

    void fallBack();
    /// Falls back because the upstream turned cold without warning.
    void fallBackSlow();
    void expire(common::TimePoint now);
    void countAnswer(common::Duration latency);
    /// Grants under way for so long that the upstream looks cold.
    [[nodiscard]] std::uint32_t overdueGrants(common::TimePoint now) const;
    /// Drops the grant; false when it is not held.
    bool forget(SlotKey key);

    std::uint32_t m_slots;
    common::Duration m_usualLatency;
    common::TimePoint m_unknownUntil;
    std::uint32_t m_window = 1;
    std::uint32_t m_goodAnswers = 0;
    std::uint32_t m_slowAnswers = 0;
    std::uint32_t m_growAfter = GrowAfterAnswers;
    common::Incarnation m_incarnation;
    std::vector<Grant> m_held;
};

} // namespace banyanwall::connection
