#pragma once

#include "common/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace banyanwall::connection {

/// Callers whose opening was refused a short time ago. The table has a fixed size: when it is full,
/// the caller whose time passes first is forgotten and counts as a new one when it returns. Not
/// thread-safe.
class ReturningCallers
{
public:
    /// sets is the number of sets of four callers; a power of two.
    explicit ReturningCallers(std::size_t sets);

    /// caller is a hash of the caller's address and of what it asked for. It counts as returning
    /// for the given time; a caller that is refused again keeps the time of its first refusal.
    void recordRefusal(std::uint64_t caller, common::Duration time, common::TimePoint now);
    /// The caller was admitted, so that its next opening is a new one.
    void recordAdmission(std::uint64_t caller, common::TimePoint now);

    /// Time since the first refusal of the caller; empty for a caller that was not refused or whose
    /// time has passed.
    [[nodiscard]] std::optional<common::Duration> waited(std::uint64_t caller,
                                                         common::TimePoint now) const;

private:
    static constexpr std::size_t Ways = 4;

    struct Caller
    {
        std::uint64_t key = 0;
        common::TimePoint refusedAt {};
        /// Entries that have expired are free.
        common::TimePoint expiresAt {};
    };

    [[nodiscard]] std::size_t setOf(std::uint64_t caller) const;
    [[nodiscard]] const Caller *find(std::uint64_t caller, common::TimePoint now) const;

    std::vector<Caller> m_callers;
    std::size_t m_mask;
};

} // namespace banyanwall::connection
