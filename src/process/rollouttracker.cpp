#include "process/rollouttracker.h"

#include "version/catalogue.h"

namespace banyanwall::process {

using version::Catalogue;

RolloutTracker::RolloutTracker(common::InstanceId self)
    : m_self(self)
{ }

void RolloutTracker::onKnown(const std::string &subject, std::uint64_t version,
                             common::TimePoint now)
{
    const auto key = Catalogue::keyHash(subject);
    m_rollouts[key].onAnnounced(version, now);
    auto &spread = m_spread[{ key, m_self }];
    if (version > spread.version) {
        spread = { version, Repetitions };
    }
}

void RolloutTracker::onAcknowledged(const wire::proto::DocumentVersion &acknowledgement)
{
    const common::InstanceId member(acknowledgement.instance());
    if (member == m_self) {
        return;
    }
    m_rollouts[acknowledgement.key_hash()].onAcknowledged(member, acknowledgement.version());
    auto &spread = m_spread[{ acknowledgement.key_hash(), member }];
    if (acknowledgement.version() > spread.version) {
        spread = { acknowledgement.version(), Repetitions };
    }
}

std::vector<wire::proto::DocumentVersion> RolloutTracker::takeAcknowledgements()
{
    std::vector<wire::proto::DocumentVersion> taken;
    for (auto &[subject, spread] : m_spread) {
        if (spread.left == 0) {
            continue;
        }
        --spread.left;
        wire::proto::DocumentVersion acknowledgement;
        acknowledgement.set_key_hash(subject.first);
        acknowledgement.set_instance(subject.second.value());
        acknowledgement.set_version(spread.version);
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

bool RolloutTracker::allKnow(const std::string &subject,
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
