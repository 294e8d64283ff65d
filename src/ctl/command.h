#pragma once

#include "ctl/options.h"
#include "ctl/output.h"
#include "ctl/rolloutwaiter.h"
#include "ctl/storesession.h"

#include <string>
#include <vector>

namespace banyanwall::ctl {

/// Shared by all commands: the store, the command line and the progress output.
struct CommandContext
{
    StoreSession &store;
    const Options &options;
    RolloutWaiter::Progress progress;
    WaitSettings waitSettings;
};

/// Finds the command that options.words starts with and runs it with the remaining words as
/// arguments. An unknown command or a wrong number of arguments gives ExitCode::Invalid.
[[nodiscard]] CommandResult runCommand(CommandContext &context);

/// Reports that the store accepted a version of a document. With --wait, also waits until that
/// version is in force on all instances.
[[nodiscard]] CommandResult reportAccepted(CommandContext &context, const std::string &key,
                                           std::uint64_t version, const std::string &summary);
/// Reports that the document already has the requested content. With --wait, also waits, so that an
/// operator can repeat a command to confirm an earlier change.
[[nodiscard]] CommandResult reportUnchanged(CommandContext &context, const std::string &key,
                                            std::uint64_t version, const std::string &summary);

/// Words of the command line after the command, such as FILE of "contract apply FILE".
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
