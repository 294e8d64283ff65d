#pragma once

#include "connection/flowforwarder.h"
#include "directory.pb.h"

namespace banyanwall::wire {

[[nodiscard]] proto::DirectoryMessage encodeSilence(const connection::SilenceReports &reports);
[[nodiscard]] connection::SilenceReports decodeSilence(const proto::SilenceReport &report);

} // namespace banyanwall::wire
