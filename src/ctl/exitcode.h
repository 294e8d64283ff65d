#pragma once

namespace banyanwall::ctl {

/// Exit codes of the tool; documented in docs/operators.md and in --help.
enum class ExitCode {
    Ok = 0,
    Failed = 1,
    /// Only of "contract check", which changes nothing.
    Warnings = 1,
    /// Wrong usage or invalid input.
    Invalid = 2,
    /// The document was changed by another writer; nothing was written.
    Conflict = 3,
    /// The change was accepted, but is not known to be in force on all instances.
    NotConfirmed = 4,
    StoreUnreachable = 5,
};

} // namespace banyanwall::ctl
