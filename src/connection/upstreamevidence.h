#pragma once

#include "common/time.h"
#include "connection/loadreport.h"

namespace banyanwall::connection {

/// Response times of one upstream, as logarithms of their ratio to the usual time, from the answers
/// to own callers and from reports of other instances. Not thread-safe.
class UpstreamEvidence
{
public:
    /// An answer to an own caller; logRatio is its time divided by the usual one, as a logarithm.
    void addAnswer(double logRatio);
    /// Answers to callers of another instance.
    void addReported(const ReportedUpstream &row);
    void decay(common::Duration elapsed);

    /// Natural logarithm of the slowness; zero without any answers.
    [[nodiscard]] double logSlowness() const;
    /// Whether so little is left that it can be dropped.
    [[nodiscard]] bool isNegligible() const;

    /// How much the zone learns from a row with the unreported answers; zero for nothing.
    [[nodiscard]] double reportValue() const;
    /// Adds the unreported answers to a row, if there are any.
    void writeTo(ReportedUpstream &row) const;
    /// The row was sent.
    void markReported();

private:
    struct Answers
    {
        double logSum = 0.0;
        /// Number of answers; old ones count less, and many count like eight.
        double weight = 0.0;

        [[nodiscard]] Answers operator+(const Answers &other) const;
        [[nodiscard]] Answers operator*(double factor) const;
        /// With few answers, an upstream counts as rather usual than slow.
        [[nodiscard]] double logSlowness() const;
    };

    /// What the zone knows: answers in reports of others, and own ones that were reported.
    Answers m_known;
    /// Recent own answers that were not reported.
    Answers m_fresh;
    /// Older own answers that were not reported.
    Answers m_kept;
};

} // namespace banyanwall::connection
