#pragma once

#include "connection/openingadmission.h"

#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace banyanwall::tests {

/// Callers, instances and upstreams of one service in a loop without a network. Instances learn the
/// demand with a lag, and upstreams shed what does not fit into their queue.
class AdmissionLoad
{
public:
    struct Kind
    {
        std::uint32_t priority = 0;
        /// Part of the offered work.
        double part = 1.0;
        common::Duration work {};
        common::Duration responseAim {};
        common::Duration timeBudget {};
        /// Requests that a caller sends on one flow, with a pause after each answer.
        int requestsPerFlow = 1;
        common::Duration pause {};
    };

    struct Options
    {
        std::vector<Kind> kinds {};
        std::size_t instances = 20;
        std::size_t upstreams = 40;
        std::size_t zones = 4;
        std::uint32_t slots = 2;
        std::uint32_t queueLength = 4;
        int retries = 2;
        /// Time until the first retry; twice as long before the second one.
        common::Duration backoff = std::chrono::milliseconds(100);
        common::Duration figureLag = std::chrono::milliseconds(400);
        /// The measured demand is a mean over this time.
        common::Duration demandWindow = std::chrono::seconds(1);
        std::uint32_t seed = 1;
        /// Without admission, each opening goes to an upstream.
        bool hasAdmission = true;
    };

    struct Count
    {
        std::uint64_t offered = 0;
        std::uint64_t inAim = 0;
        std::uint64_t late = 0;
        /// Tries that the instances refused.
        std::uint64_t refusals = 0;
        /// Tries that upstreams shed.
        std::uint64_t shed = 0;

        [[nodiscard]] double inAimShare() const
        {
            return offered == 0 ? 1.0 : static_cast<double>(inAim) / static_cast<double>(offered);
        }
    };

    struct Upstream
    {
        std::size_t zone = 0;
        double slowness = 1.0;
        bool isUsable = true;
        std::vector<common::TimePoint> slotFreeAt {};
        /// Start times of queued requests.
        std::deque<common::TimePoint> queued {};
    };

    struct Instance
    {
        connection::OpeningAdmission admission {};
        bool isRunning = true;
        /// Whether the instance hears the reports of others.
        bool hasFigures = true;
        connection::RoomObservation room {};
    };

    explicit AdmissionLoad(Options options);

    /// Plays callers for this long who bring the given multiple of the room that there was at the
    /// start. Returns the number of the period, for counts().
    std::size_t play(common::Duration duration, double load);

    /// Counts by kind of the requests that were first sent in the period.
    [[nodiscard]] const std::vector<Count> &counts(std::size_t period) const
    {
        return m_counts[period];
    }

    /// Answered within the aim, as a share of the offered work of a period.
    [[nodiscard]] double goodput(std::size_t period) const;
    [[nodiscard]] std::uint64_t refusals(std::size_t period) const;
    /// Refused tries of all periods until now.
    [[nodiscard]] std::uint64_t refusedTries() const;
    [[nodiscard]] double room() const;

    std::vector<Upstream> upstreams;
    std::vector<Instance> instances;
    common::TimePoint now { std::chrono::seconds(100) };
    /// Smallest and largest share of the last priority at any running instance, in the second half
    /// of the last play().
    double minShare = 1.0;
    double maxShare = 0.0;
    /// Mean of all of these shares.
    double meanShare = 1.0;

    static constexpr common::ServiceId Service { 1 };

private:
    struct Request
    {
        std::size_t kind = 0;
        std::uint64_t caller = 0;
        common::TimePoint firstAt {};
        common::Duration work {};
        int tries = 0;
        std::size_t period = 0;
        /// Requests that follow on the same flow.
        int left = 0;
    };

    struct Event
    {
        common::TimePoint at;
        std::function<void()> run;

        bool operator<(const Event &other) const { return at > other.at; }
    };

    void schedule(common::TimePoint at, std::function<void()> run);
    void runUntil(common::TimePoint end);
    void send(Request request);
    void open(const Request &request, Instance &instance);
    /// Sends a request on an open flow.
    void serve(const Request &request, Instance &instance, Upstream &upstream);
    void sendNext(const Request &request, Instance &instance, Upstream &upstream);
    [[nodiscard]] common::Duration drawWork(const Kind &kind);
    void retry(Request request);
    Upstream *choose();
    void updateFigures();

    Count &countOf(const Request &request) { return m_counts[request.period][request.kind]; }

    Options m_options;
    std::mt19937 m_random;
    std::priority_queue<Event> m_events;
    /// Work in seconds that was admitted at a time, for the measured demand.
    std::deque<std::pair<common::TimePoint, double>> m_admittedWork;
    std::deque<std::pair<common::TimePoint, double>> m_demands;
    std::vector<std::vector<Count>> m_counts;
    common::TimePoint m_nextUpdate;
    common::TimePoint m_watchSharesFrom;
    double m_shareSum = 0.0;
    std::size_t m_shareCount = 0;
    double m_roomAtStart = 0.0;
};

} // namespace banyanwall::tests
