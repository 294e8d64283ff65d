#include "ctl/command.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <array>

namespace banyanwall::ctl {

namespace json = boost::json;

namespace {

struct CommandEntry
{
    /// One or two words.
    std::vector<std::string> words;
    std::string arguments;
    std::size_t fewest;
    std::size_t most;
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

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const auto &word : words) {
        text += (text.empty() ? "" : " ") + word;
    }
    return text;
}

json::array arrayOf(const std::vector<std::string> &texts)
{
    return json::array(texts.begin(), texts.end());
}

std::string waitSentence(const WaitOutcome &outcome)
{
    if (outcome.instances == 0) {
        return "\nno instance is registered";
    }
    auto text = "\nin force on " + std::to_string(outcome.inForce) + " of "
            + std::to_string(outcome.instances) + " instances";
    for (const auto &name : outcome.pending) {
        text += "\nnot in force yet: " + name;
    }
    for (const auto &name : outcome.unreachable) {
        text += "\nunreachable: " + name;
    }
    return text;
}

/// Reports a document version and waits for it when the options ask for that.
CommandResult confirm(CommandContext &context, const std::string &key, std::uint64_t version,
                      const std::string &sentence, const std::string &result)
{
    json::object data { { "result", result }, { "document", key }, { "version", version } };
    if (!context.options.wait) {
        return { ExitCode::Ok, render(sentence, data, context.options.format), "" };
    }
    auto settings = context.waitSettings;
    settings.limit = context.options.waitLimit;
    const auto outcome = Waiter(context.store, settings, context.progress).wait(key, version);
    if (!common::isOk(outcome)) {
        const auto &error = common::errorOf(outcome).message;
        return { ExitCode::NotConfirmed, render(sentence, data, context.options.format),
                 "banyanwallctl: the change was accepted, but the instances are unknown: " + error
                         + "\n" };
    }
    const auto &reached = common::valueOf(outcome);
    data["instances"] = reached.instances;
    data["in_force"] = reached.inForce;
    data["pending"] = arrayOf(reached.pending);
    data["unreachable"] = arrayOf(reached.unreachable);
    return { reached.isComplete() ? ExitCode::Ok : ExitCode::NotConfirmed,
             render(sentence + waitSentence(reached), data, context.options.format), "" };
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
        return failure({ "invalid_input", "unknown command '" + joined(words) + "' (see --help)" });
    }
    const Arguments arguments(words.begin() + static_cast<std::ptrdiff_t>(entry->words.size()),
                              words.end());
    if (arguments.size() < entry->fewest || arguments.size() > entry->most) {
        return failure({ "invalid_input",
                         "usage: " + joined(entry->words)
                                 + (entry->arguments.empty() ? "" : " " + entry->arguments) });
    }
    return entry->run(context, arguments);
}

CommandResult finishChange(CommandContext &context, const std::string &key, std::uint64_t version,
                           const std::string &sentence)
{
    return confirm(context, key, version, sentence, "applied");
}

CommandResult unchanged(CommandContext &context, const std::string &key, std::uint64_t version,
                        const std::string &sentence)
{
    return confirm(context, key, version, sentence, "unchanged");
}

} // namespace banyanwall::ctl
