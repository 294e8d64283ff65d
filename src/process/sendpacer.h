#pragma once

#include "common/time.h"
#include "process/directorysync.h"

#include <cstddef>
#include <cstdint>
#include <deque>
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

    /// Queues a message. Returns false when the queue is full; the peer fetches what it lacks.
    [[nodiscard]] bool push(Message message);

    /// Returns the next message that may be sent now.
    [[nodiscard]] std::optional<Message> takeDue(common::TimePoint now);

    /// Time until the next message may be sent; empty when none is queued.
    [[nodiscard]] std::optional<common::Duration> untilNext(common::TimePoint now) const;

private:
    [[nodiscard]] double allowance(common::TimePoint now) const;

    double m_bytesPerSecond;
    std::deque<Message> m_queue;
    std::size_t m_queuedBytes = 0;
    /// Bytes that may be sent at m_updatedAt; negative after a message that was larger.
    double m_allowance;
    common::TimePoint m_updatedAt;
};

} // namespace banyanwall::process
