#include "wire/directorycodec.h"

#include <algorithm>
#include <optional>

namespace banyanwall::wire {

using common::Duration;
using common::Error;
using common::Overloaded;
using version::DirectoryValue;

namespace {

std::uint32_t toMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(
            std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

Duration fromMilliseconds(std::uint32_t milliseconds)
{
    return std::chrono::milliseconds(milliseconds);
}

void write(const common::Endpoint &endpoint, proto::DirectoryEndpoint &out)
{
    out.set_address(endpoint.address);
    out.set_port(endpoint.port);
}

common::Endpoint read(const proto::DirectoryEndpoint &in)
{
    return { in.address(), static_cast<std::uint16_t>(in.port()) };
}

void write(const version::UpstreamRecord &record, proto::UpstreamEntry &out)
{
    out.set_serial(record.serial.value());
    out.set_service(record.service.value());
    write(record.endpoint, *out.mutable_endpoint());
    out.set_zone(record.zone.value());
    out.set_slots(record.slots);
    out.set_draining(record.draining);
    out.set_cold_for_ms(toMilliseconds(record.coldFor));
    out.set_started(record.incarnation.value());
    out.set_entry(record.entry.value());
    out.set_created_revision(record.createdAt.value());
}

version::UpstreamRecord read(const proto::UpstreamEntry &in)
{
    return { .serial = common::UpstreamSerial(in.serial()),
             .service = common::ServiceId(in.service()),
             .endpoint = read(in.endpoint()),
             .zone = common::ZoneId(in.zone()),
             .slots = in.slots(),
             .draining = in.draining(),
             .coldFor = fromMilliseconds(in.cold_for_ms()),
             .incarnation = common::Incarnation(in.started()),
             .entry = common::EntryId(in.entry()),
             .createdAt = common::StoreRevision(in.created_revision()) };
}

void write(const version::RouteTerms &terms, proto::RouteEntry &out)
{
    if (terms.priority) {
        out.set_priority(*terms.priority);
    }
    out.set_response_aim_ms(toMilliseconds(terms.responseAim.value_or(Duration {})));
    out.set_time_budget_ms(toMilliseconds(terms.timeBudget.value_or(Duration {})));
}

version::RouteTerms readTerms(const proto::RouteEntry &in)
{
    const auto timeOf = [](std::uint32_t milliseconds) {
        return milliseconds == 0 ? std::nullopt : std::optional(fromMilliseconds(milliseconds));
    };
    return { .priority = in.has_priority() ? std::optional(in.priority()) : std::nullopt,
             .responseAim = timeOf(in.response_aim_ms()),
             .timeBudget = timeOf(in.time_budget_ms()) };
}

void write(const version::RulesPatch &record, proto::RulesEntry &out)
{
    out.set_complete(record.complete);
    for (const auto &address : record.removedAddresses) {
        write(address, *out.add_removed_addresses());
    }
    out.set_version(record.version);
    out.set_idle_limit_ms(toMilliseconds(record.idleLimit));
    if (record.routesDigest) {
        out.set_routes_digest(record.routesDigest->value());
    }
    for (const auto &route : record.routes) {
        auto &entry = *out.add_routes();
        write(route.address, *entry.mutable_address());
        entry.set_repeatable(route.repeatable);
        write(route.terms, entry);
        for (const auto &share : route.shares) {
            auto &part = *entry.add_shares();
            part.set_service(share.service.value());
            part.set_weight(share.weight);
        }
    }
    for (const auto &service : record.services) {
        auto &entry = *out.add_services();
        entry.set_service(service.service.value());
        entry.set_cold_period_ms(toMilliseconds(service.coldPeriod));
        entry.set_cold_opens_per_second(service.coldOpensPerSecond);
        entry.set_max_connections(service.maxConnections);
    }
}

version::RouteRecord read(const proto::RouteEntry &in)
{
    version::RouteRecord route { .address = read(in.address()),
                                 .repeatable = in.repeatable(),
                                 .terms = readTerms(in) };
    std::ranges::transform(in.shares(), std::back_inserter(route.shares), [](const auto &share) {
        return version::ServiceShare { common::ServiceId(share.service()), share.weight() };
    });
    return route;
}

version::RulesPatch read(const proto::RulesEntry &in)
{
    version::RulesPatch record { .version = in.version(),
                                 .idleLimit = fromMilliseconds(in.idle_limit_ms()),
                                 .complete = in.complete() };
    if (in.has_routes_digest()) {
        record.routesDigest = common::RoutesDigest(in.routes_digest());
    }
    std::ranges::transform(in.removed_addresses(), std::back_inserter(record.removedAddresses),
                           [](const auto &address) { return read(address); });
    std::ranges::transform(in.routes(), std::back_inserter(record.routes),
                           [](const auto &route) { return read(route); });
    std::ranges::transform(in.services(), std::back_inserter(record.services),
                           [](const auto &service) {
                               return version::ServiceRecord {
                                   .service = common::ServiceId(service.service()),
                                   .coldPeriod = fromMilliseconds(service.cold_period_ms()),
                                   .coldOpensPerSecond = service.cold_opens_per_second(),
                                   .maxConnections = service.max_connections(),
                               };
                           });
    return record;
}

version::RulesPatch completePatch(const version::RulesRecord &rules)
{
    return { .version = rules.version,
             .idleLimit = rules.idleLimit,
             .complete = true,
             .routes = rules.routes,
             .services = rules.services };
}

void writeValue(const DirectoryValue &value, proto::DirectoryChange &out)
{
    std::visit(
            Overloaded {
                    [](const version::RemovedRecord & /*none*/) {},
                    [&](const version::UpstreamRecord &record) {
                        write(record, *out.mutable_upstream());
                    },
                    [&](const version::RulesRecord &record) {
                        write(completePatch(record), *out.mutable_rules());
                    },
                    [&](const version::RulesPatch &patch) { write(patch, *out.mutable_rules()); },
                    [&](const version::WithdrawalRecord &record) {
                        out.mutable_withdrawal()->set_zone(record.zone.value());
                    },
                    [&](const version::MemberRecord &record) {
                        write(record.endpoint, *out.mutable_member()->mutable_endpoint());
                        out.mutable_member()->set_zone(record.zone.value());
                        out.mutable_member()->set_capacity(record.capacity);
                    },
            },
            value);
}

DirectoryValue readValue(const proto::DirectoryChange &in)
{
    switch (in.value_case()) {
    case proto::DirectoryChange::kUpstream:
        return read(in.upstream());
    case proto::DirectoryChange::kRules:
        return read(in.rules());
    case proto::DirectoryChange::kWithdrawal:
        return version::WithdrawalRecord { common::ZoneId(in.withdrawal().zone()) };
    case proto::DirectoryChange::kMember:
        return version::MemberRecord { read(in.member().endpoint()),
                                       common::ZoneId(in.member().zone()), in.member().capacity() };
    case proto::DirectoryChange::VALUE_NOT_SET:
        break;
    }
    return version::RemovedRecord {};
}

/// Empty if the kind is unknown or the key does not match the value.
std::optional<version::DirectoryChange> readChange(const proto::DirectoryChange &in,
                                                   common::StoreEra era)
{
    const bool isKnownKind = in.kind() >= static_cast<std::uint32_t>(version::EntryKind::Upstream)
            && in.kind() <= static_cast<std::uint32_t>(version::EntryKind::Member);
    if (!isKnownKind) {
        return std::nullopt;
    }
    version::DirectoryChange change {
        .key = { static_cast<version::EntryKind>(in.kind()), in.id() },
        .position = { in.has_era() ? common::StoreEra(in.era()) : era,
                      common::StoreRevision(in.revision()) },
        .value = readValue(in),
    };
    const bool isKeyOfValue = std::visit(
            Overloaded {
                    [](const version::RemovedRecord & /*none*/) { return true; },
                    [&](const auto &record) { return version::keyOf(record) == change.key; },
            },
            change.value);
    return isKeyOfValue ? std::optional(std::move(change)) : std::nullopt;
}

} // namespace

std::string encodeDelta(const version::DirectoryDelta &delta)
{
    proto::DirectoryDelta message;
    message.set_from_revision(delta.from.revision.value());
    message.set_from_era(delta.from.era.value());
    message.set_to_revision(delta.to.revision.value());
    message.set_to_era(delta.to.era.value());
    message.set_complete(delta.complete);
    message.set_may_lack_removals(delta.mayLackRemovals);
    for (const auto &change : delta.changes) {
        auto &entry = *message.add_changes();
        entry.set_kind(static_cast<std::uint32_t>(change.key.kind));
        entry.set_id(change.key.id);
        entry.set_revision(change.position.revision.value());
        if (change.position.era != delta.to.era) {
            entry.set_era(change.position.era.value());
        }
        writeValue(change.value, entry);
    }
    return message.SerializeAsString();
}

common::Result<version::DirectoryDelta> decodeDelta(std::string_view bytes)
{
    proto::DirectoryDelta message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return Error { "malformed_delta", "the bytes are not an encoded directory delta" };
    }
    version::DirectoryDelta delta { .from = { common::StoreEra(message.from_era()),
                                              common::StoreRevision(message.from_revision()) },
                                    .to = { common::StoreEra(message.to_era()),
                                            common::StoreRevision(message.to_revision()) },
                                    .complete = message.complete(),
                                    .mayLackRemovals = message.may_lack_removals() };
    for (const auto &entry : message.changes()) {
        auto change = readChange(entry, delta.to.era);
        if (!change) {
            return Error { "malformed_delta", "the key of an entry does not match its value" };
        }
        delta.changes.push_back(std::move(*change));
    }
    return delta;
}

} // namespace banyanwall::wire
