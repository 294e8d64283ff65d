#pragma once

#include "common/ids.h"

#include <compare>

namespace banyanwall::version {

/// Position in the history of the store. A store that comes back from an older copy gives
/// revisions out again, in a later era; positions are ordered by era first. The default is the
/// position before all others.
struct StorePosition
{
    constexpr StorePosition() = default;

    constexpr StorePosition(common::StoreEra newEra, common::StoreRevision newRevision)
        : era(newEra)
        , revision(newRevision)
    { }

    /// Position in a store that names no eras.
    constexpr StorePosition(
            common::StoreRevision newRevision) // NOLINT(google-explicit-constructor)
        : revision(newRevision)
    { }

    auto operator<=>(const StorePosition &) const = default;

    common::StoreEra era;
    common::StoreRevision revision;
};

} // namespace banyanwall::version
