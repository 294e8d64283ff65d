#include "request/takeoverfence.h"

#include <algorithm>
#include <utility>

namespace banyanwall::request {

void TakeoverFence::add(common::WallTime takeover, common::WallTime fenceEnd, KeyFilter gained)
{
    m_takeovers.push_back({ takeover, std::max(takeover, fenceEnd), std::move(gained) });
}

void TakeoverFence::forget(common::WallTime endedBefore)
{
    std::erase_if(m_takeovers,
                  [=](const Takeover &takeover) { return takeover.fenceEnd < endedBefore; });
}

std::optional<TakeoverFence::Origin> TakeoverFence::foreignOrigin(common::RequestKey key,
                                                                  common::WallTime issued) const
{
    std::optional<Origin> origin;
    for (const auto &takeover : m_takeovers) {
        if (issued >= takeover.fenceEnd + CallerClockBound
            || (takeover.gained && !takeover.gained(key))) {
            continue;
        }
        if (issued < takeover.at) {
            return Origin::BeforeTakeover;
        }
        origin = Origin::DuringFence;
    }
    return origin;
}

} // namespace banyanwall::request
