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
    /// The upstream ran no attempt under the grant.
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
/// The window is the number of slots that may be in use at the same time. It starts at 1 and grows
/// by 1 after GrowAfterFastAnswers answers in a row that each took less than twice the usual
/// latency. It falls to 1 when the upstream sheds an attempt, when an attempt times out, when a new
/// incarnation or an unhealthy report is observed, and after ColdAfterSlowAnswers answers in a row
/// that each took more than four times the usual latency. After a fall on slow answers from a
/// window above 1, each growth takes GrowAfterFastAnswersWhenCold answers until the window is full.
/// Reports of the health endpoint never raise the window; a report of more busy slots than the
/// upstream has lowers it by the excess.
///
/// A grant that has been in use for more than four times the usual latency counts as a slow answer
/// even before the answer arrives, because the upstream may have become cold. No further slot is
/// granted until the grant ends or its holder counts as lost.
///
/// A grant that its holder does not release ends after its hold time. Such an expiry resets the
/// count of fast answers but does not lower the window, because it shows a lost holder, not a slow
/// upstream. Not thread-safe.
class UpstreamOwner
{
public:
    static constexpr std::uint32_t GrowAfterFastAnswers = 8;
    static constexpr std::uint32_t ColdAfterSlowAnswers = 3;
    /// Applies from a fall on slow answers until the window is full. If the window of a cold
    /// upstream grows too early, all attempts that the upstream is running become slow, which costs
    /// more time than waiting for these answers.
    static constexpr std::uint32_t GrowAfterFastAnswersWhenCold = 5 * GrowAfterFastAnswers;
    /// Allowance for the messages between owner, coordinator and upstream, which cross between
    /// zones at most three times each way.
    static constexpr common::Duration GrantTravelTime = std::chrono::milliseconds(10);
    /// Multiple of the usual latency after which the holder of a grant counts as lost. A cold
    /// upstream takes up to about ten times the usual latency, so a longer use of the grant shows
    /// nothing about the upstream.
    static constexpr int LostHolderLatencyFactor = 12;
    /// Time in which a full window would let the upstream fill up to its connection limit. A
    /// smaller window lengthens the time in proportion.
    static constexpr common::Duration ConnectionFillTime = std::chrono::seconds(30);

    /// All slots count as busy until ownedSince + longestRequest, because the grants of the
    /// previous owner are unknown. adoptGrants() can shorten this time.
    UpstreamOwner(std::uint32_t slots, common::Duration usualLatency,
                  common::Duration longestRequest, common::TimePoint ownedSince);

    /// Grants a slot for at most hold. A repeated request for a held slot prolongs its grant.
    [[nodiscard]] bool acquire(SlotKey key, common::Duration hold, common::TimePoint now);
    void release(SlotKey key, SlotOutcome outcome, common::Duration latency, common::TimePoint now);
    /// Adopts grants that peers have reported to this new owner. allReported ends the initial wait.
    /// It may be set only when every instance that could hold a grant has reported; the grants of
    /// an instance that died within longestRequest are unknown to its peers.
    void adoptGrants(const std::vector<SlotKey> &held, common::Duration hold, bool allReported,
                     common::TimePoint now);
    void observeIncarnation(common::Incarnation incarnation, common::TimePoint now);
    void observeHealth(bool healthy, std::uint32_t busySlots, common::TimePoint now);

    [[nodiscard]] std::uint32_t window() const { return m_window; }

    /// Connections that may be opened per second in the present state of slow start, at least 1;
    /// empty when the window is full and only connectionLimit applies.
    [[nodiscard]] std::optional<std::uint32_t> opensPerSecond(std::uint32_t connectionLimit) const;

    /// Grants that have not ended; at least all slots while the grants of the previous owner are
    /// unknown.
    [[nodiscard]] std::uint32_t busySlots(common::TimePoint now) const;
    [[nodiscard]] std::uint32_t freeSlots(common::TimePoint now) const;

    /// Newest incarnation observed; zero when unknown.
    [[nodiscard]] common::Incarnation incarnation() const { return m_incarnation; }

private:
    struct Grant
    {
        SlotKey key;
        common::TimePoint since;
        common::TimePoint end;
    };

    /// Lowers the window to 1.
    void resetWindow();
    /// Lowers the window because slow answers show that the upstream has become cold.
    void resetWindowAfterSlowAnswers();
    /// Removes the grants whose hold time has ended.
    void expire(common::TimePoint now);
    void countAnswer(common::Duration latency);
    /// Number of grants in use for so long that the upstream may be cold.
    [[nodiscard]] std::uint32_t overdueGrants(common::TimePoint now) const;
    /// False when the grant is not held.
    bool removeGrant(SlotKey key);

    std::uint32_t m_slots;
    common::Duration m_usualLatency;
    common::TimePoint m_grantsUnknownUntil;
    std::uint32_t m_window = 1;
    std::uint32_t m_fastAnswers = 0;
    std::uint32_t m_slowAnswers = 0;
    std::uint32_t m_fastAnswersToGrow = GrowAfterFastAnswers;
    common::Incarnation m_incarnation;
    std::vector<Grant> m_grants;
};

} // namespace banyanwall::connection
