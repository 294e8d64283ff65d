#include "ctl/statuspoller.h"

#include "process/httpexchange.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace banyanwall::ctl {

namespace json = boost::json;

namespace {

common::Result<InstanceStatus> toInstanceStatus(const process::HttpResult &result)
{
    if (result.status == 0) {
        return common::Error { "instance_unreachable", result.error };
    }
    if (result.status != 200) {
        return common::Error { "instance_unreachable",
                               "/status returned HTTP status " + std::to_string(result.status) };
    }
    return parseInstanceStatus(result.body);
}

} // namespace

common::Result<InstanceStatus> parseInstanceStatus(std::string_view text)
{
    try {
        const auto value = json::parse(text);
        const auto &object = value.as_object();
        InstanceStatus status;
        status.instance = std::string(object.at("instance").as_string());
        status.zone = std::string(object.at("zone").as_string());
        status.incarnation = object.at("incarnation").to_number<std::uint64_t>();
        status.isStale = object.at("stale").as_bool();
        status.isLeaving = object.at("leaving").as_bool();
        for (const auto &[key, document] : object.at("documents").as_object()) {
            const auto &versions = document.as_object();
            status.documents[std::string(key)] = {
                versions.at("known").to_number<std::uint64_t>(),
                versions.at("in_force").to_number<std::uint64_t>(),
            };
        }
        status.requestsInProgress = object.at("requests_in_progress").to_number<std::uint64_t>();
        return status;
    } catch (const std::exception &error) {
        return common::Error { "invalid_status",
                               std::string("invalid response of /status: ") + error.what() };
    }
}

std::vector<PolledInstance> pollInstances(boost::asio::io_context &context,
                                          const std::vector<version::InstanceRecord> &records,
                                          std::chrono::milliseconds timeout)
{
    std::vector<PolledInstance> polled;
    std::ranges::transform(records, std::back_inserter(polled), [](const auto &record) {
        return PolledInstance { record, common::Error { "instance_unreachable", "interrupted" } };
    });
    std::size_t pendingPolls = polled.size();
    for (auto &instance : polled) {
        const auto exchange =
                std::make_shared<process::HttpExchange>(context, instance.record.admin);
        exchange->startGet("/status", timeout,
                           [&instance, &pendingPolls](const process::HttpResult &result) {
                               instance.status = toInstanceStatus(result);
                               --pendingPolls;
                           });
    }
    context.restart();
    while (pendingPolls > 0 && context.run_one() > 0) { }
    return polled;
}

} // namespace banyanwall::ctl
