#include "process/zonereturn.h"

#include "version/limits.h"

#include <algorithm>

namespace banyanwall::process {

namespace {

constexpr std::uint32_t FullSharePercent = 100;

bool isReturning(const version::ZoneState &zone)
{
    return !zone.withdrawn && zone.returningSharePercent < FullSharePercent;
}

} // namespace

std::optional<version::ZoneStates> ZoneReturn::next(const version::ZoneStates &states,
                                                    common::TimePoint now)
{
    if (states.version != m_version) {
        m_version = states.version;
        m_knownSince = now;
    }
    if (std::ranges::none_of(states.zones, isReturning) || now - m_knownSince < stepInterval()) {
        return std::nullopt;
    }
    auto raised = states;
    ++raised.version;
    for (auto &zone : raised.zones) {
        if (isReturning(zone)) {
            zone.returningSharePercent = std::min(
                    FullSharePercent, zone.returningSharePercent + version::ZoneReturnStepPercent);
        }
    }
    return raised;
}

common::Duration ZoneReturn::stepInterval()
{
    return common::Duration(std::chrono::seconds(version::ZoneReturnSeconds))
            / version::ZoneReturnSteps;
}

} // namespace banyanwall::process
