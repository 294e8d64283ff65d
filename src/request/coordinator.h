#pragma once

#include "common/ids.h"
#include "common/reason.h"
#include "common/time.h"
#include "common/verdict.h"
#include "connection/upstreamowner.h"
#include "version/roster.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace banyanwall::request {

/// A request as received by its coordinator. All transmissions of a request have the same key,
/// issue time and deadline.
struct RequestArrival
{
    common::RequestKey key;
    common::ServiceId service;
    std::uint64_t requestId = 0;
    bool repeatable = false;
    std::uint32_t transmission = 0;
    common::WallTime issued;
    common::WallTime deadline;
    std::string payload;
    /// Opaque header by which answers are routed back to the caller.
    std::string returnToken;
};

/// One fragment of an upstream's answer.
struct AnswerFragment
{
    common::RequestKey key;
    common::AttemptNumber attempt;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    /// common::hashBytes() of the whole payload.
    std::uint64_t checksum = 0;
    std::string payload;
};

enum class DispatchRefusal {
    Shed,
    Deadline,
    Draining,
    WrongService,
    WrongIncarnation,
};

struct RequestSlot
{
    common::ServiceId service;
    common::UpstreamId upstream;
    connection::SlotKey slot;
    /// How long the slot may stay in use without a release.
    common::Duration hold;
};

struct ReleaseSlot
{
    common::ServiceId service;
    common::UpstreamId upstream;
    connection::SlotKey slot;
    connection::SlotOutcome outcome;
    /// Time since the dispatch; zero if the request was not dispatched.
    common::Duration latency;
};

struct DispatchRequest
{
    common::ServiceId service;
    common::UpstreamId upstream;
    connection::SlotKey slot;
    std::uint64_t requestId = 0;
    bool repeatable = false;
    common::WallTime deadline;
    std::string payload;
    std::string returnToken;
};

struct CancelDispatch
{
    common::ServiceId service;
    common::UpstreamId upstream;
    connection::SlotKey slot;
    std::uint64_t requestId = 0;
};

/// The whole answer, to be sent to the caller in one or more fragments.
struct DeliverAnswer
{
    std::uint64_t requestId = 0;
    common::AttemptNumber attempt;
    std::string payload;
    std::string returnToken;
};

struct RefuseRequest
{
    std::uint64_t requestId = 0;
    common::Verdict verdict;
    common::Reason reason;
    std::string returnToken;
};

/// To be counted in the metric of retry reasons.
struct CountRetry
{
    common::Reason reason;
};

/// To be counted in the metric of dropped packets and fragments.
struct CountDrop
{
    common::Reason reason;
};

using RequestAction = std::variant<RequestSlot, ReleaseSlot, DispatchRequest, CancelDispatch,
                                   DeliverAnswer, RefuseRequest, CountRetry, CountDrop>;
using RequestActions = std::vector<RequestAction>;

/// The monotonic and the wall clock, read at the same time.
struct Moment
{
    common::TimePoint now;
    common::WallTime wall;
};

/// What the coordinator may dispatch at present. Issued by LeaseGuard.
struct DispatchPermit
{
    /// Whether non-repeatable requests may be dispatched.
    bool mayDispatchNonRepeatable = false;
    /// Non-repeatable requests must not start later than this.
    common::WallTime latestDeadline;
};

