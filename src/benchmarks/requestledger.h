#pragma once

#include "common/time.h"
#include "common/verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyanwall::benchmarks {

/// Numbers of requests of one run by result.
struct RequestTally
{
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    /// Requests whose caller got no verdict at all.
    std::uint64_t noVerdict = 0;
    /// Non-repeatable requests that ran more than once.
    std::uint64_t wrongRuns = 0;
    /// Requests with the verdict "not run" that ran nevertheless, before or after the verdict.
    std::uint64_t falseNotRun = 0;
    /// Non-repeatable requests among those in falseNotRun.
    std::uint64_t falseNotRunNonRepeatable = 0;
    /// Answers whose length is not that of the answer of the request.
    std::uint64_t incompleteAnswers = 0;
    /// Answers with parts of another request or of several runs of the same request.
    std::uint64_t mixedAnswers = 0;
};

/// Records what upstreams ran and which verdicts and answers callers got, to compare the two.
class RequestLedger
{
public:
    /// Returns the id of the new request; ids count from 0.
    std::uint64_t add(bool repeatable);
    void onRun(std::uint64_t id);
    /// Only the first verdict counts; the caller acts on it.
    void onVerdict(std::uint64_t id, common::Verdict verdict);
    void onAnswer(std::uint64_t id, const std::string &payload);

    [[nodiscard]] bool hasVerdict(std::uint64_t id) const;
    [[nodiscard]] bool isRepeatable(std::uint64_t id) const;
    [[nodiscard]] RequestTally tally() const;

    [[nodiscard]] std::uint64_t completed() const { return m_tally.completed; }

    /// The answer that a given run of a request produces.
    [[nodiscard]] static std::string answerOf(std::uint64_t id, std::uint64_t run);

private:
    struct Entry
    {
        bool repeatable = false;
        std::uint32_t runs = 0;
        std::optional<common::Verdict> verdict;
    };

    std::vector<Entry> m_entries;
    RequestTally m_tally;
};

} // namespace banyanwall::benchmarks
