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

/// Tracks the roll-outs of rosters and settled maps, and disseminates the acknowledgements of all
/// instances with the heartbeats. A subject names what is rolled out:
/// DocumentApplier::rosterSubject() or settledSubject().
///
/// An instance puts each acknowledgement, its own or a received one, into a few heartbeats only, so
/// that heartbeats stay small. If an acknowledgement is lost in spite of that, Rollout::Deadline
/// ends the roll-out. Not thread-safe.
class RolloutTracker
{
public:
    static constexpr std::uint32_t HeartbeatsPerAcknowledgement = 3;

    explicit RolloutTracker(common::InstanceId self);

    /// This instance has applied version of subject and uses it from now on.
    void onVersionKnown(const std::string &subject, std::uint64_t version, common::TimePoint now);
    void onAcknowledged(const wire::proto::DocumentVersion &acknowledgement);
    /// Returns the acknowledgements for the next heartbeat and counts that heartbeat.
    [[nodiscard]] std::vector<wire::proto::DocumentVersion> takeAcknowledgements();

    /// Newest version of subject that is in force; see version::Rollout.
    [[nodiscard]] std::uint64_t inForce(const std::string &subject,
                                        const std::vector<common::InstanceId> &live,
                                        common::TimePoint now);
    /// All live peers have acknowledged the newest version of subject known here. Unlike in
    /// inForce(), a passed deadline does not replace an acknowledgement.
    [[nodiscard]] bool isKnownByAll(const std::string &subject,
                                    const std::vector<common::InstanceId> &live) const;
    /// Newest version of subject known here; 0 when there is none.
    [[nodiscard]] std::uint64_t newest(const std::string &subject) const;

private:
    struct PendingAcknowledgement
    {
        std::uint64_t version = 0;
        std::uint32_t remainingHeartbeats = 0;
    };

    common::InstanceId m_self;
    /// By hash of the subject.
    std::map<std::uint64_t, version::Rollout> m_rollouts;
    /// Newest acknowledgement of each subject and instance.
    std::map<std::pair<std::uint64_t, common::InstanceId>, PendingAcknowledgement> m_pending;
};

} // namespace banyanwall::process
