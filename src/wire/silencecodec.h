#pragma once

#include "connection/flowforwarder.h"
#include "directory.pb.h"

namespace banyanwall::wire {

[[nodiscard]] proto::DirectoryMessage encodeSilence(const connection::PassiveHealthReport &reports);
[[nodiscard]] connection::PassiveHealthReport decodeSilence(const proto::SilenceReport &report);

} // namespace banyanwall::wire
