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

/// Turns documents of the catalogue into rosters and settled tables, gives them to the parts that
/// route, and follows their roll-out. Not thread-safe; runs on the control thread.
class DocumentApplier
{
public:
    /// References to the parts that take rosters; all outlive the applier.
    struct Parts
    {
        ServiceDirectory &directory;
        connection::FlowRouter &router;
        request::Coordinator &coordinator;
        RolloutTracker &rollouts;
    };

    explicit DocumentApplier(Parts parts);

    /// Version field of a store value; empty when the value cannot be read.
    [[nodiscard]] static std::optional<wire::proto::Document> documentOf(const std::string &key,
                                                                         const std::string &value);
    /// Takes a document that is new in the catalogue. Returns false when its content is invalid.
    bool apply(const wire::proto::Document &document, common::TimePoint now);
    /// Puts versions in force that the live peers have acknowledged.
    void advance(const std::vector<common::InstanceId> &live, common::TimePoint now);

    struct CustomerState
    {
        std::string name;
        common::RosterVersion rosterVersion;
        common::RosterVersion inForce;
        std::vector<common::ServiceId> services;
        wire::proto::SettledMap settled;
        /// Newest settled revision that all live members have acknowledged.
        common::SettledRevision settledByAll;
        /// Rosters have changed since the last call of advance().
        bool rostersChanged = false;
    };

    [[nodiscard]] const std::map<std::string, CustomerState> &customers() const
    {
        return m_customers;
    }

    /// Newest version of a document by which this instance decides; 0 before the first one.
    [[nodiscard]] std::uint64_t inForceOf(const std::string &key) const;

    [[nodiscard]] const version::ZoneStates &zones() const { return m_zones; }

    [[nodiscard]] bool isZoneWithdrawn(const std::string &zone) const;

    [[nodiscard]] static std::string rosterSubject(const std::string &customer);
    [[nodiscard]] static std::string settledSubject(const std::string &customer);

private:
    bool applyContract(const wire::proto::Document &document, common::TimePoint now);
    bool applyZones(const wire::proto::Document &document, common::TimePoint now);
    bool applySettled(const wire::proto::Document &document, common::TimePoint now);
    void publish(const std::string &customer, common::TimePoint now);

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
