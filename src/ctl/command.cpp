#include "ctl/command.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <array>

namespace banyanwall::ctl {

namespace json = boost::json;

namespace {

struct CommandEntry
{
    /// One or two words, such as "contract apply".
    std::vector<std::string> words;
    /// Form of the arguments, shown in the usage error.
    std::string argumentsUsage;
    std::size_t minArguments;
    std::size_t maxArguments;
    CommandResult (*run)(CommandContext &, const Arguments &);
};

const std::vector<CommandEntry> &commands()
{
    static const std::vector<CommandEntry> entries {
        { { "contract", "check" }, "FILE", 1, 1, checkContract },
        { { "contract", "apply" }, "FILE", 1, 1, applyContract },
        { { "contract", "show" }, "CUSTOMER [VERSION]", 1, 2, showContract },
        { { "contract", "diff" }, "CUSTOMER FILE | CUSTOMER VERSION VERSION", 2, 3, diffContract },
        { { "contract", "explain" }, "FILE", 1, 1, explainContract },
        { { "contract", "history" }, "CUSTOMER", 1, 1, contractHistory },
        { { "contract", "rollback" }, "CUSTOMER VERSION", 2, 2, rollBackContract },
        { { "zone", "withdraw" }, "ZONE", 1, 1, withdrawZone },
        { { "zone", "return" }, "ZONE", 1, 1, returnZone },
        { { "zone", "list" }, "", 0, 0, listZones },
        { { "upstream", "drain" }, "CUSTOMER SERVICE/UPSTREAM", 2, 2, drainUpstream },
        { { "upstream", "return" }, "CUSTOMER SERVICE/UPSTREAM", 2, 2, returnUpstream },
        { { "upstream", "list" }, "CUSTOMER", 1, 1, listUpstreams },
        { { "status" }, "", 0, 0, showStatus },
        { { "instance", "list" }, "", 0, 0, listInstances },
    };
    return entries;
}

std::string joinWords(const std::vector<std::string> &words)
{
    std::string text;
    for (const auto &word : words) {
        text += (text.empty() ? "" : " ") + word;
    }
    return text;
}

json::array toJsonArray(const std::vector<std::string> &texts)
{
    return json::array(texts.begin(), texts.end());
}

std::string rolloutSummary(const RolloutState &rollout)
{
    if (rollout.instanceCount == 0) {
        return "\nno instance is registered";
    }
    auto text = "\nin force on " + std::to_string(rollout.inForceCount) + " of "
            + std::to_string(rollout.instanceCount) + " instances";
    for (const auto &name : rollout.pending) {
        text += "\nnot in force yet: " + name;
    }
    for (const auto &name : rollout.unreachable) {
        text += "\nunreachable: " + name;
    }
    return text;
}

/// Renders the result and, with --wait, the state of the roll-out when the wait ended. Exit code
/// NotConfirmed when the version is not known to be in force on all instances.
CommandResult reportVersion(CommandContext &context, const std::string &key, std::uint64_t version,
                            const std::string &summary, const std::string &result)
{
    json::object data { { "result", result }, { "document", key }, { "version", version } };
    if (!context.options.shouldWait) {
        return { ExitCode::Ok, render(summary, data, context.options.format), "" };
    }
    auto settings = context.waitSettings;
    settings.waitLimit = context.options.waitLimit;
    const auto waitResult =
            RolloutWaiter(context.store, settings, context.progress).wait(key, version);
    if (!common::isOk(waitResult)) {
        const auto &error = common::errorOf(waitResult).message;
        return {
            ExitCode::NotConfirmed, render(summary, data, context.options.format),
            "banyanwallctl: the change was accepted, but the list of instances could not be read: "
                    + error + "\n"
        };
    }
    const auto &rollout = common::valueOf(waitResult);
    data["instances"] = rollout.instanceCount;
    data["in_force"] = rollout.inForceCount;
    data["pending"] = toJsonArray(rollout.pending);
    data["unreachable"] = toJsonArray(rollout.unreachable);
    return { rollout.isComplete() ? ExitCode::Ok : ExitCode::NotConfirmed,
             render(summary + rolloutSummary(rollout), data, context.options.format), "" };
}

} // namespace

CommandResult runCommand(CommandContext &context)
{
    const auto &words = context.options.words;
    const auto entry = std::ranges::find_if(commands(), [&](const CommandEntry &candidate) {
        return words.size() >= candidate.words.size()
                && std::equal(candidate.words.begin(), candidate.words.end(), words.begin());
    });
    if (entry == commands().end()) {
        return failure(
                { "invalid_input", "unknown command '" + joinWords(words) + "' (see --help)" });
    }
    const Arguments arguments(words.begin() + static_cast<std::ptrdiff_t>(entry->words.size()),
                              words.end());
    if (arguments.size() < entry->minArguments || arguments.size() > entry->maxArguments) {
        return failure(
                { "invalid_input",
                  "usage: " + joinWords(entry->words)
                          + (entry->argumentsUsage.empty() ? "" : " " + entry->argumentsUsage) });
    }
    return entry->run(context, arguments);
}

CommandResult reportAccepted(CommandContext &context, const std::string &key, std::uint64_t version,
                             const std::string &summary)
{
    return reportVersion(context, key, version, summary, "applied");
}

CommandResult reportUnchanged(CommandContext &context, const std::string &key,
                              std::uint64_t version, const std::string &summary)
{
    return reportVersion(context, key, version, summary, "unchanged");
}

} // namespace banyanwall::ctl
