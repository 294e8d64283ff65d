#include "ctl/command.h"

#include "ctl/storedcontract.h"
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

// A write fails when an instance raises the share of a returning zone in the same document at the
// same time. The two changes do not contradict each other, so the document is read and written
// again, up to this many times.
constexpr int MaxWriteAttempts = 5;

common::Result<std::set<std::string>> loadContractZones(CommandContext &context)
{
    const auto contracts = loadContracts(context);
    if (!isOk(contracts)) {
        return errorOf(contracts);
    }
    std::set<std::string> zones;
    for (const auto &[document, contract] : valueOf(contracts)) {
        if (contract) {
            zones.insert(contract->zones.begin(), contract->zones.end());
        }
    }
    return zones;
}

/// Updates the state of one zone; false when the zone already has that state.
bool updateZoneState(ZoneStates &states, const std::string &name, bool withdrawn)
{
    auto zone = std::ranges::find(states.zones, name, &ZoneState::name);
    if (zone == states.zones.end()) {
        zone = states.zones.insert(zone, ZoneState { name, false, 100 });
    }
    if (zone->withdrawn == withdrawn) {
        return false;
    }
    zone->withdrawn = withdrawn;
    // A returning zone starts with one step; one of the instances then raises its share.
    zone->returningSharePercent = withdrawn ? 100 : version::ZoneReturnStepPercent;
    ++states.version;
    return true;
}

CommandResult setZoneWithdrawn(CommandContext &context, const std::string &name, bool withdrawn)
{
    const auto knownZones = loadContractZones(context);
    if (!isOk(knownZones)) {
        return failure(errorOf(knownZones));
    }
    if (!valueOf(knownZones).contains(name)) {
        return failure({ "invalid_input", "no contract has a zone '" + name + "'" });
    }
    const std::string key(version::ZonesKey);
    const auto summary = "zone '" + name + "' is " + (withdrawn ? "withdrawn" : "active");
    for (int attempt = 0; attempt < MaxWriteAttempts; ++attempt) {
        const auto stored = context.store.zones();
        if (!isOk(stored)) {
            return failure(errorOf(stored));
        }
        auto states = valueOf(stored).value;
        if (!updateZoneState(states, name, withdrawn)) {
            return reportUnchanged(context, key, states.version, summary);
        }
        const auto outcome = context.store.write(key, valueOf(stored).revision,
                                                 version::formatZoneStates(states));
        if (!isOk(outcome)) {
            return failure(errorOf(outcome));
        }
        if (valueOf(outcome).applied) {
            return reportAccepted(context, key, states.version,
                                  summary + " as of zone version "
                                          + std::to_string(states.version));
        }
    }
    return failure({ "conflict",
                     "conflict: the zone states were changed by another writer during each "
                     "attempt; nothing "
                     "was written" });
}

} // namespace

CommandResult withdrawZone(CommandContext &context, const Arguments &arguments)
{
    return setZoneWithdrawn(context, arguments.at(0), true);
}

CommandResult returnZone(CommandContext &context, const Arguments &arguments)
{
    return setZoneWithdrawn(context, arguments.at(0), false);
}

CommandResult listZones(CommandContext &context, const Arguments & /*arguments*/)
{
    const auto stored = context.store.zones();
    const auto knownZones = loadContractZones(context);
    if (!isOk(stored) || !isOk(knownZones)) {
        return failure(isOk(stored) ? errorOf(knownZones) : errorOf(stored));
    }
    std::map<std::string, ZoneState> zones;
    std::ranges::for_each(valueOf(knownZones), [&](const auto &name) {
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
