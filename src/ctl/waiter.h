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
    std::chrono::milliseconds limit { 30'000 };
    std::chrono::milliseconds interval { 250 };
    std::chrono::milliseconds pollTimeout { 1'000 };
    /// Polls in a row without an answer after which an instance counts as unreachable.
    std::uint32_t unreachableAfter = 3;
};

/// State of a roll-out over all registered instances that are not leaving.
struct WaitOutcome
{
    std::size_t instances = 0;
    std::size_t inForce = 0;
    /// Reachable instances where the version is not in force; only after a time-out.
    std::vector<std::string> pending;
    /// "name ip:port: reason".
    std::vector<std::string> unreachable;

    [[nodiscard]] bool isComplete() const { return pending.empty() && unreachable.empty(); }
};

/// Waits until a document version is in force on every instance that can be reached. progress gets
/// a line whenever the counts change.
class Waiter
{
public:
    using Progress = std::function<void(const std::string &)>;

    Waiter(StoreSession &store, const WaitSettings &settings, Progress progress);

    [[nodiscard]] common::Result<WaitOutcome> wait(const std::string &key, std::uint64_t version);

private:
    struct Round;

    [[nodiscard]] common::Result<Round> poll(const std::string &key, std::uint64_t version);
    void report(const WaitOutcome &outcome, const std::string &key, std::uint64_t version);
    void pause();

    StoreSession &m_store;
    WaitSettings m_settings;
    Progress m_progress;
    std::string m_lastLine;
    std::vector<version::InstanceRecord> m_records;
    std::map<std::string, std::uint32_t> m_misses;
};

} // namespace banyanwall::ctl
