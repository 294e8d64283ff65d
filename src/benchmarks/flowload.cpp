#include "benchmarks/flowload.h"

#include "common/hash.h"

#include <algorithm>
#include <cmath>

namespace banyanwall::benchmarks {

using common::Duration;
using common::TimePoint;
using connection::FlowPacket;
using std::chrono::milliseconds;

namespace {

const common::ServiceId Service { 1 };
const common::Endpoint FeedAddress { 0xc6120001, 443 };
const common::Endpoint SubmissionAddress { 0xc6120001, 8443 };

// Times of the users' platform.
constexpr Duration CallerDelay = milliseconds(3);
constexpr Duration UpstreamDelay = std::chrono::microseconds(500);
constexpr Duration FirstRepeat = milliseconds(200);
constexpr Duration SecondOpening = milliseconds(600);
constexpr Duration OpeningTimeout = milliseconds(1'400);
constexpr Duration FeedAim = milliseconds(200);
constexpr Duration FeedTimeout = milliseconds(1'200);
constexpr Duration SubmissionAim = milliseconds(250);
constexpr Duration SubmissionTimeout = milliseconds(1'500);
constexpr Duration EntryLife = milliseconds(2'600);
constexpr Duration ReportInterval = milliseconds(20);
constexpr double FeedWorkMs = 40.0;
constexpr double SubmissionWorkMs = 52.0;
constexpr double WorkSpread = 0.5;
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

double FlowLoadResult::goodput() const
{
    return share(inTime);
}

double FlowLoadResult::share(std::uint64_t part) const
{
    return asked == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(asked);
}

Duration FlowLoadResult::percentile(double part)
{
    if (latencies.empty()) {
        return {};
    }
    const auto index = static_cast<std::size_t>(part * static_cast<double>(latencies.size() - 1));
    std::ranges::nth_element(latencies, latencies.begin() + static_cast<std::ptrdiff_t>(index));
    return latencies[index];
}

/// A feed keeps its flow; a submission has one of its own.
struct FlowLoad::Caller
{
    common::Endpoint endpoint;
    int zone = 0;
    bool isFeed = false;
    bool isOpen = false;
    bool isAsking = false;
    int upstream = -1;
    std::uint32_t sent = 1'000;
    std::uint32_t received = 5'000;
};

/// One request with its tries.
struct FlowLoad::Attempt
{
    std::shared_ptr<Caller> caller;
    TimePoint askedAt;
    Duration work;
    int retries = 0;
    /// Events of a former try are ignored.
    int tries = 0;
    bool isDone = false;
    bool isRunning = false;
};

FlowLoad::FlowLoad(const ChoiceKind &kind, const FlowLoadSizes &sizes, std::uint32_t seed)
    : m_sizes(sizes)
    , m_random(seed)
    , m_start(m_events.now())
    , m_cutZones(static_cast<std::size_t>(sizes.zones), false)
{
    version::DirectoryDelta delta { {}, common::StoreRevision(1), true };
    for (int index = 0; index < sizes.upstreams; ++index) {
        const auto number = static_cast<std::uint32_t>(index);
        version::UpstreamRecord record { .serial = common::UpstreamSerial(number + 1),
                                         .service = Service,
                                         .endpoint = { 0x0a800000U + number, 8080 },
                                         .zone = zoneId(index % sizes.zones),
                                         .slots = sizes.slots };
        delta.changes.push_back(entryOf(record, 1));
        m_upstreams.push_back(std::make_unique<FlowUpstreamFake>(m_events, record));
    }
    const version::RulesRecord rules {
        .version = 1,
        .routes = { { FeedAddress, { { Service, 1 } }, true },
                    { SubmissionAddress, { { Service, 1 } }, false } },
        .services = { { .service = Service } }
    };
    delta.changes.push_back(entryOf(rules, 1));
    const auto instances = sizes.zones * sizes.instancesOfAZone;
    for (int index = 0; index < instances; ++index) {
        m_instances.push_back(std::make_unique<FlowBalancer>(
                kind, zoneId(index / sizes.instancesOfAZone), static_cast<std::uint64_t>(index) + 1,
                static_cast<std::uint32_t>(instances),
                static_cast<std::uint32_t>(sizes.instancesOfAZone - 1)));
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
    exchangeReports();
    m_events.runUntil(m_start + m_sizes.duration);
    return m_result;
}

void FlowLoad::setSlowness(int upstream, double factor)
{
    m_upstreams.at(static_cast<std::size_t>(upstream))->setSlowness(factor);
}

void FlowLoad::setMuteEvery(int upstream, std::uint32_t count)
{
    m_upstreams.at(static_cast<std::size_t>(upstream))->setMuteEvery(count);
}

void FlowLoad::crash(int upstream)
{
    auto &fake = *m_upstreams.at(static_cast<std::size_t>(upstream));
    fake.setSilent(true);
    m_events.after(EntryLife, [this, &fake] {
        if (fake.isSilent()) {
            publish({ version::keyOf(fake.record()), {}, version::RemovedRecord {} });
        }
    });
}

void FlowLoad::restart(int upstream)
{
    auto &fake = *m_upstreams.at(static_cast<std::size_t>(upstream));
    fake.setSilent(false);
    publish({ version::keyOf(fake.record()), {}, fake.record() });
}

std::uint64_t FlowLoad::openings(int upstream) const
{
    return m_upstreams.at(static_cast<std::size_t>(upstream))->openings();
}

std::size_t FlowLoad::wronglySuspected()
{
    std::size_t pairs = 0;
    for (auto &instance : m_instances) {
        pairs += static_cast<std::size_t>(std::ranges::count_if(m_upstreams, [&](const auto &fake) {
            return !fake->isSilent() && instance->suspects(fake->record().serial, m_events.now());
        }));
    }
    return pairs;
}

void FlowLoad::cutZone(int zone, bool isCut)
{
    m_cutZones.at(static_cast<std::size_t>(zone)) = isCut;
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
        caller->zone = feed % m_sizes.zones;
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
    if (!caller->isAsking) {
        ask(caller);
    }
    std::uniform_int_distribution<int> pause(800, 1'200);
    m_events.after(milliseconds(pause(m_random)), [this, caller] { scheduleFeed(caller); });
}

void FlowLoad::scheduleSubmission()
{
    std::exponential_distribution<double> gap(m_sizes.submissions);
    const auto pause = std::chrono::duration<double>(gap(m_random));
    m_events.after(std::chrono::duration_cast<Duration>(pause), [this] {
        auto caller = std::make_shared<Caller>();
        caller->zone = static_cast<int>(m_nextCaller) % m_sizes.zones;
        caller->endpoint = { 0x64400000U + m_nextCaller++, 1'024 };
        ask(caller);
        scheduleSubmission();
    });
}

void FlowLoad::ask(const std::shared_ptr<Caller> &caller)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->caller = caller;
    caller->isAsking = true;
    attempt->askedAt = m_events.now();
    attempt->work = drawWork(caller->isFeed);
    ++m_result.asked;
    m_events.after(caller->isFeed ? FeedTimeout : SubmissionTimeout, [this, attempt] {
        if (!attempt->isDone) {
            // A caller that gave up opens a new flow for its next request.
            attempt->caller->isOpen = false;
            finish(attempt, false);
        }
    });
    if (caller->isOpen) {
        sendRequest(attempt, FirstRepeat);
    } else {
        open(attempt);
    }
}

void FlowLoad::open(const std::shared_ptr<Attempt> &attempt)
{
    auto &caller = *attempt->caller;
    caller.isOpen = false;
    ++caller.endpoint.port;
    caller.sent = 1'000;
    caller.received = 5'000;
    const auto tries = ++attempt->tries;
    const auto opened = [this, attempt, tries](std::uint32_t copy) {
        if (!attempt->isDone && attempt->tries == tries && !attempt->caller->isOpen) {
            sendOpening(attempt, copy);
        }
    };
    opened(0);
    m_events.after(FirstRepeat, [opened] { opened(1); });
    m_events.after(SecondOpening, [opened] { opened(2); });
    m_events.after(OpeningTimeout, [this, attempt, tries] {
        if (!attempt->isDone && attempt->tries == tries && !attempt->caller->isOpen) {
            retry(attempt);
        }
    });
}

void FlowLoad::sendOpening(const std::shared_ptr<Attempt> &attempt, std::uint32_t copy)
{
    const auto tries = attempt->tries;
    m_events.after(CallerDelay, [this, attempt, copy, tries] {
        auto packet = packetOf(*attempt->caller);
        packet.opens = true;
        packet.acknowledges = false;
        packet.acknowledgement = copy;
        packet.token = {};
        const auto instance = instanceOf(*attempt->caller);
        const auto verdict = m_instances[instance]->handle(packet, m_events.now());
        if (std::holds_alternative<connection::ResetFlow>(verdict)) {
            m_events.after(CallerDelay, [this, attempt] { retry(attempt); });
        }
        const auto *forward = std::get_if<connection::ForwardPacket>(&verdict);
        if (forward == nullptr) {
            return;
        }
        const auto upstream = indexOf(forward->serial);
        auto &fake = *m_upstreams[static_cast<std::size_t>(upstream)];
        fake.countOpening();
        if (fake.isSilent() || !isReached(instance, upstream) || isLost()) {
            return;
        }
        m_events.after(UpstreamDelay + CallerDelay, [this, attempt, upstream, tries] {
            if (!attempt->isDone && attempt->tries == tries && !attempt->caller->isOpen) {
                onOpened(attempt, upstream);
            }
        });
    });
}

void FlowLoad::onOpened(const std::shared_ptr<Attempt> &attempt, int upstream)
{
    auto &caller = *attempt->caller;
    caller.isOpen = true;
    caller.upstream = upstream;
    auto acknowledgement = packetOf(caller);
    m_instances[instanceOf(caller)]->handle(acknowledgement, m_events.now() + CallerDelay);
    sendRequest(attempt, FirstRepeat);
}

void FlowLoad::sendRequest(const std::shared_ptr<Attempt> &attempt, Duration repeatAfter)
{
    const auto tries = attempt->tries;
    m_events.after(repeatAfter, [this, attempt, tries, repeatAfter] {
        const bool isWaiting = !attempt->isDone && attempt->tries == tries && !attempt->isRunning;
        if (isWaiting && attempt->caller->isOpen) {
            sendRequest(attempt, repeatAfter * 2);
        }
    });
    m_events.after(CallerDelay, [this, attempt, tries] {
        if (attempt->isDone || attempt->tries != tries || !attempt->caller->isOpen) {
            return;
        }
        auto packet = packetOf(*attempt->caller);
        packet.payloadBytes = RequestBytes;
        m_sent[packet.caller] = attempt;
        const auto instance = instanceOf(*attempt->caller);
        const auto verdict = m_instances[instance]->handle(packet, m_events.now());
        if (std::holds_alternative<connection::ResetFlow>(verdict)) {
            m_events.after(CallerDelay, [this, attempt] { onReset(attempt); });
            return;
        }
        const auto upstream = attempt->caller->upstream;
        auto &fake = *m_upstreams[static_cast<std::size_t>(upstream)];
        const bool isForwarded = std::holds_alternative<connection::ForwardPacket>(verdict);
        if (!isForwarded || fake.isSilent() || !isReached(instance, upstream) || attempt->isRunning
            || isLost()) {
            return;
        }
        // The upstream acknowledges the request: the caller repeats it no more.
        attempt->isRunning = true;
        m_events.after(UpstreamDelay, [this, attempt, &fake, tries] {
            fake.serve(attempt->work, [this, attempt, tries](bool accepted) {
                if (attempt->tries == tries) {
                    onAnswer(attempt, accepted);
                }
            });
        });
    });
}

void FlowLoad::onAnswer(const std::shared_ptr<Attempt> &attempt, bool accepted)
{
    m_events.after(CallerDelay, [this, attempt, accepted] {
        if (attempt->isDone) {
            return;
        }
        auto &caller = *attempt->caller;
        attempt->isRunning = false;
        // A rejection is an answer, too.
        caller.sent += RequestBytes;
        caller.received += AnswerBytes;
        m_instances[instanceOf(caller)]->handle(packetOf(caller), m_events.now() + CallerDelay);
        if (accepted) {
            finish(attempt, true);
        } else {
            retry(attempt);
        }
    });
}

void FlowLoad::onReset(const std::shared_ptr<Attempt> &attempt)
{
    const auto &caller = *attempt->caller;
    const auto &fake = *m_upstreams[static_cast<std::size_t>(caller.upstream)];
    if (!fake.isSilent() && isReached(instanceOf(caller), caller.upstream)) {
        ++m_result.wrongResets;
    }
    retry(attempt);
}

void FlowLoad::retry(const std::shared_ptr<Attempt> &attempt)
{
    attempt->caller->isOpen = false;
    attempt->isRunning = false;
    if (attempt->isDone || attempt->retries >= MaxRetries) {
        finish(attempt, false);
        return;
    }
    ++attempt->retries;
    open(attempt);
}

void FlowLoad::finish(const std::shared_ptr<Attempt> &attempt, bool succeeded)
{
    if (attempt->isDone) {
        return;
    }
    attempt->isDone = true;
    attempt->caller->isAsking = false;
    const auto time = m_events.now() - attempt->askedAt;
    if (!succeeded) {
        ++m_result.failed;
        return;
    }
    m_result.latencies.push_back(time);
    const auto aim = attempt->caller->isFeed ? FeedAim : SubmissionAim;
    ++(time <= aim ? m_result.inTime : m_result.late);
}

std::size_t FlowLoad::instanceOf(const Caller &caller) const
{
    const auto hash = common::hashPair(std::hash<common::Endpoint> {}(caller.endpoint), 7);
    const auto perZone = static_cast<std::uint64_t>(m_sizes.instancesOfAZone);
    return static_cast<std::size_t>(static_cast<std::uint64_t>(caller.zone) * perZone
                                    + hash % perZone);
}

bool FlowLoad::isReached(std::size_t instance, int upstream) const
{
    const auto from = instance / static_cast<std::size_t>(m_sizes.instancesOfAZone);
    const auto to = static_cast<std::size_t>(upstream % m_sizes.zones);
    return from == to || (!m_cutZones[from] && !m_cutZones[to]);
}

bool FlowLoad::isLost()
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
             .sequence = caller.sent,
             .acknowledgement = caller.received,
             .acknowledges = true };
}

Duration FlowLoad::drawWork(bool isFeed)
{
    const auto mean = isFeed ? FeedWorkMs : SubmissionWorkMs;
    const auto sigma = std::sqrt(std::log(1.0 + WorkSpread * WorkSpread));
    std::lognormal_distribution<double> work(std::log(mean) - sigma * sigma / 2, sigma);
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(work(m_random)));
}

void FlowLoad::publish(const version::DirectoryChange &change)
{
    const common::StoreRevision from(m_revision);
    ++m_revision;
    auto dated = change;
    dated.revision = common::StoreRevision(m_revision);
    for (auto &instance : m_instances) {
        instance->update({ from, dated.revision, false, { dated } }, m_events.now());
    }
}

void FlowLoad::exchangeReports()
{
    const auto perZone = static_cast<std::size_t>(m_sizes.instancesOfAZone);
    for (std::size_t from = 0; from < m_instances.size(); ++from) {
        const auto reports = m_instances[from]->takeHealthReport(m_events.now());
        if (reports.isEmpty()) {
            continue;
        }
        const auto first = from / perZone * perZone;
        for (auto to = first; to < first + perZone; ++to) {
            if (to != from) {
                const auto objections = m_instances[to]->onReports(reports, m_events.now());
                m_instances[from]->onReports(objections, m_events.now());
            }
        }
    }
    deliverResets();
    m_events.after(ReportInterval, [this] { exchangeReports(); });
}

void FlowLoad::deliverResets()
{
    for (auto &instance : m_instances) {
        for (const auto &packet : instance->takeFlowsToReset(m_events.now())) {
            const auto attempt = m_sent[packet.caller].lock();
            if (attempt && !attempt->isDone && attempt->caller->endpoint == packet.caller) {
                m_events.after(CallerDelay, [this, attempt] { onReset(attempt); });
            }
        }
    }
}

} // namespace banyanwall::benchmarks
