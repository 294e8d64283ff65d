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

/// Chooses the upstream of a dispatch: the better of two random Active ones by load.
///
/// The load of an upstream is the hint from outside plus the dispatches of this instance that are
/// under way. An upstream that has just denied a slot or refused a dispatch loses every comparison
/// for a while.
class UpstreamChooser
{
public:
    /// A denied slot is free again after about one usual answer time.
    static constexpr common::Duration AvoidAfterDenial = std::chrono::milliseconds(50);
    /// Covers the time until a roster names the upstream as draining everywhere.
    static constexpr common::Duration AvoidAfterRefusal = std::chrono::seconds(1);

    explicit UpstreamChooser(std::uint64_t seed);

    /// False when the roster is older than the known one.
    bool applyRoster(const version::ServiceRoster &roster);
    [[nodiscard]] const version::ServiceRoster *roster(common::ServiceId service) const;
    [[nodiscard]] bool isActive(common::ServiceId service, common::UpstreamId upstream) const;
    [[nodiscard]] std::size_t activeCount(common::ServiceId service) const;

    void setLoadHint(common::UpstreamId upstream, std::uint32_t load);
    void onDispatched(common::UpstreamId upstream);
    void onSettled(common::UpstreamId upstream);
    void avoid(common::UpstreamId upstream, common::TimePoint until);

    /// Empty when every Active upstream is excluded.
    [[nodiscard]] std::optional<common::UpstreamId>
    choose(common::ServiceId service, const std::vector<common::UpstreamId> &excluded,
           common::TimePoint now);
    /// Part of full between one half and one, at random.
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
        std::uint32_t hint = 0;
        std::uint32_t own = 0;
        common::TimePoint avoidUntil;
    };

    [[nodiscard]] std::optional<common::UpstreamId>
    draw(const Service &service, const std::vector<common::UpstreamId> &excluded);
    /// Any upstream that is not excluded, without regard to shares.
    [[nodiscard]] std::optional<common::UpstreamId>
    anyOf(const Service &service, const std::vector<common::UpstreamId> &excluded);
    [[nodiscard]] std::uint64_t cost(common::UpstreamId upstream, common::TimePoint now) const;

    std::mt19937_64 m_random;
    std::unordered_map<common::ServiceId, Service> m_services;
    std::unordered_map<common::UpstreamId, Load> m_loads;
};

} // namespace banyanwall::request
