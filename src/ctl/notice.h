#pragma once

#include "common/result.h"
#include "ctl/cutover.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace banyanwall::ctl {

/// Longest time until the contact centre has confirmed a notice.
inline constexpr std::chrono::milliseconds NoticeTimeout { 5'000 };

enum class NoticeStatus {
    /// The change is about to be made.
    Planned,
    /// A change that was announced as planned was not made.
    Cancelled,
};

/// Posts the notice of a change as JSON. Delivered means an answer 2xx within the timeout;
/// otherwise the error has the code "notice_undelivered" and the reason.
[[nodiscard]] std::optional<common::Error>
deliverNotice(boost::asio::io_context &context, const std::string &customer,
              const ShareChange &change, const std::string &author, NoticeStatus status,
              std::chrono::milliseconds timeout = NoticeTimeout);

} // namespace banyanwall::ctl
