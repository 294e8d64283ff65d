#include "ctl/rolloutwaiter.h"

#include "ctl/statuspoller.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace banyanwall::ctl {

struct RolloutWaiter::PollRound
{
    RolloutState rollout;
    /// True when a further poll may find the version in force on another instance.
    bool mayStillConfirm = false;
};

RolloutWaiter::RolloutWaiter(StoreSession &store, const WaitSettings &settings, Progress progress)
    : m_store(store)
    , m_settings(settings)
    , m_progress(std::move(progress))
{ }

common::Result<RolloutState> RolloutWaiter::wait(const std::string &key, std::uint64_t version)
{
    const auto deadline = std::chrono::steady_clock::now() + m_settings.waitLimit;
    for (;;) {
        const auto round = poll(key, version);
        if (!common::isOk(round)) {
            return common::errorOf(round);
        }
        const auto &[rollout, mayStillConfirm] = common::valueOf(round);
        reportProgress(rollout, key, version);
        if (!mayStillConfirm || std::chrono::steady_clock::now() >= deadline) {
            return rollout;
        }
        pause();
    }
}

common::Result<RolloutWaiter::PollRound> RolloutWaiter::poll(const std::string &key,
                                                             std::uint64_t version)
{
    // The list is read before each poll, because instances join and leave. When the store fails,
    // the last list is used.
    const auto records = m_store.instances();
    if (common::isOk(records)) {
        m_records = common::valueOf(records);
    } else if (m_records.empty()) {
        return common::errorOf(records);
    }
    std::erase_if(m_records, [](const auto &record) { return record.leaving; });
    PollRound round;
    round.rollout.instanceCount = m_records.size();
    for (const auto &[record, status] :
         pollInstances(m_store.context(), m_records, m_settings.pollTimeout)) {
        if (!common::isOk(status)) {
            const auto failedPolls = ++m_failedPolls[record.name];
            round.mayStillConfirm =
                    round.mayStillConfirm || failedPolls < m_settings.failedPollsUntilUnreachable;
            round.rollout.unreachable.push_back(record.name + " " + common::toString(record.admin)
                                                + ": " + common::errorOf(status).message);
            continue;
        }
        m_failedPolls.erase(record.name);
        const auto &documents = common::valueOf(status).documents;
        const auto document = documents.find(key);
        if (document != documents.end() && document->second.inForceVersion >= version) {
            ++round.rollout.inForceCount;
        } else {
            round.rollout.pending.push_back(record.name);
            round.mayStillConfirm = true;
        }
    }
    return round;
}

void RolloutWaiter::reportProgress(const RolloutState &rollout, const std::string &key,
                                   std::uint64_t version)
{
    const auto line = key + " version " + std::to_string(version) + ": in force on "
            + std::to_string(rollout.inForceCount) + " of " + std::to_string(rollout.instanceCount)
            + " instances, " + std::to_string(rollout.unreachable.size()) + " not reached";
    if (line != m_lastProgressLine) {
        m_progress(line);
        m_lastProgressLine = line;
    }
}

void RolloutWaiter::pause()
{
    bool elapsed = false;
    boost::asio::steady_timer timer(m_store.context(), m_settings.pollInterval);
    timer.async_wait([&elapsed](const boost::system::error_code &) { elapsed = true; });
    m_store.context().restart();
    while (!elapsed && m_store.context().run_one() > 0) { }
}

} // namespace banyanwall::ctl
