#include "benchmarks/requestledger.h"

#include "common/hash.h"

#include <algorithm>

namespace banyanwall::benchmarks {

namespace {

constexpr std::size_t WordLength = 9;

std::string wordOf(std::uint64_t run)
{
    auto digits = std::to_string(run);
    digits.insert(0, WordLength - 1 - std::min(digits.size(), WordLength - 1), '0');
    return digits + ' ';
}

} // namespace

std::uint64_t RequestLedger::add(bool repeatable)
{
    m_entries.push_back({ repeatable, 0, std::nullopt });
    return m_entries.size() - 1;
}

void RequestLedger::onRun(std::uint64_t id)
{
    ++m_entries[id].runs;
}

void RequestLedger::onVerdict(std::uint64_t id, common::Verdict verdict)
{
    auto &entry = m_entries[id];
    if (entry.verdict) {
        return;
    }
    entry.verdict = verdict;
    switch (verdict) {
    case common::Verdict::Completed:
        ++m_tally.completed;
        break;
    case common::Verdict::NotRun:
        ++m_tally.notRun;
        break;
    case common::Verdict::MayHaveRun:
        ++m_tally.mayHaveRun;
        break;
    }
}

void RequestLedger::onAnswer(std::uint64_t id, const std::string &payload)
{
    if (m_entries[id].verdict) {
        return;
    }
    onVerdict(id, common::Verdict::Completed);
    const auto run = std::strtoull(payload.substr(0, WordLength).c_str(), nullptr, 10);
    const auto expected = answerOf(id, run);
    if (payload.size() != expected.size()) {
        ++m_tally.incompleteAnswers;
    } else if (payload != expected) {
        ++m_tally.mixedAnswers;
    }
}

bool RequestLedger::hasVerdict(std::uint64_t id) const
{
    return m_entries[id].verdict.has_value();
}

bool RequestLedger::isRepeatable(std::uint64_t id) const
{
    return m_entries[id].repeatable;
}

RequestTally RequestLedger::tally() const
{
    auto tally = m_tally;
    tally.requests = m_entries.size();
    for (const auto &entry : m_entries) {
        tally.noVerdict += entry.verdict ? 0 : 1;
        tally.wrongRuns += !entry.repeatable && entry.runs > 1 ? 1 : 0;
        if (entry.verdict == common::Verdict::NotRun && entry.runs > 0) {
            ++tally.falseNotRun;
            tally.falseNotRunNonRepeatable += entry.repeatable ? 0 : 1;
        }
    }
    return tally;
}

std::string RequestLedger::answerOf(std::uint64_t id, std::uint64_t run)
{
    std::string answer = wordOf(run);
    const auto words = 10 + common::hashPair(id, 1) % 200;
    for (std::uint64_t word = 0; word < words; ++word) {
        answer += wordOf((common::hashPair(id, run) + word) % 100'000'000);
    }
    return answer;
}

} // namespace banyanwall::benchmarks
