#include "connection/returningcallers.h"

#include "common/hash.h"

#include <algorithm>
#include <span>

namespace banyanwall::connection {

using common::TimePoint;

ReturningCallers::ReturningCallers(std::size_t sets)
    : m_callers(sets * Ways)
    , m_mask(sets - 1)
{ }

void ReturningCallers::recordRefusal(std::uint64_t caller, common::Duration time, TimePoint now)
{
    if (find(caller, now) != nullptr) {
        return;
    }
    const auto set = std::span(m_callers).subspan(setOf(caller), Ways);
    *std::ranges::min_element(set, {}, &Caller::expiresAt) = { caller, now, now + time };
}

void ReturningCallers::recordAdmission(std::uint64_t caller, TimePoint now)
{
    const auto set = std::span(m_callers).subspan(setOf(caller), Ways);
    const auto found = std::ranges::find(set, caller, &Caller::key);
    if (found != set.end() && found->expiresAt > now) {
        *found = {};
    }
}

std::optional<common::Duration> ReturningCallers::waited(std::uint64_t caller, TimePoint now) const
{
    const auto *found = find(caller, now);
    return found == nullptr ? std::nullopt : std::optional(now - found->refusedAt);
}

std::size_t ReturningCallers::setOf(std::uint64_t caller) const
{
    return (common::mixBits(caller) & m_mask) * Ways;
}

const ReturningCallers::Caller *ReturningCallers::find(std::uint64_t caller, TimePoint now) const
{
    const auto set = std::span(m_callers).subspan(setOf(caller), Ways);
    const auto found = std::ranges::find(set, caller, &Caller::key);
    return found == set.end() || found->expiresAt <= now ? nullptr : &*found;
}

} // namespace banyanwall::connection
