#pragma once

#include "common/result.h"
#include "ctl/cutover.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace banyanwall::ctl {

/// Time from the connection attempt to the complete response of the contact centre.
inline constexpr std::chrono::milliseconds NoticeTimeout { 5'000 };

enum class NoticeStatus {
    /// The change will be written after the contact centre has confirmed this notice.
    Planned,
    /// A change of an earlier Planned notice was not written.
    Cancelled,
};

/// Sends the contact centre a notice of a change as an HTTP POST with a JSON body, to
/// change.noticeUrl. The notice is delivered when the response has a 2xx status and arrives within
/// the timeout; otherwise the error is "notice_undelivered" with the reason.
/// Runs the io_context while it waits.
[[nodiscard]] std::optional<common::Error>
deliverNotice(boost::asio::io_context &context, const std::string &customer,
              const ShareChange &change, const std::string &author, NoticeStatus status,
              std::chrono::milliseconds timeout = NoticeTimeout);

} // namespace banyanwall::ctl
