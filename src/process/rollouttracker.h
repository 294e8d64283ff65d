#pragma once

#include "common/ids.h"
#include "common/time.h"
#include "peer.pb.h"
#include "version/rollout.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace banyanwall::process {

/// Roll-outs of rosters and settled maps, and the acknowledgements that travel with heartbeats.
///
/// Each acknowledgement is passed on a few times only, so that heartbeats stay small; what is lost
/// all the same is covered by Rollout::Deadline. Not thread-safe.
class RolloutTracker
{
public:
    /// Heartbeats that carry one acknowledgement.
    static constexpr std::uint32_t Repetitions = 3;

    explicit RolloutTracker(common::InstanceId self);

    /// This instance knows and serves version of subject from now on.
    void onKnown(const std::string &subject, std::uint64_t version, common::TimePoint now);
    void onAcknowledged(const wire::proto::DocumentVersion &acknowledgement);
    /// Acknowledgements for the next heartbeat.
    [[nodiscard]] std::vector<wire::proto::DocumentVersion> takeAcknowledgements();

    /// Newest version of subject in force among the live peers.
    [[nodiscard]] std::uint64_t inForce(const std::string &subject,
                                        const std::vector<common::InstanceId> &live,
                                        common::TimePoint now);
    /// All live peers know the newest version of subject known here; a deadline does not count.
    [[nodiscard]] bool allKnow(const std::string &subject,
                               const std::vector<common::InstanceId> &live) const;
    [[nodiscard]] std::uint64_t newest(const std::string &subject) const;

private:
    struct Spread
    {
        std::uint64_t version = 0;
        std::uint32_t left = 0;
    };

    common::InstanceId m_self;
    std::map<std::uint64_t, version::Rollout> m_rollouts;
    std::map<std::pair<std::uint64_t, common::InstanceId>, Spread> m_spread;
};

} // namespace banyanwall::process
