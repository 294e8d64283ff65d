#include "process/documentapplier.h"

#include "common/hash.h"
#include "process/logging.h"
#include "version/contractparser.h"
#include "version/settledtableplan.h"

#include <algorithm>

namespace banyanwall::process {

using common::TimePoint;
using wire::proto::Document;

namespace {

/// The low 32 bits of a roster version are the zone version.
constexpr std::uint64_t ZoneVersionMask = 0xffffffffU;

std::optional<std::uint64_t> versionOf(const std::string &key, const std::string &value)
{
    if (key.starts_with(version::ContractKeyPrefix)) {
        const auto parsed = version::parseContractDocument(value);
        return common::isOk(parsed) ? std::optional(common::valueOf(parsed).version) : std::nullopt;
    }
    if (key == version::ZonesKey) {
        const auto parsed = version::parseZoneStates(value);
        return common::isOk(parsed) ? std::optional(common::valueOf(parsed).version) : std::nullopt;
    }
    wire::proto::SettledMap settled;
    if (key.starts_with(SettledKeyPrefix) && settled.ParseFromString(value)) {
        return settled.revision();
    }
    return std::nullopt;
}

bool reject(const Document &document, const std::string &problem)
{
    LogEvent(LogLevel::Error, "document_rejected")
            .with("key", document.key())
            .with("version", document.version())
            .with("problem", problem);
    return false;
}

} // namespace

DocumentApplier::DocumentApplier(Parts parts)
    : m_parts(parts)
{ }

std::string DocumentApplier::rosterSubject(const std::string &customer)
{
    return "roster/" + customer;
}

std::string DocumentApplier::settledSubject(const std::string &customer)
{
    return std::string(SettledKeyPrefix) + customer;
}

std::optional<Document> DocumentApplier::documentOf(const std::string &key,
                                                    const std::string &value)
{
    const auto version = versionOf(key, value);
    if (!version) {
        return std::nullopt;
    }
    Document document;
    document.set_key(key);
    document.set_version(*version);
    document.set_value(value);
    return document;
}

bool DocumentApplier::apply(const Document &document, TimePoint now)
{
    const auto &key = document.key();
    if (key.starts_with(version::ContractKeyPrefix)) {
        return applyContract(document, now);
    }
    if (key == version::ZonesKey) {
        return applyZones(document, now);
    }
    return key.starts_with(SettledKeyPrefix) && applySettled(document, now);
}

bool DocumentApplier::applyContract(const Document &document, TimePoint now)
{
    const auto customer = document.key().substr(version::ContractKeyPrefix.size());
    auto parsed = version::parseContractDocument(document.value());
    if (!common::isOk(parsed)) {
        return reject(document, common::errorOf(parsed).message);
    }
    auto contractDocument = common::valueOf(std::move(parsed));
    auto contract = version::parseContract(contractDocument.toml, document.key());
    if (!common::isOk(contract)) {
        return reject(document, common::errorOf(contract).message);
    }
    m_contracts[customer] = { common::valueOf(std::move(contract)), std::move(contractDocument) };
    m_customers[customer].name = customer;
    publishRosters(customer, now);
    return true;
}

bool DocumentApplier::applyZones(const Document &document, TimePoint now)
{
    auto parsed = version::parseZoneStates(document.value());
    if (!common::isOk(parsed)) {
        return reject(document, common::errorOf(parsed).message);
    }
    m_zones = common::valueOf(std::move(parsed));
    for (const auto &[customer, contract] : m_contracts) {
        publishRosters(customer, now);
    }
    return true;
}

bool DocumentApplier::applySettled(const Document &document, TimePoint now)
{
    wire::proto::SettledMap settled;
    if (!settled.ParseFromString(document.value())) {
        return reject(document, "the value is not a settled map");
    }
    const auto customer = document.key().substr(SettledKeyPrefix.size());
    for (const auto &service : settled.services()) {
        const auto table = version::fromProto(service, common::SettledRevision(settled.revision()));
        if (!table) {
            return reject(document,
                          "settled table with a wrong number of buckets or an unknown upstream");
        }
        m_parts.router.applySettled(common::ServiceId(service.service()), *table, now);
    }
    m_customers[customer].name = customer;
    m_parts.rollouts.onVersionKnown(settledSubject(customer), settled.revision(), now);
    m_customers[customer].settled = std::move(settled);
    return true;
}

void DocumentApplier::publishRosters(const std::string &customer, TimePoint now)
{
    const auto &known = m_contracts.at(customer);
    const auto rosters = version::buildRosters(known.contract, known.document.version,
                                               known.document.drainedUpstreams, m_zones);
    auto &state = m_customers[customer];
    state.rosterVersion = version::rosterVersionOf(known.document.version, m_zones.version);
    state.services.clear();
    state.rostersChanged = true;
    m_parts.directory.applyRosters(common::idFromName<common::CustomerId>(customer), rosters);
    for (const auto &roster : rosters) {
        state.services.push_back(roster.service);
        m_parts.router.applyRoster(roster, now);
        m_parts.coordinator.applyRoster(roster);
    }
    m_parts.rollouts.onVersionKnown(rosterSubject(customer), state.rosterVersion.value(), now);
    LogEvent(LogLevel::Info, "roster_known")
            .with("customer", customer)
            .with("contract_version", known.document.version)
            .with("zone_version", m_zones.version);
}

void DocumentApplier::advance(const std::vector<common::InstanceId> &live, TimePoint now)
{
    for (auto &[customer, state] : m_customers) {
        const common::RosterVersion inForce(
                m_parts.rollouts.inForce(rosterSubject(customer), live, now));
        const bool changed = inForce > state.inForce || state.rostersChanged;
        if (inForce > state.inForce) {
            state.inForce = inForce;
            LogEvent(LogLevel::Info, "roster_in_force")
                    .with("customer", customer)
                    .with("version", inForce.value());
        }
        const common::SettledRevision settled(state.settled.revision());
        const bool isAcknowledgedByAll = settled > state.settledAcknowledged
                && m_parts.rollouts.isKnownByAll(settledSubject(customer), live);
        for (const auto service : state.services) {
            if (changed) {
                m_parts.router.setInForce(service, state.inForce);
            }
            if (isAcknowledgedByAll) {
                m_parts.router.setSettledAcknowledged(service, settled);
            }
        }
        state.rostersChanged = false;
        state.settledAcknowledged = isAcknowledgedByAll ? settled : state.settledAcknowledged;
    }
}

std::uint64_t DocumentApplier::versionInForce(const std::string &key) const
{
    if (key == version::ZonesKey) {
        auto oldest = m_zones.version;
        for (const auto &[customer, state] : m_customers) {
            oldest = std::min(oldest, state.inForce.value() & ZoneVersionMask);
        }
        return oldest;
    }
    const auto customer = m_customers.find(key.substr(key.find('/') + 1));
    if (customer == m_customers.end()) {
        return 0;
    }
    return key.starts_with(SettledKeyPrefix) ? customer->second.settledAcknowledged.value()
                                             : customer->second.inForce.value() >> 32U;
}

bool DocumentApplier::isZoneWithdrawn(const std::string &zone) const
{
    return std::ranges::any_of(m_zones.zones, [&](const version::ZoneState &state) {
        return state.name == zone && state.withdrawn;
    });
}

} // namespace banyanwall::process
