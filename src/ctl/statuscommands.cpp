#include "ctl/command.h"
#include "ctl/statuspoller.h"

#include <boost/json/object.hpp>
#include <boost/json/string.hpp>

#include <algorithm>

namespace banyanwall::ctl {

namespace json = boost::json;

namespace {

/// Versions of each document: "key in_force/known" as text, or a JSON object for each key.
json::value documentsCell(const InstanceStatus &status, Format format)
{
    if (format == Format::Json) {
        json::object documents;
        for (const auto &[key, versions] : status.documents) {
            documents[key] = json::object { { "known", versions.knownVersion },
                                            { "in_force", versions.inForceVersion } };
        }
        return documents;
    }
    std::string text;
    for (const auto &[key, versions] : status.documents) {
        text += (text.empty() ? "" : ", ") + key + " " + std::to_string(versions.inForceVersion)
                + "/" + std::to_string(versions.knownVersion);
    }
    return json::string(text);
}

std::vector<json::value> statusRow(const PolledInstance &polled, Format format)
{
    if (!common::isOk(polled.status)) {
        const json::value notAvailable =
                format == Format::Json ? json::value(nullptr) : json::value("-");
        return { json::string(polled.record.name),
                 json::string(polled.record.zone),
                 "unreachable",
                 notAvailable,
                 notAvailable,
                 json::string(common::errorOf(polled.status).message) };
    }
    const auto &status = common::valueOf(polled.status);
    const auto *state = status.isLeaving ? "leaving" : status.isStale ? "stale" : "live";
    return { json::string(status.instance), json::string(status.zone),     state,
             status.requestsInProgress,     documentsCell(status, format), "" };
}

} // namespace

CommandResult showStatus(CommandContext &context, const Arguments & /*arguments*/)
{
    const auto records = context.store.instances();
    if (!common::isOk(records)) {
        return failure(common::errorOf(records));
    }
    const auto polled = pollInstances(context.store.context(), common::valueOf(records),
                                      context.waitSettings.pollTimeout);
    Table table { { "instance", "zone", "state", "requests_in_progress", "documents", "error" },
                  {} };
    std::ranges::transform(polled, std::back_inserter(table.rows), [&](const auto &instance) {
        return statusRow(instance, context.options.format);
    });
    const bool areAllReachable = std::ranges::all_of(
            polled, [](const auto &instance) { return common::isOk(instance.status); });
    return { areAllReachable ? ExitCode::Ok : ExitCode::NotConfirmed,
             render(table, context.options.format), "" };
}

CommandResult listInstances(CommandContext &context, const Arguments & /*arguments*/)
{
    const auto records = context.store.instances();
    if (!common::isOk(records)) {
        return failure(common::errorOf(records));
    }
    Table table { { "instance", "zone", "incarnation", "fabric", "peer", "admin", "leaving" }, {} };
    std::ranges::transform(
            common::valueOf(records), std::back_inserter(table.rows), [](const auto &record) {
                return std::vector<json::value> { json::string(record.name),
                                                  json::string(record.zone),
                                                  record.incarnation,
                                                  json::string(common::toString(record.fabric)),
                                                  json::string(common::toString(record.peer)),
                                                  json::string(common::toString(record.admin)),
                                                  record.leaving };
            });
    return { ExitCode::Ok, render(table, context.options.format), "" };
}

} // namespace banyanwall::ctl
