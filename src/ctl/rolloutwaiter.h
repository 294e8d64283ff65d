#pragma once

#include "ctl/output.h"
#include "ctl/storesession.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace banyanwall::ctl {

struct WaitSettings
{
    /// Time from the start of the wait until it ends without all instances confirmed.
    std::chrono::milliseconds waitLimit { 30'000 };
    /// Time between the end of one poll of all instances and the start of the next.
    std::chrono::milliseconds pollInterval { 250 };
    /// Time for one /status request.
    std::chrono::milliseconds pollTimeout { 1'000 };
    /// Consecutive failed polls after which an instance counts as unreachable, so that wait() no
    /// longer waits for it.
    std::uint32_t failedPollsUntilUnreachable = 3;
};

/// State of the roll-out of one document version to all registered instances that are not leaving.
struct RolloutState
{
    std::size_t instanceCount = 0;
    /// Instances where this version or a later one is in force.
    std::size_t inForceCount = 0;
    /// Reachable instances where the version is not in force. wait() returns some only after the
    /// wait limit.
    std::vector<std::string> pending;
    /// Instances whose last poll failed, as "name ip:port: reason".
    std::vector<std::string> unreachable;

    [[nodiscard]] bool isComplete() const { return pending.empty() && unreachable.empty(); }
};

/// Polls /status of all instances until a document version is in force on every instance that can
/// be reached, or until the wait limit. Calls progress with a line of text whenever the counts
/// change.
class RolloutWaiter
{
public:
    using Progress = std::function<void(const std::string &)>;

    RolloutWaiter(StoreSession &store, const WaitSettings &settings, Progress progress);

    /// Returns the state at the last poll. Error when the store fails before the first list of
    /// instances was read.
    [[nodiscard]] common::Result<RolloutState> wait(const std::string &key, std::uint64_t version);

private:
    struct PollRound;

    [[nodiscard]] common::Result<PollRound> poll(const std::string &key, std::uint64_t version);
    void reportProgress(const RolloutState &rollout, const std::string &key, std::uint64_t version);
    void pause();

    StoreSession &m_store;
    WaitSettings m_settings;
    Progress m_progress;
    std::string m_lastProgressLine;
    /// Last list of instances that the store returned.
    std::vector<version::InstanceRecord> m_records;
    /// Consecutive failed polls by instance name.
    std::map<std::string, std::uint32_t> m_failedPolls;
};

} // namespace banyanwall::ctl
