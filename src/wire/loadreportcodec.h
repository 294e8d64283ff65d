#pragma once

#include "connection/loadpicture.h"
#include "directory.pb.h"

namespace banyanwall::wire {

// Codec of the load reports that instances of a zone send each other. Slowness is rounded to
// percent, work to milliseconds and demand to thousandths of a slot.

[[nodiscard]] proto::DirectoryMessage encodeLoadReport(const connection::LoadReport &report);
/// Leaves out rows that name no upstream or service, or that hold no usable value.
[[nodiscard]] connection::LoadReport decodeLoadReport(const proto::LoadReport &encoded);

} // namespace banyanwall::wire
