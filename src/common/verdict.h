#pragma once

namespace banyanwall::common {

/// Says whether a request may have run on an upstream.
enum class Verdict {
    /// The whole answer was delivered.
    Completed,
    /// No dispatch left the process, or every upstream that got one refused it.
    NotRun,
    /// A dispatch left the process and its outcome is unknown.
    MayHaveRun,
};

} // namespace banyanwall::common
