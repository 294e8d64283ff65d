#pragma once

#include "version/directory.h"

#include <cstdint>
#include <optional>
#include <set>

namespace banyanwall::version {

/// Keys of all entries that a delta lists.
[[nodiscard]] std::set<EntryKey> keysOf(const DirectoryDelta &delta);

/// Keys of the entries that the store holds after a complete delta. Those that only the sender
/// holds are not among them.
[[nodiscard]] std::set<EntryKey> presentKeysOf(const DirectoryDelta &delta);

/// Version of the contract; empty if the value holds no rules.
[[nodiscard]] std::optional<std::uint64_t> contractVersionOf(const DirectoryValue &value);

/// Returns the rules to which a patch leads, and any other value as it is. Empty if the patch does
/// not fit the known rules.
[[nodiscard]] std::optional<DirectoryValue> patchedValue(const RulesRecord *known,
                                                         const DirectoryValue &value);

/// Whether the values are equal, or are records of one upstream that differ in its cold time only.
[[nodiscard]] bool isSameButForColdTime(const DirectoryValue &known, const DirectoryValue &value);

/// Whether an upstream can only have got from the known state to the other one, and not back: it
/// has restarted, or has begun to drain.
[[nodiscard]] bool isLaterState(const DirectoryValue &known, const DirectoryValue &value);

} // namespace banyanwall::version
