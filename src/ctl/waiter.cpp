#include "ctl/waiter.h"

#include "ctl/statuspoller.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace banyanwall::ctl {

struct Waiter::Round
{
    WaitOutcome outcome;
    /// Some instance may still confirm.
    bool open = false;
};

Waiter::Waiter(StoreSession &store, const WaitSettings &settings, Progress progress)
    : m_store(store)
    , m_settings(settings)
    , m_progress(std::move(progress))
{ }

common::Result<WaitOutcome> Waiter::wait(const std::string &key, std::uint64_t version)
{
    const auto end = std::chrono::steady_clock::now() + m_settings.limit;
    for (;;) {
        const auto round = poll(key, version);
        if (!common::isOk(round)) {
            return common::errorOf(round);
        }
        const auto &[outcome, open] = common::valueOf(round);
        report(outcome, key, version);
        if (!open || std::chrono::steady_clock::now() >= end) {
            return outcome;
        }
        pause();
    }
}

common::Result<Waiter::Round> Waiter::poll(const std::string &key, std::uint64_t version)
{
    // The list is read in each round, because instances join and leave. When the store fails in
    // between, the last list is used.
    const auto records = m_store.instances();
    if (common::isOk(records)) {
        m_records = common::valueOf(records);
    } else if (m_records.empty()) {
        return common::errorOf(records);
    }
    std::erase_if(m_records, [](const auto &record) { return record.leaving; });
    Round round;
    round.outcome.instances = m_records.size();
    for (const auto &[record, status] :
         pollInstances(m_store.context(), m_records, m_settings.pollTimeout)) {
        if (!common::isOk(status)) {
            const auto misses = ++m_misses[record.name];
            round.open = round.open || misses < m_settings.unreachableAfter;
            round.outcome.unreachable.push_back(record.name + " " + common::toString(record.admin)
                                                + ": " + common::errorOf(status).message);
            continue;
        }
        m_misses.erase(record.name);
        const auto &documents = common::valueOf(status).documents;
        const auto document = documents.find(key);
        if (document != documents.end() && document->second.inForce >= version) {
            ++round.outcome.inForce;
        } else {
            round.outcome.pending.push_back(record.name);
            round.open = true;
        }
    }
    return round;
}

void Waiter::report(const WaitOutcome &outcome, const std::string &key, std::uint64_t version)
{
    const auto line = key + " version " + std::to_string(version) + ": in force on "
            + std::to_string(outcome.inForce) + " of " + std::to_string(outcome.instances)
            + " instances, " + std::to_string(outcome.unreachable.size()) + " not reached";
    if (line != m_lastLine) {
        m_progress(line);
        m_lastLine = line;
    }
}

void Waiter::pause()
{
    bool elapsed = false;
    boost::asio::steady_timer timer(m_store.context(), m_settings.interval);
    timer.async_wait([&elapsed](const boost::system::error_code &) { elapsed = true; });
    m_store.context().restart();
    while (!elapsed && m_store.context().run_one() > 0) { }
}

} // namespace banyanwall::ctl
