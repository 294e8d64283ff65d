#pragma once

namespace banyanwall::common {

/// Whether a request may have run on an upstream.
enum class Verdict {
    /// The whole answer was delivered.
    Completed,
    /// The request was not dispatched, or each upstream that received it refused it.
    NotRun,
    /// The request was dispatched and its outcome is unknown.
    MayHaveRun,
};

} // namespace banyanwall::common
