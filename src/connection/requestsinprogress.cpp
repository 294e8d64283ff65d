#include "connection/requestsinprogress.h"

#include <algorithm>
#include <bit>
#include <span>

namespace banyanwall::connection {

namespace {

constexpr unsigned SmallestClassBytes = 64;

} // namespace

std::uint8_t sizeClassOf(std::uint16_t payloadBytes)
{
    return static_cast<std::uint8_t>(std::bit_width(payloadBytes / SmallestClassBytes) + 1);
}

void RequestsInProgress::add(const RequestInProgress &request)
{
    if (m_requests.empty()) {
        m_requests.resize(Capacity);
    }
    const auto set = std::span(m_requests).subspan(request.flow % (Capacity / Ways) * Ways, Ways);
    const auto known = std::ranges::find(set, request.flow, &RequestInProgress::flow);
    // Free entries have the earliest time.
    const auto entry = known != set.end()
            ? known
            : std::ranges::min_element(set, {}, &RequestInProgress::startedAt);
    *entry = request;
}

void RequestsInProgress::remove(std::uint64_t flow)
{
    if (m_requests.empty()) {
        return;
    }
    const auto set = std::span(m_requests).subspan(flow % (Capacity / Ways) * Ways, Ways);
    const auto known = std::ranges::find(set, flow, &RequestInProgress::flow);
    if (known != set.end()) {
        *known = {};
    }
}

} // namespace banyanwall::connection
