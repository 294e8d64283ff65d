#include "version/directoryvalue.h"

#include "common/result.h"
#include "version/rulespatch.h"

#include <algorithm>
#include <iterator>

namespace banyanwall::version {

namespace {

constexpr std::uint64_t PortBits = 16;

} // namespace

EntryKey keyOf(const UpstreamRecord &record)
{
    const bool isNamedBySerial = record.entry == common::EntryId();
    return { EntryKind::Upstream, isNamedBySerial ? record.serial.value() : record.entry.value() };
}

EntryKey keyOf(const RulesRecord & /*record*/)
{
    return { EntryKind::Rules, 0 };
}

EntryKey keyOf(const RulesPatch & /*patch*/)
{
    return { EntryKind::Rules, 0 };
}

EntryKey keyOf(const WithdrawalRecord &record)
{
    return { EntryKind::Withdrawal, record.zone.value() };
}

EntryKey keyOf(const MemberRecord &record)
{
    return { EntryKind::Member,
             (std::uint64_t { record.endpoint.address } << PortBits) | record.endpoint.port };
}

std::set<EntryKey> keysOf(const DirectoryDelta &delta)
{
    std::set<EntryKey> keys;
    std::ranges::transform(delta.changes, std::inserter(keys, keys.end()), &DirectoryChange::key);
    return keys;
}

std::set<EntryKey> presentKeysOf(const DirectoryDelta &delta)
{
    std::set<EntryKey> keys;
    for (const auto &change : delta.changes) {
        if (std::holds_alternative<RemovedRecord>(change.value)) {
            keys.erase(change.key);
        } else {
            keys.insert(change.key);
        }
    }
    return keys;
}

std::optional<std::uint64_t> contractVersionOf(const DirectoryValue &value)
{
    using Version = std::optional<std::uint64_t>;
    return std::visit(common::Overloaded {
                              [](const RulesRecord &rules) { return Version(rules.version); },
                              [](const RulesPatch &patch) { return Version(patch.version); },
                              [](const auto & /*other*/) { return Version(); },
                      },
                      value);
}

std::optional<DirectoryValue> patchedValue(const RulesRecord *known, const DirectoryValue &value)
{
    const auto *patch = std::get_if<RulesPatch>(&value);
    if (patch == nullptr) {
        return value;
    }
    auto patched = patchedRules(known, *patch);
    return patched ? std::optional<DirectoryValue>(std::move(*patched)) : std::nullopt;
}

bool isSameButForColdTime(const DirectoryValue &known, const DirectoryValue &value)
{
    const auto *knownRecord = std::get_if<UpstreamRecord>(&known);
    const auto *record = std::get_if<UpstreamRecord>(&value);
    if (knownRecord == nullptr || record == nullptr) {
        return known == value;
    }
    auto expected = *knownRecord;
    expected.coldFor = record->coldFor;
    return expected == *record;
}

bool isLaterState(const DirectoryValue &known, const DirectoryValue &value)
{
    const auto *knownRecord = std::get_if<UpstreamRecord>(&known);
    const auto *record = std::get_if<UpstreamRecord>(&value);
    if (knownRecord == nullptr || record == nullptr) {
        return false;
    }
    return record->incarnation > knownRecord->incarnation
            || (record->incarnation == knownRecord->incarnation && record->draining
                && !knownRecord->draining);
}

} // namespace banyanwall::version
