#pragma once

#include "connection/flowrouter.h"
#include "process/rollouttracker.h"
#include "process/servicedirectory.h"
#include "request/coordinator.h"
#include "version/catalogue.h"
#include "version/documents.h"
#include "version/rosterbuilder.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace banyanwall::process {

inline constexpr std::string_view SettledKeyPrefix = "settled/";

/// Builds rosters and settled tables from the documents of the catalogue, passes them to the parts
/// that route flows and requests, and tracks the roll-out of each version. Not thread-safe; runs on
/// the control thread.
class DocumentApplier
{
public:
    /// The parts that get the rosters and settled tables; all outlive the applier.
    struct Parts
    {
        ServiceDirectory &directory;
        connection::FlowRouter &router;
        request::Coordinator &coordinator;
        RolloutTracker &rollouts;
    };

    explicit DocumentApplier(Parts parts);

    /// Document for a store value, with the version that the value contains; empty when the value
    /// cannot be parsed.
    [[nodiscard]] static std::optional<wire::proto::Document> documentOf(const std::string &key,
                                                                         const std::string &value);
    /// Applies a document that is new in the catalogue. Returns false when its content is invalid.
    bool apply(const wire::proto::Document &document, common::TimePoint now);
    /// Puts into force the roster versions that all live peers have acknowledged or whose roll-out
    /// deadline has passed, and reports acknowledged settled revisions to the router.
    void advance(const std::vector<common::InstanceId> &live, common::TimePoint now);

    struct CustomerState
    {
        std::string name;
        common::RosterVersion rosterVersion;
        common::RosterVersion inForce;
        std::vector<common::ServiceId> services;
        wire::proto::SettledMap settled;
        /// Newest settled revision that all live members have acknowledged.
        common::SettledRevision settledAcknowledged;
        /// The rosters have changed since the last call of advance().
        bool rostersChanged = false;
    };

    [[nodiscard]] const std::map<std::string, CustomerState> &customers() const
    {
        return m_customers;
    }

    /// Newest version of a document that is in force on this instance; 0 when none is in force yet.
    /// For a settled map, the newest revision that all live members have acknowledged. For the zone
    /// states, the oldest version over all customers.
    [[nodiscard]] std::uint64_t versionInForce(const std::string &key) const;

    [[nodiscard]] const version::ZoneStates &zones() const { return m_zones; }

    [[nodiscard]] bool isZoneWithdrawn(const std::string &zone) const;

    [[nodiscard]] static std::string rosterSubject(const std::string &customer);
    [[nodiscard]] static std::string settledSubject(const std::string &customer);

private:
    bool applyContract(const wire::proto::Document &document, common::TimePoint now);
    bool applyZones(const wire::proto::Document &document, common::TimePoint now);
    bool applySettled(const wire::proto::Document &document, common::TimePoint now);
    /// Rebuilds the customer's rosters from the contract and the zone states and passes them on.
    void publishRosters(const std::string &customer, common::TimePoint now);

    struct KnownContract
    {
        version::Contract contract;
        version::ContractDocument document;
    };

    Parts m_parts;
    version::ZoneStates m_zones;
    std::map<std::string, KnownContract> m_contracts;
    std::map<std::string, CustomerState> m_customers;
};

} // namespace banyanwall::process
