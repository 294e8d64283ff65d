#include "ctl/notice.h"

#include "process/httpexchange.h"
#include "version/contractparser.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace banyanwall::ctl {

namespace json = boost::json;

namespace {

std::string noticeBody(const std::string &customer, const ShareChange &change,
                       const std::string &author, NoticeStatus status)
{
    return json::serialize(
            json::object { { "status", status == NoticeStatus::Planned ? "planned" : "cancelled" },
                           { "customer", customer },
                           { "service", change.service },
                           { "from_group", change.fromGroup },
                           { "to_group", change.toGroup },
                           { "former_share_percent", change.formerPercent },
                           { "share_percent", change.nextPercent },
                           { "author", author } });
}

} // namespace

std::optional<common::Error> deliverNotice(boost::asio::io_context &context,
                                           const std::string &customer, const ShareChange &change,
                                           const std::string &author, NoticeStatus status,
                                           std::chrono::milliseconds timeout)
{
    const auto undeliveredError = [&](const std::string &reason) {
        return common::Error { "notice_undelivered",
                               "the notice for service '" + change.service + "' to "
                                       + change.noticeUrl + " was not delivered: " + reason };
    };
    const auto url = version::parseNoticeUrl(change.noticeUrl);
    if (!url) {
        return undeliveredError("the URL is invalid");
    }
    std::optional<process::HttpResult> result;
    const auto exchange = std::make_shared<process::HttpExchange>(context, url->server);
    exchange->start(url->target, noticeBody(customer, change, author, status), timeout,
                    [&result](process::HttpResult httpResult) { result = std::move(httpResult); });
    context.restart();
    while (!result && context.run_one() > 0) { }
    if (!result || result->status == 0) {
        return undeliveredError(result ? result->error : "interrupted");
    }
    if (result->status < 200 || result->status > 299) {
        return undeliveredError("the answer was " + std::to_string(result->status));
    }
    return std::nullopt;
}

} // namespace banyanwall::ctl
