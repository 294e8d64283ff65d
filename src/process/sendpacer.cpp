#include "process/sendpacer.h"

#include <algorithm>
#include <utility>

namespace banyanwall::process {

using common::Duration;
using common::TimePoint;

namespace {

// Ordinary changes of the directory are smaller and go out at once.
constexpr double BurstBytes = 12'000.0;
// A change has to be in force within 3 s.
constexpr double MaxQueueSeconds = 2.0;

} // namespace

SendPacer::SendPacer(double bytesPerSecond)
    : m_bytesPerSecond(bytesPerSecond)
    , m_allowance(BurstBytes)
{ }

bool SendPacer::push(Message message)
{
    const auto bytes = static_cast<double>(m_queuedBytes + message.bytes.size());
    if (bytes > std::max(BurstBytes, m_bytesPerSecond * MaxQueueSeconds)) {
        return false;
    }
    m_queuedBytes += message.bytes.size();
    ++m_queuedFor[message.to];
    m_queue.push_back(std::move(message));
    return true;
}

std::optional<SendPacer::Message> SendPacer::takeDue(TimePoint now)
{
    const auto available = allowance(now);
    if (m_queue.empty() || available < 0.0) {
        return std::nullopt;
    }
    auto message = std::move(m_queue.front());
    m_queue.pop_front();
    m_queuedBytes -= message.bytes.size();
    const auto left = m_queuedFor.find(message.to);
    if (--left->second == 0) {
        m_queuedFor.erase(left);
    }
    m_allowance = available - static_cast<double>(message.bytes.size());
    m_updatedAt = now;
    return message;
}

std::optional<Duration> SendPacer::untilNext(TimePoint now) const
{
    if (m_queue.empty()) {
        return std::nullopt;
    }
    const std::chrono::duration<double> wait(std::max(0.0, -allowance(now)) / m_bytesPerSecond);
    return std::chrono::ceil<Duration>(wait);
}

double SendPacer::allowance(TimePoint now) const
{
    const std::chrono::duration<double> elapsed = now - m_updatedAt;
    return std::min(BurstBytes, m_allowance + elapsed.count() * m_bytesPerSecond);
}

} // namespace banyanwall::process
