#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "version/roster.h"

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyanwall::process {

struct UpstreamEntry
{
    common::ServiceId service;
    common::ZoneId zone;
    common::Endpoint address;
    version::UpstreamState state = version::UpstreamState::Active;
    /// Zero until the upstream's owner has learned the incarnation.
    common::Incarnation incarnation;
    /// The upstream did not respond to several health probes of its owner in a row.
    bool isLost = false;
};

/// Immutable snapshot of the services and upstreams of all known contracts.
struct DirectoryView
{
    std::unordered_map<common::ServiceId, std::shared_ptr<const version::ServiceRoster>> services;
    std::unordered_map<common::Endpoint, common::ServiceId> serviceByAddress;
    std::unordered_map<common::UpstreamId, UpstreamEntry> upstreams;
    /// Unambiguous, because upstreams of different services never share an address.
    std::unordered_map<common::Endpoint, common::UpstreamId> upstreamByAddress;

    [[nodiscard]] std::optional<common::ServiceId> serviceAt(common::Endpoint address) const;
    [[nodiscard]] const UpstreamEntry *upstream(common::UpstreamId id) const;
    [[nodiscard]] std::optional<common::UpstreamId> upstreamAt(common::Endpoint address) const;
};

/// Publishes snapshots of the services and upstreams. Thread-safe.
class ServiceDirectory
{
public:
    ServiceDirectory();

    /// Replaces all services of the customer.
    void applyRosters(common::CustomerId customer,
                      const std::vector<version::ServiceRoster> &rosters);
    /// Returns true when incarnation or isLost differs from the known state of the upstream.
    bool setUpstreamState(common::UpstreamId upstream, common::Incarnation incarnation,
                          bool isLost);

    [[nodiscard]] std::shared_ptr<const DirectoryView> view() const;

private:
    struct UpstreamCondition
    {
        common::Incarnation incarnation;
        bool isLost = false;
    };

    [[nodiscard]] std::shared_ptr<const DirectoryView> build() const;

    mutable std::mutex m_mutex;
    std::shared_ptr<const DirectoryView> m_view;
    std::unordered_map<common::CustomerId, std::vector<version::ServiceRoster>> m_rosters;
    std::unordered_map<common::UpstreamId, UpstreamCondition> m_conditions;
};

} // namespace banyanwall::process
