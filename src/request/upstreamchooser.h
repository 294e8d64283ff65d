#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "version/roster.h"

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace banyanwall::request {

/// Chooses the upstream of a dispatch: the less loaded of two randomly drawn Active ones.
///
/// The load of an upstream is the reported load plus the dispatches of this instance in progress.
/// After a denied slot or a refused dispatch, the upstream counts as more loaded than any other for
/// AvoidAfterDenial or AvoidAfterRefusal.
class UpstreamChooser
{
public:
    /// About one usual latency, after which a slot of the upstream is likely free again.
    static constexpr common::Duration AvoidAfterDenial = std::chrono::milliseconds(50);
    /// Covers the time until the rosters of all instances list the upstream as draining.
    static constexpr common::Duration AvoidAfterRefusal = std::chrono::seconds(1);

    explicit UpstreamChooser(std::uint64_t seed);

    /// False when the roster is older than the known one.
    bool applyRoster(const version::ServiceRoster &roster);
    [[nodiscard]] const version::ServiceRoster *roster(common::ServiceId service) const;
    [[nodiscard]] bool isActive(common::ServiceId service, common::UpstreamId upstream) const;
    [[nodiscard]] std::size_t activeCount(common::ServiceId service) const;

    void setReportedLoad(common::UpstreamId upstream, std::uint32_t load);
    void onDispatched(common::UpstreamId upstream);
    void onSlotReleased(common::UpstreamId upstream);
    void avoid(common::UpstreamId upstream, common::TimePoint until);

    /// Empty when every Active upstream is excluded.
    [[nodiscard]] std::optional<common::UpstreamId>
    choose(common::ServiceId service, const std::vector<common::UpstreamId> &excluded,
           common::TimePoint now);
    /// Random duration between half of full and full.
    [[nodiscard]] common::Duration jittered(common::Duration full);

private:
    struct Service
    {
        version::ServiceRoster roster;
        /// Active upstreams with a share above zero.
        std::vector<version::RosterUpstream> active;
    };

    struct Load
    {
        std::uint32_t reported = 0;
        std::uint32_t ownDispatches = 0;
        common::TimePoint avoidUntil;
    };

    [[nodiscard]] std::optional<common::UpstreamId>
    drawByShare(const Service &service, const std::vector<common::UpstreamId> &excluded);
    /// Any upstream that is not excluded, regardless of shares.
    [[nodiscard]] std::optional<common::UpstreamId>
    drawAny(const Service &service, const std::vector<common::UpstreamId> &excluded);
    [[nodiscard]] std::uint64_t comparedLoad(common::UpstreamId upstream,
                                             common::TimePoint now) const;

    std::mt19937_64 m_random;
    std::unordered_map<common::ServiceId, Service> m_services;
    std::unordered_map<common::UpstreamId, Load> m_loads;
};

} // namespace banyanwall::request
