#pragma once

#include "common/time.h"
#include "connection/loadpicture.h"

#include <string>

namespace banyanwall::process {

/// Gauges of the load in the text format of Prometheus, by service.
[[nodiscard]] std::string loadMetricsText(const connection::LoadPicture &picture,
                                          common::TimePoint now);

} // namespace banyanwall::process
