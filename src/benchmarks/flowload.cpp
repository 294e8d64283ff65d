#include "benchmarks/flowload.h"

#include "common/hash.h"

#include <algorithm>

namespace banyanwall::benchmarks {

using common::Duration;
using common::TimePoint;
using connection::FlowPacket;
using std::chrono::milliseconds;

namespace {

const common::ServiceId Service { 1 };
const common::Endpoint FeedAddress { 0xc6120001, 443 };
const common::Endpoint SubmissionAddress { 0xc6120001, 8443 };

// Timeouts and delays of the users' platform. Delays are one way.
constexpr Duration UpstreamDelay = std::chrono::microseconds(500);
constexpr Duration FirstRetransmitDelay = milliseconds(200);
constexpr Duration SecondRetransmitDelay = milliseconds(600);
constexpr Duration OpeningTimeout = milliseconds(1'400);
constexpr Duration FeedLatencyTarget = milliseconds(200);
constexpr Duration FeedTimeout = milliseconds(1'200);
constexpr Duration SubmissionLatencyTarget = milliseconds(250);
constexpr Duration SubmissionTimeout = milliseconds(1'500);
constexpr int MaxRetries = 2;
constexpr std::uint32_t RequestBytes = 200;
constexpr std::uint32_t AnswerBytes = 1'000;

common::ZoneId zoneId(int zone)
{
    return common::ZoneId(static_cast<std::uint32_t>(zone) + 1);
}

version::DirectoryChange entryOf(const auto &record, std::uint64_t revision)
{
    return { version::keyOf(record), common::StoreRevision(revision), record };
}

} // namespace

/// A feed keeps its flow for all its requests; a submission uses a flow for one request only.
struct FlowLoad::Caller
{
    common::Endpoint endpoint;
    int zone = 0;
    bool isFeed = false;
    bool isOpen = false;
    bool hasRequest = false;
    /// Upstream of the open flow; -1 before the first one.
    int upstream = -1;
    std::uint32_t nextSequence = 1'000;
    std::uint32_t receivedSequence = 5'000;
};

/// One request of a caller with its retries.
struct FlowLoad::Request
{
    std::shared_ptr<Caller> caller;
    TimePoint startedAt;
    Duration work;
    int retries = 0;
    /// Number of the current attempt. Events of earlier attempts are ignored.
    int attempt = 0;
    bool isDone = false;
    /// The upstream has acknowledged the request.
    bool isRunning = false;
};

FlowLoad::FlowLoad(const ChoiceKind &kind, const FlowLoadSizes &sizes, std::uint32_t seed)
    : m_sizes(sizes)
    , m_random(seed)
    , m_demand(sizes, m_random)
    , m_start(m_events.now())
    , m_cutZones(static_cast<std::size_t>(sizes.zones), false)
{
    version::DirectoryDelta delta { {}, common::StoreRevision(1), true };
    for (int index = 0; index < sizes.upstreams; ++index) {
        const auto number = static_cast<std::uint32_t>(index);
        version::UpstreamRecord record { .serial = common::UpstreamSerial(number + 1),
                                         .service = Service,
                                         .endpoint = { 0x0a800000U + number, 8080 },
                                         .zone = zoneId(m_demand.zoneOfUpstream(index)),
                                         .slots = sizes.slots };
        delta.changes.push_back(entryOf(record, 1));
        m_upstreams.push_back(std::make_unique<FlowUpstreamFake>(m_events, record));
        m_upstreams.back()->setSlowness(1.0 / m_demand.speedOfUpstream(index));
    }
    const version::RulesRecord rules {
        .version = 1,
        .routes = { { FeedAddress, { { Service, 1 } }, true, { .responseAim = FeedLatencyTarget } },
                    { SubmissionAddress,
                      { { Service, 1 } },
                      false,
                      { .responseAim = SubmissionLatencyTarget } } },
        .services = { { .service = Service } }
    };
    delta.changes.push_back(entryOf(rules, 1));
    const auto instances = sizes.zones * sizes.instancesPerZone;
    for (int index = 0; index < instances; ++index) {
        const auto number = static_cast<std::size_t>(index);
        const auto ownKind = std::holds_alternative<OracleChoice>(kind)
                ? OracleChoice { [this, number] { return soonestUpstream(number); } }
                : kind;
        m_instances.push_back(std::make_unique<FlowBalancer>(
                ownKind, zoneId(index / sizes.instancesPerZone),
                static_cast<std::uint64_t>(index) + 1, static_cast<std::uint32_t>(instances),
                static_cast<std::uint32_t>(sizes.instancesPerZone - 1)));
        m_instances.back()->update(delta, m_events.now());
    }
}

void FlowLoad::at(Duration time, std::function<void()> action)
{
    m_events.after(time, std::move(action));
}

FlowLoadResult FlowLoad::run()
{
    startTraffic();
    exchangeHealthReports();
    exchangeLoadReports();
    m_events.runUntil(m_start + m_sizes.duration);
    return m_result;
}

std::uint64_t FlowLoad::openings(int upstream) const
{
    return m_upstreams.at(static_cast<std::size_t>(upstream))->openings();
}

std::size_t FlowLoad::wronglySuspectedPairs()
{
    std::size_t pairs = 0;
    for (auto &instance : m_instances) {
        pairs += static_cast<std::size_t>(std::ranges::count_if(m_upstreams, [&](const auto &fake) {
            return !fake->isCrashed() && instance->suspects(fake->record().serial, m_events.now());
        }));
    }
    return pairs;
}

void FlowLoad::reconnectAll()
{
    std::ranges::for_each(m_feeds, [](auto &feed) { feed->isOpen = false; });
}

void FlowLoad::startTraffic()
{
    std::uniform_int_distribution<int> firstRequest(0, 999);
    for (int feed = 0; feed < m_sizes.feeds; ++feed) {
        auto caller = std::make_shared<Caller>();
        caller->zone = m_demand.zoneOfFeed(feed);
        caller->isFeed = true;
        caller->endpoint = { 0x64400000U + m_nextCaller++, 1'024 };
        m_feeds.push_back(caller);
        m_events.after(milliseconds(firstRequest(m_random)),
                       [this, caller] { scheduleFeed(caller); });
    }
    scheduleSubmission();
}

void FlowLoad::scheduleFeed(const std::shared_ptr<Caller> &caller)
{
    // A flow carries one request at a time.
    if (!caller->hasRequest) {
        startRequest(caller);
    }
    std::uniform_int_distribution<int> pause(800, 1'200);
    m_events.after(milliseconds(pause(m_random)), [this, caller] { scheduleFeed(caller); });
}

void FlowLoad::scheduleSubmission()
{
    m_events.after(m_demand.drawGap(), [this] {
        const auto zone = m_demand.drawZone(m_nextCaller, m_events.now() - m_start);
        if (zone) {
            auto caller = std::make_shared<Caller>();
            caller->zone = *zone;
            caller->endpoint = { 0x64400000U + m_nextCaller++, 1'024 };
            startRequest(caller);
        }
        scheduleSubmission();
    });
}

void FlowLoad::startRequest(const std::shared_ptr<Caller> &caller)
{
    auto request = std::make_shared<Request>();
    request->caller = caller;
    caller->hasRequest = true;
    request->startedAt = m_events.now();
    request->work = m_demand.drawWork(caller->isFeed);
    ++m_result.requests;
    m_events.after(caller->isFeed ? FeedTimeout : SubmissionTimeout, [this, request] {
        if (!request->isDone) {
            // After a timeout, the caller opens a new flow for its next request.
            request->caller->isOpen = false;
            finish(request, false);
        }
    });
    if (caller->isOpen) {
        sendRequest(request, FirstRetransmitDelay);
    } else {
        open(request);
    }
}

void FlowLoad::open(const std::shared_ptr<Request> &request)
{
    auto &caller = *request->caller;
    caller.isOpen = false;
    ++caller.endpoint.port;
    caller.nextSequence = 1'000;
    caller.receivedSequence = 5'000;
    const auto attempt = ++request->attempt;
    const auto transmitIfNotOpen = [this, request, attempt](std::uint32_t transmission) {
        if (!request->isDone && request->attempt == attempt && !request->caller->isOpen) {
            sendOpening(request, transmission);
        }
    };
    transmitIfNotOpen(0);
    m_events.after(FirstRetransmitDelay, [transmitIfNotOpen] { transmitIfNotOpen(1); });
    m_events.after(SecondRetransmitDelay, [transmitIfNotOpen] { transmitIfNotOpen(2); });
    m_events.after(OpeningTimeout, [this, request, attempt] {
        if (!request->isDone && request->attempt == attempt && !request->caller->isOpen) {
            retry(request);
        }
    });
}

void FlowLoad::sendOpening(const std::shared_ptr<Request> &request, std::uint32_t transmission)
{
    const auto attempt = request->attempt;
    m_events.after(CallerDelay, [this, request, transmission, attempt] {
        auto packet = packetOf(*request->caller);
        packet.opens = true;
        packet.acknowledges = false;
        packet.acknowledgement = transmission;
        packet.token = {};
        const auto instance = instanceOf(*request->caller);
        const auto verdict = m_instances[instance]->handle(packet, m_events.now());
        if (std::holds_alternative<connection::ResetFlow>(verdict)) {
            m_events.after(CallerDelay, [this, request] { retry(request); });
        }
        const auto *forward = std::get_if<connection::ForwardPacket>(&verdict);
        if (forward == nullptr) {
            return;
        }
        const auto upstream = indexOf(forward->serial);
        auto &fake = *m_upstreams[static_cast<std::size_t>(upstream)];
        fake.countOpening();
        countFeedFlow(*request->caller, upstream);
        if (fake.isCrashed() || !canReach(instance, upstream) || drawLoss()) {
            return;
        }
        m_events.after(UpstreamDelay + CallerDelay, [this, request, upstream, attempt] {
            if (!request->isDone && request->attempt == attempt && !request->caller->isOpen) {
                onOpened(request, upstream);
            }
        });
    });
}

void FlowLoad::onOpened(const std::shared_ptr<Request> &request, int upstream)
{
    auto &caller = *request->caller;
    caller.isOpen = true;
    caller.upstream = upstream;
    auto acknowledgement = packetOf(caller);
    m_instances[instanceOf(caller)]->handle(acknowledgement, m_events.now() + CallerDelay);
    sendRequest(request, FirstRetransmitDelay);
}

void FlowLoad::sendRequest(const std::shared_ptr<Request> &request, Duration retransmitAfter)
{
    const auto attempt = request->attempt;
    m_events.after(retransmitAfter, [this, request, attempt, retransmitAfter] {
        const bool isWaiting =
                !request->isDone && request->attempt == attempt && !request->isRunning;
        if (isWaiting && request->caller->isOpen) {
            sendRequest(request, retransmitAfter * 2);
        }
    });
    m_events.after(CallerDelay, [this, request, attempt] {
        if (request->isDone || request->attempt != attempt || !request->caller->isOpen) {
            return;
        }
        auto packet = packetOf(*request->caller);
        packet.payloadBytes = RequestBytes;
        m_requestsByCaller[packet.caller] = request;
        const auto instance = instanceOf(*request->caller);
        const auto verdict = m_instances[instance]->handle(packet, m_events.now());
        if (std::holds_alternative<connection::ResetFlow>(verdict)) {
            m_events.after(CallerDelay, [this, request] { onReset(request); });
            return;
        }
        const auto upstream = request->caller->upstream;
        auto &fake = *m_upstreams[static_cast<std::size_t>(upstream)];
        const bool isForwarded = std::holds_alternative<connection::ForwardPacket>(verdict);
        if (!isForwarded || fake.isCrashed() || !canReach(instance, upstream) || request->isRunning
            || drawLoss()) {
            return;
        }
        // The upstream acknowledges the request, so the caller stops its retransmissions.
        request->isRunning = true;
        m_events.after(UpstreamDelay, [this, request, &fake, attempt] {
            fake.serve(request->work, [this, request, attempt](bool accepted) {
                if (request->attempt == attempt) {
                    onAnswer(request, accepted);
                }
            });
        });
    });
}

void FlowLoad::onAnswer(const std::shared_ptr<Request> &request, bool accepted)
{
    m_events.after(CallerDelay, [this, request, accepted] {
        if (request->isDone) {
            return;
        }
        auto &caller = *request->caller;
        request->isRunning = false;
        // A rejection is also sent as an answer, so the sequence numbers advance.
        caller.nextSequence += RequestBytes;
        caller.receivedSequence += AnswerBytes;
        m_instances[instanceOf(caller)]->handle(packetOf(caller), m_events.now() + CallerDelay);
        if (accepted) {
            finish(request, true);
        } else {
            retry(request);
        }
    });
}

void FlowLoad::onReset(const std::shared_ptr<Request> &request)
{
    const auto &caller = *request->caller;
    const auto &fake = *m_upstreams[static_cast<std::size_t>(caller.upstream)];
    if (!fake.isCrashed() && canReach(instanceOf(caller), caller.upstream)) {
        ++m_result.wrongResets;
    }
    retry(request);
}

void FlowLoad::retry(const std::shared_ptr<Request> &request)
{
    request->caller->isOpen = false;
    request->isRunning = false;
    if (request->isDone || request->retries >= MaxRetries) {
        finish(request, false);
        return;
    }
    ++request->retries;
    open(request);
}

void FlowLoad::finish(const std::shared_ptr<Request> &request, bool succeeded)
{
    if (request->isDone) {
        return;
    }
    request->isDone = true;
    request->caller->hasRequest = false;
    const auto time = m_events.now() - request->startedAt;
    if (!succeeded) {
        ++m_result.failed;
        return;
    }
    m_result.latencies.push_back(time);
    const auto latencyTarget =
            request->caller->isFeed ? FeedLatencyTarget : SubmissionLatencyTarget;
    ++(time <= latencyTarget ? m_result.inTime : m_result.late);
}

std::size_t FlowLoad::instanceOf(const Caller &caller) const
{
    const auto hash = common::hashPair(std::hash<common::Endpoint> {}(caller.endpoint), 7);
    const auto perZone = static_cast<std::uint64_t>(m_sizes.instancesPerZone);
    return static_cast<std::size_t>(static_cast<std::uint64_t>(caller.zone) * perZone
                                    + hash % perZone);
}

bool FlowLoad::canReach(std::size_t instance, int upstream) const
{
    const auto from = instance / static_cast<std::size_t>(m_sizes.instancesPerZone);
    const auto to = static_cast<std::size_t>(m_demand.zoneOfUpstream(upstream));
    return from == to || (!m_cutZones[from] && !m_cutZones[to]);
}

void FlowLoad::countFeedFlow(const Caller &caller, int upstream)
{
    if (!caller.isFeed) {
        return;
    }
    if (caller.upstream >= 0) {
        m_upstreams[static_cast<std::size_t>(caller.upstream)]->addBusySlots(
                -FlowDemand::busySlotsOfFeed());
    }
    m_upstreams[static_cast<std::size_t>(upstream)]->addBusySlots(FlowDemand::busySlotsOfFeed());
}

const version::UpstreamRecord *FlowLoad::soonestUpstream(std::size_t instance) const
{
    const FlowUpstreamFake *soonest = nullptr;
    auto soonestTime = Duration::max();
    for (int index = 0; index < m_sizes.upstreams; ++index) {
        const auto &fake = *m_upstreams[static_cast<std::size_t>(index)];
        const auto time = fake.expectedTime(m_demand.meanWork());
        if (!fake.isCrashed() && canReach(instance, index) && time < soonestTime) {
            soonest = &fake;
            soonestTime = time;
        }
    }
    return soonest == nullptr ? nullptr : &soonest->record();
}

bool FlowLoad::drawLoss()
{
    return m_sizes.loss > 0.0 && std::bernoulli_distribution(m_sizes.loss)(m_random);
}

int FlowLoad::indexOf(common::UpstreamSerial serial) const
{
    return static_cast<int>(serial.value()) - 1;
}

FlowPacket FlowLoad::packetOf(const Caller &caller) const
{
    const auto token = caller.upstream < 0
            ? common::FlowToken()
            : connection::tokenOf(
                    m_upstreams[static_cast<std::size_t>(caller.upstream)]->record().serial);
    return { .caller = caller.endpoint,
             .service = caller.isFeed ? FeedAddress : SubmissionAddress,
             .token = token,
             .sequence = caller.nextSequence,
             .acknowledgement = caller.receivedSequence,
             .acknowledges = true };
}

void FlowLoad::publish(const version::DirectoryChange &change)
{
    const common::StoreRevision from(m_revision);
    ++m_revision;
    auto newChange = change;
    newChange.position = common::StoreRevision(m_revision);
    for (auto &instance : m_instances) {
        instance->update({ from, newChange.position, false, { newChange } }, m_events.now());
    }
}

void FlowLoad::deliverResets()
{
    for (auto &instance : m_instances) {
        for (const auto &packet : instance->takeFlowsToReset(m_events.now())) {
            const auto request = m_requestsByCaller[packet.caller].lock();
            if (request && !request->isDone && request->caller->endpoint == packet.caller) {
                m_events.after(CallerDelay, [this, request] { onReset(request); });
            }
        }
    }
}

} // namespace banyanwall::benchmarks
