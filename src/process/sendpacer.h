#pragma once

#include "common/time.h"
#include "process/directorysync.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace banyanwall::process {

/// Spreads messages to peers over time, so that a large directory that is sent to several peers
/// leaves room on the link for the packets of callers. Not thread-safe.
class SendPacer
{
public:
    struct Message
    {
        common::Endpoint to;
        std::string bytes;
    };

    /// Rate at which messages are sent once the allowance for a burst is used up.
    explicit SendPacer(double bytesPerSecond);

    /// Queues a message. Returns false when the messages in the queue need 2 s already; the peer
    /// fetches what it lacks.
    [[nodiscard]] bool push(Message message);

    /// Whether a message to the peer is queued. A peer that waits for it asks again, and another
    /// answer would only delay all others.
    [[nodiscard]] bool hasQueued(common::Endpoint to) const { return m_queuedFor.contains(to); }

    /// Returns the next message that may be sent now.
    [[nodiscard]] std::optional<Message> takeDue(common::TimePoint now);

    /// Time until the next message may be sent; empty when none is queued.
    [[nodiscard]] std::optional<common::Duration> untilNext(common::TimePoint now) const;

private:
    [[nodiscard]] double allowance(common::TimePoint now) const;

    double m_bytesPerSecond;
    std::deque<Message> m_queue;
    std::size_t m_queuedBytes = 0;
    /// Number of queued messages to each peer that has some.
    std::map<common::Endpoint, std::size_t> m_queuedFor;
    /// Bytes that may be sent at m_updatedAt; negative after a message that was larger.
    double m_allowance;
    common::TimePoint m_updatedAt;
};

} // namespace banyanwall::process