/// Runs the requests whose key hashes to this instance, by the rules of docs/design.md, section 5.
///
/// A verdict is final: a request that has one is never dispatched again, and each duplicate gets
/// the same verdict. A marker of each request is kept until MarkerRetention after its deadline. A
/// slot is held until the upstream answers or refuses, or until twelve usual latencies after the
/// deadline. It is held that long even if the caller already has its verdict, because the upstream
/// may still be running the request. Not thread-safe.
class Coordinator
{
public:
    /// seed determines the choice of upstreams and the attempt numbers. It must differ between
    /// instances and between starts of one instance.
    explicit Coordinator(std::uint64_t seed);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    /// Ignores a roster older than the known one. Only Active upstreams get dispatches.
    void applyRoster(const version::ServiceRoster &roster);
    /// The members changed: another instance may dispatch keys that this instance gained, until
    /// fenceEnd. A non-repeatable request that is unknown here and was issued before fenceEnd gets
    /// MayHaveRun; other requests issued before fenceEnd never get NotRun. To be called at start,
    /// too, and again before fenceEnd if the other instance has renewed its lease in the meantime.
    void setTakeover(common::WallTime takeover, common::WallTime fenceEnd);
    /// The same, only for keys for which isGained returns true. The other keys keep their
    /// coordinator.
    void setTakeover(common::WallTime takeover, common::WallTime fenceEnd,
                     std::function<bool(common::RequestKey)> isGained);
    /// The members changed: keys for which isLost returns true have another coordinator now. It may
    /// run the repeatable ones among the requests in progress here, so these never get NotRun any
    /// more.
    void setKeysLost(const std::function<bool(common::RequestKey)> &isLost);
    /// This instance has no contact with its peers, so a successor may run the repeatable requests
    /// in progress here. The coordinator detects a pause of its own process without this call.
    void onIsolated(common::WallTime now);
    /// A permit that expired and was renewed acts like a takeover of all keys, because a successor
    /// may have dispatched requests in between. Without a valid permit, an unknown request
    /// gets NotRun only if it was issued before the former permit ended.
    void setPermit(const DispatchPermit &permit);
    /// Number of live instances, which share the contract's request rates.
    void setInstances(std::uint32_t instances);
    /// Requests in progress at which customers are limited to equal shares.
    void setInProgressBound(std::size_t bound);
    /// Requests that the upstream is running, as last reported. Only compared between upstreams.
    void setReportedLoad(common::UpstreamId upstream, std::uint32_t load);
    /// Refuses new requests, with NotRun unless another instance may have dispatched them. Requests
    /// in progress continue. If this instance has a successor, the caller of this class relays
    /// unknown requests to the successor instead of passing them to onRequest().
    void beginShutdown();

    [[nodiscard]] RequestActions onRequest(RequestArrival arrival, Moment moment);
    [[nodiscard]] RequestActions onCancel(common::RequestKey key, Moment moment);
    [[nodiscard]] RequestActions onSlotAnswer(connection::SlotKey slot, bool granted,
                                              Moment moment);
    [[nodiscard]] RequestActions onAnswer(AnswerFragment fragment, Moment moment);
    [[nodiscard]] RequestActions onRefusal(connection::SlotKey slot, DispatchRefusal refusal,
                                           Moment moment);
    /// Another instance owns the upstream now. Pending slot requests to the former owner are
    /// abandoned, because the new owner would not know of a grant that arrives late. To be called
    /// before the result of heldSlots() is sent to the new owner.
    [[nodiscard]] RequestActions onOwnerChange(common::UpstreamId upstream, Moment moment);
    /// Handles deadlines and timeouts and removes expired markers. To be called every TickInterval.
    [[nodiscard]] RequestActions onTick(Moment moment);

    /// Whether this instance has a record of the request. It then answers the duplicates, even if
    /// it is no longer the coordinator of the key.
    [[nodiscard]] bool knows(common::RequestKey key) const;
    /// Admitted requests without a verdict.
    [[nodiscard]] std::size_t inProgress() const;
    /// Slots of an upstream that this instance holds, to be reported to a new upstream owner.
    [[nodiscard]] std::vector<connection::SlotKey> heldSlots(common::UpstreamId upstream) const;

    /// Finished requests whose answer or marker is kept.
    [[nodiscard]] std::size_t finishedCount() const;

    static constexpr common::Duration TickInterval = std::chrono::milliseconds(20);
    /// Time from the deadline of a request until its marker may be removed. After it, the
    /// coordinator cannot tell whether an unknown request has run.
    static constexpr common::Duration MarkerRetention = std::chrono::seconds(5);
    /// Total payload bytes of answers that are kept for duplicates. Beyond this, the oldest answers
    /// are dropped and only their markers stay.
    static constexpr std::size_t MaxStoredAnswerBytes = 8U << 20U;
    /// Records of requests. Beyond this, unknown requests are dropped without a verdict, because a
    /// verdict without a marker could turn out to be false.
    static constexpr std::size_t MaxKnownRequests = 250'000;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace banyanwall::request
