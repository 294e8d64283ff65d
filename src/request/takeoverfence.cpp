#include "request/takeoverfence.h"

#include <algorithm>
#include <utility>

namespace banyanwall::request {

void TakeoverFence::add(common::WallTime takeover, common::WallTime fenceEnd, KeyFilter isGained)
{
    m_takeovers.push_back({ takeover, std::max(takeover, fenceEnd), std::move(isGained) });
}

void TakeoverFence::removeExpired(common::WallTime endedBefore)
{
    std::erase_if(m_takeovers,
                  [=](const Takeover &takeover) { return takeover.fenceEnd < endedBefore; });
}

std::optional<TakeoverFence::IssuePeriod>
TakeoverFence::peerDispatchPeriod(common::RequestKey key, common::WallTime issued) const
{
    std::optional<IssuePeriod> period;
    for (const auto &takeover : m_takeovers) {
        if (issued >= takeover.fenceEnd + CallerClockMargin
            || (takeover.isGained && !takeover.isGained(key))) {
            continue;
        }
        if (issued < takeover.at) {
            return IssuePeriod::BeforeTakeover;
        }
        period = IssuePeriod::DuringFence;
    }
    return period;
}

} // namespace banyanwall::request
