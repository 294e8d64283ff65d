#pragma once

#include "common/time.h"

namespace banyanwall::connection {

/// Load of one upstream as far as this instance knows it. LoadPicture keeps it up to date; the
/// values of an upstream of which nothing is known are those of a usual one.
struct UpstreamLoad
{
    /// Response time of recent requests divided by the usual one of their kinds; 1 is usual. Never
    /// below 1, because an upstream that fails at once answers fast.
    double slowness = 1.0;
    /// Expected work that is left of the requests in progress, of all instances that report.
    common::Duration workLeft {};
};

} // namespace banyanwall::connection
