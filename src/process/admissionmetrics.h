#pragma once

#include "connection/openingadmission.h"

#include <string>

namespace banyanwall::process {

/// Metrics of admission in the Prometheus text exposition format: refused openings by priority, and
/// for each service room, demand, share of late answers and admitted share by priority.
[[nodiscard]] std::string admissionMetricsText(const connection::OpeningAdmission &admission);

} // namespace banyanwall::process
