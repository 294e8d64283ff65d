#include "ctl/command.h"
#include "ctl/contractlookup.h"
#include "ctl/storedcontract.h"

#include "version/contractparser.h"

#include <boost/json/string.hpp>

#include <algorithm>

namespace banyanwall::ctl {

namespace json = boost::json;
using common::errorOf;
using common::isOk;
using common::valueOf;

namespace {

// A write fails when another operator edits the contract text at the same time. The drain does not
// depend on the text, so the document is read and written again, up to this many times.
constexpr int MaxWriteAttempts = 5;

struct CustomerContract
{
    StoredDocument<version::ContractDocument> stored;
    version::Contract contract;
};

common::Result<CustomerContract> loadContract(CommandContext &context, const std::string &customer)
{
    const auto stored = loadDocument(context, customer);
    if (!isOk(stored)) {
        return errorOf(stored);
    }
    const auto contract = version::parseContract(valueOf(stored).value.toml, "store");
    if (!isOk(contract)) {
        return errorOf(contract);
    }
    return CustomerContract { valueOf(stored), valueOf(contract) };
}

/// Adds the name to the list or removes it; false when the list needs no change.
bool updateDrainList(std::vector<std::string> &drained, const std::string &name, bool shouldDrain)
{
    const auto found = std::ranges::find(drained, name);
    if ((found != drained.end()) == shouldDrain) {
        return false;
    }
    if (shouldDrain) {
        drained.push_back(name);
    } else {
        drained.erase(found);
    }
    return true;
}

common::Error unknownUpstreamError(const std::string &customer, const std::string &name)
{
    return { "invalid_input",
             "customer '" + customer + "' has no upstream '" + name
                     + "', must be SERVICE/UPSTREAM of its contract" };
}

common::Error tooManyConflictsError(const std::string &customer)
{
    return { "conflict",
             "conflict: the contract of customer '" + customer
                     + "' was changed by another writer during each attempt; nothing was written" };
}

CommandResult setUpstreamDrained(CommandContext &context, const Arguments &arguments,
                                 bool shouldDrain)
{
    const auto &customer = arguments.at(0);
    const auto &name = arguments.at(1);
    const auto key = contractKey(customer);
    const auto summary = "upstream '" + name + "' is " + (shouldDrain ? "draining" : "active");
    for (int attempt = 0; attempt < MaxWriteAttempts; ++attempt) {
        const auto loaded = loadContract(context, customer);
        if (!isOk(loaded)) {
            return failure(errorOf(loaded));
        }
        const auto &[stored, contract] = valueOf(loaded);
        if (!hasUpstream(contract, name)) {
            return failure(unknownUpstreamError(customer, name));
        }
        auto drained = stored.value.drainedUpstreams;
        if (!updateDrainList(drained, name, shouldDrain)) {
            return reportUnchanged(context, key, stored.value.version, summary);
        }
        const auto next = version::nextVersion(stored.value, stored.value.toml,
                                               context.options.author, drained);
        const auto outcome =
                context.store.write(key, stored.revision, version::formatContractDocument(next));
        if (!isOk(outcome)) {
            return failure(errorOf(outcome));
        }
        if (valueOf(outcome).applied) {
            return reportAccepted(context, key, next.version,
                                  summary + " as of version " + std::to_string(next.version));
        }
    }
    return failure(tooManyConflictsError(customer));
}

} // namespace

CommandResult drainUpstream(CommandContext &context, const Arguments &arguments)
{
    return setUpstreamDrained(context, arguments, true);
}

CommandResult returnUpstream(CommandContext &context, const Arguments &arguments)
{
    return setUpstreamDrained(context, arguments, false);
}

CommandResult listUpstreams(CommandContext &context, const Arguments &arguments)
{
    const auto loaded = loadContract(context, arguments.at(0));
    const auto zones = context.store.zones();
    if (!isOk(loaded) || !isOk(zones)) {
        return failure(isOk(loaded) ? errorOf(zones) : errorOf(loaded));
    }
    const auto &drained = valueOf(loaded).stored.value.drainedUpstreams;
    const auto isWithdrawn = [&](const std::string &zone) {
        return std::ranges::any_of(valueOf(zones).value.zones, [&](const auto &state) {
            return state.name == zone && state.withdrawn;
        });
    };
    Table table { { "upstream", "group", "zone", "address", "state" }, {} };
    for (const auto &service : valueOf(loaded).contract.services) {
        for (const auto &group : service.groups) {
            for (const auto &upstream : group.upstreams) {
                const auto name = qualifiedName(service, upstream);
                const bool draining = std::ranges::find(drained, name) != drained.end();
                const auto *state = isWithdrawn(upstream.zone) ? "withdrawn"
                        : draining                             ? "draining"
                                                               : "active";
                table.rows.push_back({ json::string(name), json::string(group.name),
                                       json::string(upstream.zone),
                                       json::string(common::toString(upstream.address)), state });
            }
        }
    }
    return { ExitCode::Ok, render(table, context.options.format), "" };
}

} // namespace banyanwall::ctl
