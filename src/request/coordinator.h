#pragma once

#include "common/ids.h"
#include "common/reason.h"
#include "common/time.h"
#include "common/verdict.h"
#include "connection/upstreamowner.h"
#include "version/roster.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace banyanwall::request {

/// A request as it reached its coordinator.
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

using RequestAction = std::variant<AskSlot, ReleaseSlot, DispatchRequest, CancelDispatch,
                                   DeliverAnswer, RefuseRequest, CountRetry>;
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
/// Not thread-safe.
class Coordinator
{
public:
    /// seed drives the choice of upstreams.
    explicit Coordinator(std::uint64_t seed);
    ~Coordinator();
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    /// Takes the newest roster of a service; only Active upstreams get dispatches.
    void applyRoster(const version::ServiceRoster &roster);
    /// Members changed: keys that this instance gained from another one may have been dispatched by
    /// it until fenceEnd. Requests issued before takeover that are unknown here get MayHaveRun, or
    /// NotRun when transmission and issue time prove that no other instance can have had them.
    void setTakeover(common::WallTime takeover, common::WallTime fenceEnd);
    void setPermit(const DispatchPermit &permit);
    /// Refuses new requests with NotRun; requests in progress go on.
    void beginShutdown();

    [[nodiscard]] RequestActions onRequest(RequestArrival arrival, Moment moment);
    [[nodiscard]] RequestActions onCancel(common::RequestKey key, Moment moment);
    [[nodiscard]] RequestActions onSlotAnswer(connection::SlotKey slot, bool granted,
                                              Moment moment);
    [[nodiscard]] RequestActions onAnswer(AnswerFragment fragment, Moment moment);
    [[nodiscard]] RequestActions onRefusal(connection::SlotKey slot, DispatchRefusal refusal,
                                           Moment moment);
    /// Deadlines, timeouts and forgetting of finished requests; call every TickInterval.
    [[nodiscard]] RequestActions onTick(Moment moment);

    /// Requests that have no final verdict yet.
    [[nodiscard]] std::size_t inProgress() const;
    /// Grants that this instance holds for an upstream, for a new upstream owner.
    [[nodiscard]] std::vector<connection::SlotKey> heldSlots(common::UpstreamId upstream) const;

    static constexpr common::Duration TickInterval = std::chrono::milliseconds(20);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace banyanwall::request
