#include "process/rollouttracker.h"

#include "version/catalogue.h"

namespace banyanwall::process {

using version::Catalogue;

RolloutTracker::RolloutTracker(common::InstanceId self)
    : m_self(self)
{ }

void RolloutTracker::onVersionKnown(const std::string &subject, std::uint64_t version,
                                    common::TimePoint now)
{
    const auto key = Catalogue::keyHash(subject);
    m_rollouts[key].onAnnounced(version, now);
    auto &pending = m_pending[{ key, m_self }];
    if (version > pending.version) {
        pending = { version, HeartbeatsPerAcknowledgement };
    }
}

void RolloutTracker::onAcknowledged(const wire::proto::DocumentVersion &acknowledgement)
{
    const common::InstanceId member(acknowledgement.instance());
    if (member == m_self) {
        return;
    }
    m_rollouts[acknowledgement.key_hash()].onAcknowledged(member, acknowledgement.version());
    auto &pending = m_pending[{ acknowledgement.key_hash(), member }];
    if (acknowledgement.version() > pending.version) {
        pending = { acknowledgement.version(), HeartbeatsPerAcknowledgement };
    }
}

std::vector<wire::proto::DocumentVersion> RolloutTracker::takeAcknowledgements()
{
    std::vector<wire::proto::DocumentVersion> taken;
    for (auto &[subjectAndInstance, pending] : m_pending) {
        if (pending.remainingHeartbeats == 0) {
            continue;
        }
        --pending.remainingHeartbeats;
        wire::proto::DocumentVersion acknowledgement;
        acknowledgement.set_key_hash(subjectAndInstance.first);
        acknowledgement.set_instance(subjectAndInstance.second.value());
        acknowledgement.set_version(pending.version);
        taken.push_back(acknowledgement);
    }
    return taken;
}

std::uint64_t RolloutTracker::inForce(const std::string &subject,
                                      const std::vector<common::InstanceId> &live,
                                      common::TimePoint now)
{
    return m_rollouts[Catalogue::keyHash(subject)].inForce(live, now);
}

bool RolloutTracker::isKnownByAll(const std::string &subject,
                                  const std::vector<common::InstanceId> &live) const
{
    const auto rollout = m_rollouts.find(Catalogue::keyHash(subject));
    return rollout != m_rollouts.end() && rollout->second.missing(live).empty();
}

std::uint64_t RolloutTracker::newest(const std::string &subject) const
{
    const auto rollout = m_rollouts.find(Catalogue::keyHash(subject));
    return rollout == m_rollouts.end() ? 0 : rollout->second.newestAnnounced();
}

} // namespace banyanwall::process
