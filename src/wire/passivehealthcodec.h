#pragma once

#include "connection/flowforwarder.h"
#include "directory.pb.h"

namespace banyanwall::wire {

// Codec of the passive health reports that instances of a zone send each other. Ages are rounded up
// to milliseconds; outliers are not sent.

[[nodiscard]] proto::DirectoryMessage
encodePassiveHealth(const connection::PassiveHealthReport &report, common::TimePoint now);
[[nodiscard]] connection::PassiveHealthReport
decodePassiveHealth(const proto::SilenceReport &encoded, common::TimePoint now);

} // namespace banyanwall::wire
