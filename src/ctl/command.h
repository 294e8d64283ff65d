#pragma once

#include "ctl/options.h"
#include "ctl/output.h"
#include "ctl/storesession.h"
#include "ctl/waiter.h"

#include <string>
#include <vector>

namespace banyanwall::ctl {

/// What commands work with.
struct CommandContext
{
    StoreSession &store;
    const Options &options;
    Waiter::Progress progress;
    WaitSettings waitSettings;
};

/// Runs the command that the option words name.
[[nodiscard]] CommandResult runCommand(CommandContext &context);

/// Reports an accepted change of a document and waits for it when the options ask for that.
[[nodiscard]] CommandResult finishChange(CommandContext &context, const std::string &key,
                                         std::uint64_t version, const std::string &sentence);
/// Reports that there was nothing to change; also waits, so that a repeated command confirms an
/// earlier change.
[[nodiscard]] CommandResult unchanged(CommandContext &context, const std::string &key,
                                      std::uint64_t version, const std::string &sentence);

// The commands; arguments follow the command words.
using Arguments = std::vector<std::string>;

CommandResult checkContract(CommandContext &context, const Arguments &arguments);
CommandResult applyContract(CommandContext &context, const Arguments &arguments);
CommandResult showContract(CommandContext &context, const Arguments &arguments);
CommandResult diffContract(CommandContext &context, const Arguments &arguments);
CommandResult explainContract(CommandContext &context, const Arguments &arguments);
CommandResult contractHistory(CommandContext &context, const Arguments &arguments);
CommandResult rollBackContract(CommandContext &context, const Arguments &arguments);
CommandResult withdrawZone(CommandContext &context, const Arguments &arguments);
CommandResult returnZone(CommandContext &context, const Arguments &arguments);
CommandResult listZones(CommandContext &context, const Arguments &arguments);
CommandResult drainUpstream(CommandContext &context, const Arguments &arguments);
CommandResult returnUpstream(CommandContext &context, const Arguments &arguments);
CommandResult listUpstreams(CommandContext &context, const Arguments &arguments);
CommandResult showStatus(CommandContext &context, const Arguments &arguments);
CommandResult listInstances(CommandContext &context, const Arguments &arguments);

} // namespace banyanwall::ctl
