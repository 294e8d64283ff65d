#include "ctl/command.h"

#include "version/contractparser.h"
#include "version/limits.h"

#include <boost/json/string.hpp>

#include <algorithm>
#include <set>

namespace banyanwall::ctl {

namespace json = boost::json;
using common::errorOf;
using common::isOk;
using common::valueOf;
using version::ZoneState;
using version::ZoneStates;

namespace {

// The planner raises shares in the same document, so that an operator's change may lose a race
// without any disagreement.
constexpr int MaximumAttempts = 5;

common::Result<std::set<std::string>> contractZones(CommandContext &context)
{
    const auto documents = context.store.contracts();
    if (!isOk(documents)) {
        return errorOf(documents);
    }
    std::set<std::string> zones;
    for (const auto &document : valueOf(documents)) {
        const auto contract = version::parseContract(document.value.toml, "store");
        if (isOk(contract)) {
            zones.insert(valueOf(contract).zones.begin(), valueOf(contract).zones.end());
        }
    }
    return zones;
}

/// Sets the state of one zone; false when it has that state already.
bool setWithdrawn(ZoneStates &states, const std::string &name, bool withdrawn)
{
    auto zone = std::ranges::find(states.zones, name, &ZoneState::name);
    if (zone == states.zones.end()) {
        zone = states.zones.insert(zone, ZoneState { name, false, 100 });
    }
    if (zone->withdrawn == withdrawn) {
        return false;
    }
    zone->withdrawn = withdrawn;
    // A returning zone starts with one step; the planner of the instances raises it.
    zone->returningSharePercent = withdrawn ? 100 : version::ZoneReturnStepPercent;
    ++states.version;
    return true;
}

CommandResult changeZone(CommandContext &context, const std::string &name, bool withdrawn)
{
    const auto known = contractZones(context);
    if (!isOk(known)) {
        return failure(errorOf(known));
    }
    if (!valueOf(known).contains(name)) {
        return failure({ "invalid_input", "no contract has a zone '" + name + "'" });
    }
    const std::string key(version::ZonesKey);
    const auto sentence = "zone '" + name + "' is " + (withdrawn ? "withdrawn" : "active");
    for (int attempt = 0; attempt < MaximumAttempts; ++attempt) {
        const auto stored = context.store.zones();
        if (!isOk(stored)) {
            return failure(errorOf(stored));
        }
        auto states = valueOf(stored).value;
        if (!setWithdrawn(states, name, withdrawn)) {
            return unchanged(context, key, states.version, sentence);
        }
        const auto outcome = context.store.write(key, valueOf(stored).revision,
                                                 version::formatZoneStates(states));
        if (!isOk(outcome)) {
            return failure(errorOf(outcome));
        }
        if (valueOf(outcome).applied) {
            return finishChange(context, key, states.version,
                                sentence + " as of zone version " + std::to_string(states.version));
        }
    }
    return failure(
            { "conflict",
              "conflict: the zone states change faster than this change can be made; nothing "
              "was written" });
}

} // namespace

CommandResult withdrawZone(CommandContext &context, const Arguments &arguments)
{
    return changeZone(context, arguments.at(0), true);
}

CommandResult returnZone(CommandContext &context, const Arguments &arguments)
{
    return changeZone(context, arguments.at(0), false);
}

CommandResult listZones(CommandContext &context, const Arguments & /*arguments*/)
{
    const auto stored = context.store.zones();
    const auto known = contractZones(context);
    if (!isOk(stored) || !isOk(known)) {
        return failure(isOk(stored) ? errorOf(known) : errorOf(stored));
    }
    std::map<std::string, ZoneState> zones;
    std::ranges::for_each(valueOf(known), [&](const auto &name) {
        zones[name] = { name, false, 100 };
    });
    std::ranges::for_each(valueOf(stored).value.zones,
                          [&](const ZoneState &zone) { zones[zone.name] = zone; });
    Table table { { "zone", "state", "share_percent" }, {} };
    for (const auto &[name, zone] : zones) {
        const auto *state = zone.withdrawn         ? "withdrawn"
                : zone.returningSharePercent < 100 ? "returning"
                                                   : "active";
        table.rows.push_back(
                { json::string(name), state, zone.withdrawn ? 0U : zone.returningSharePercent });
    }
    return { ExitCode::Ok, render(table, context.options.format), "" };
}

} // namespace banyanwall::ctl
