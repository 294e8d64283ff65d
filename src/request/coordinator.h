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

/// A request as it reached its coordinator. All transmissions of a request have the same key, issue
/// time and deadline.
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
    /// Opaque header that leads answers back to the caller.
    std::string returnToken;
};

/// One fragment of an upstream's answer.
struct AnswerFragment
{
    common::RequestKey key;
    common::AttemptNumber attempt;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    /// Hash of the whole payload, common::hashBytes.
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

struct AskSlot
{
    common::ServiceId service;
    common::UpstreamId upstream;
    connection::SlotKey slot;
    common::Duration hold;
};

struct ReleaseSlot
{
    common::ServiceId service;
    common::UpstreamId upstream;
    connection::SlotKey slot;
    connection::SlotOutcome outcome;
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

/// For the counter of retry reasons.
struct CountRetry
{
    common::Reason reason;
};

/// For the counter of dropped packets and fragments.
struct CountDrop
{
    common::Reason reason;
};

using RequestAction = std::variant<AskSlot, ReleaseSlot, DispatchRequest, CancelDispatch,
                                   DeliverAnswer, RefuseRequest, CountRetry, CountDrop>;
using RequestActions = std::vector<RequestAction>;

/// Both clocks at one moment.
struct Moment
{
    common::TimePoint now;
    common::WallTime wall;
};

/// What the coordinator may do at a moment, from the lease guard.
struct DispatchPermit
{
    /// Non-repeatable requests may be dispatched.
    bool fenced = false;
    /// Dispatches must not start later than this.
    common::WallTime latestDeadline;
};

/// Runs the requests whose key hashes to this instance, by the rules of docs/design.md, section 5.
///
/// A verdict is final: once a request has one, it is never dispatched again, and a duplicate gets
/// the same verdict. A marker of each request stays until ForgetAfter past its deadline. A slot is
/// held until the upstream answers or refuses, or twelve usual answer times past the deadline, also
/// when the caller has its verdict already, because the upstream may still be running the request.
/// Not thread-safe.
class Coordinator
{
public:
    /// seed drives the choice of upstreams and the attempt numbers; it must differ between
    /// instances and between starts of one instance.
    explicit Coordinator(std::uint64_t seed);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    /// Takes the newest roster of a service; only Active upstreams get dispatches.
    void applyRoster(const version::ServiceRoster &roster);
    /// Members changed: keys that this instance gained from another one may be dispatched by it
    /// until fenceEnd. A non-repeatable request that is unknown here and was issued before fenceEnd
    /// gets MayHaveRun; other requests of that age never get NotRun. Call it at start, too, and
    /// again before fenceEnd when the other instance has renewed its lease in the meantime.
    void setTakeover(common::WallTime takeover, common::WallTime fenceEnd);
    /// The same for the keys that gained selects; the other keys keep their coordinator.
    void setTakeover(common::WallTime takeover, common::WallTime fenceEnd,
                     std::function<bool(common::RequestKey)> gained);
    /// Members changed: keys that lost selects have another coordinator now, which may run the
    /// repeatable ones among the requests in progress here. They never get NotRun any more.
    void setKeysLost(const std::function<bool(common::RequestKey)> &lost);
    /// This instance is out of contact with its peers, so that a successor may run the repeatable
    /// requests it has. The coordinator notices a pause of the process by itself.
    void noteIsolation(common::WallTime now);
    /// A permit that lapsed and came back acts like a takeover of all keys, because a successor may
    /// have dispatched requests in between. Without a valid permit an unknown request gets NotRun
    /// only when it was issued before the former permit ended.
    void setPermit(const DispatchPermit &permit);
    /// Number of live instances, which share the contract's request rates.
    void setInstances(std::uint32_t instances);
    /// Requests in progress at which customers are limited to equal shares.
    void setInProgressBound(std::size_t bound);
    /// Requests that an upstream is running, as last heard; only compared with other upstreams.
    void setLoadHint(common::UpstreamId upstream, std::uint32_t load);
    /// Refuses new requests with NotRun; requests in progress go on. An instance that has a
    /// successor relays requests it does not know to it instead of passing them to onRequest().
    void beginShutdown();

    [[nodiscard]] RequestActions onRequest(RequestArrival arrival, Moment moment);
    [[nodiscard]] RequestActions onCancel(common::RequestKey key, Moment moment);
    [[nodiscard]] RequestActions onSlotAnswer(connection::SlotKey slot, bool granted,
                                              Moment moment);
    [[nodiscard]] RequestActions onAnswer(AnswerFragment fragment, Moment moment);
    [[nodiscard]] RequestActions onRefusal(connection::SlotKey slot, DispatchRefusal refusal,
                                           Moment moment);
    /// Another instance owns the upstream now. Asks under way are abandoned, since a late grant of
    /// the former owner is unknown to the new one; call it before heldSlots() is reported.
    [[nodiscard]] RequestActions onOwnerChange(common::UpstreamId upstream, Moment moment);
    /// Deadlines, timeouts and forgetting of finished requests; call every TickInterval.
    [[nodiscard]] RequestActions onTick(Moment moment);

    /// The request has been here. The instance that knows a request answers its duplicates, also
    /// when it is no longer the coordinator of the key.
    [[nodiscard]] bool knows(common::RequestKey key) const;
    /// Requests that have no final verdict yet.
    [[nodiscard]] std::size_t inProgress() const;
    /// Grants that this instance holds for an upstream, for a new upstream owner.
    [[nodiscard]] std::vector<connection::SlotKey> heldSlots(common::UpstreamId upstream) const;

    /// Finished requests whose answer or marker is kept.
    [[nodiscard]] std::size_t remembered() const;

    static constexpr common::Duration TickInterval = std::chrono::milliseconds(20);
    /// A request that is unknown after this time past its deadline may have been forgotten.
    static constexpr common::Duration ForgetAfter = std::chrono::seconds(5);
    /// Finished answers kept for duplicates; older answers leave only a marker.
    static constexpr std::size_t MaxStoredBytes = 8U << 20U;
    /// Known requests; beyond this, unknown ones are dropped without a verdict, because a verdict
    /// without a marker could become untrue.
    static constexpr std::size_t MaxKnown = 250'000;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace banyanwall::request
