#include "admissionload.h"

#include "common/hash.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace banyanwall::tests {

using common::Duration;
using common::TimePoint;

namespace {

constexpr std::chrono::milliseconds UpdateInterval { 200 };
constexpr std::uint64_t CallerCount = 400;
// A few requests take a multiple of the usual work.
constexpr double HeavyShare = 0.02;
constexpr double HeavyFactor = 7.0;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

} // namespace

AdmissionLoad::AdmissionLoad(Options options)
    : upstreams(options.upstreams)
    , instances(options.instances)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_nextUpdate(now)
{
    for (std::size_t number = 0; number < upstreams.size(); ++number) {
        upstreams[number].zone = number % m_options.zones;
        upstreams[number].slotFreeAt.resize(m_options.slots);
    }
    m_roomAtStart = room();
}

std::size_t AdmissionLoad::play(Duration duration, double load)
{
    m_counts.emplace_back(m_options.kinds.size());
    const auto end = now + duration;
    m_watchSharesFrom = now + duration / 2;
    minShare = 1.0;
    maxShare = 0.0;
    m_shareSum = 0.0;
    m_shareCount = 0;
    for (std::size_t kind = 0; kind < m_options.kinds.size(); ++kind) {
        const auto &options = m_options.kinds[kind];
        const auto meanFactor = 1.0 + HeavyShare * (HeavyFactor - 1.0);
        const auto perSecond = load * m_roomAtStart * options.part / secondsOf(options.work)
                / meanFactor / options.requestsPerFlow;
        std::exponential_distribution<double> gap(perSecond);
        for (auto at = now; at < end; at +=
             std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)))) {
            const Request request { .kind = kind,
                                    .caller = m_random() % CallerCount,
                                    .firstAt = at,
                                    .work = drawWork(options),
                                    .period = m_counts.size() - 1,
                                    .left = options.requestsPerFlow - 1 };
            schedule(at, [this, request] {
                ++countOf(request).offered;
                send(request);
            });
        }
    }
    runUntil(end);
    return m_counts.size() - 1;
}

double AdmissionLoad::goodput(std::size_t period) const
{
    double offered = 0.0;
    double inAim = 0.0;
    for (std::size_t kind = 0; kind < m_options.kinds.size(); ++kind) {
        const auto &count = counts(period)[kind];
        const auto work = secondsOf(m_options.kinds[kind].work);
        offered += static_cast<double>(count.offered) * work;
        inAim += static_cast<double>(count.inAim) * work;
    }
    return offered > 0.0 ? inAim / offered : 1.0;
}

std::uint64_t AdmissionLoad::refusals(std::size_t period) const
{
    return std::accumulate(
            counts(period).begin(), counts(period).end(), std::uint64_t { 0 },
            [](std::uint64_t sum, const Count &count) { return sum + count.refusals; });
}

std::uint64_t AdmissionLoad::refusedTries() const
{
    std::uint64_t sum = 0;
    for (std::size_t period = 0; period < m_counts.size(); ++period) {
        sum += refusals(period);
    }
    return sum;
}

double AdmissionLoad::room() const
{
    return std::accumulate(
            upstreams.begin(), upstreams.end(), 0.0, [this](double sum, const Upstream &upstream) {
                return sum + (upstream.isUsable ? m_options.slots / upstream.slowness : 0.0);
            });
}

void AdmissionLoad::schedule(TimePoint at, std::function<void()> run)
{
    m_events.push({ at, std::move(run) });
}

void AdmissionLoad::runUntil(TimePoint end)
{
    while (true) {
        const auto eventAt = m_events.empty() ? TimePoint::max() : m_events.top().at;
        if (std::min(eventAt, m_nextUpdate) >= end) {
            break;
        }
        if (m_nextUpdate <= eventAt) {
            now = m_nextUpdate;
            updateFigures();
            m_nextUpdate += UpdateInterval;
            continue;
        }
        now = eventAt;
        const auto run = m_events.top().run;
        m_events.pop();
        run();
    }
    now = end;
}

void AdmissionLoad::send(Request request)
{
    const auto running = std::ranges::count(instances, true, &Instance::isRunning);
    auto number = static_cast<std::ptrdiff_t>(m_random() % running);
    auto &instance = *std::ranges::find_if(instances, [&](const Instance &candidate) {
        return candidate.isRunning && number-- == 0;
    });
    if (!m_options.hasAdmission) {
        open(request, instance);
        return;
    }
    const auto &kind = m_options.kinds[request.kind];
    const connection::OfferedOpening opening { .service = Service,
                                               .priority = kind.priority,
                                               .responseAim = kind.responseAim,
                                               .timeBudget = kind.timeBudget,
                                               .caller = common::mixBits(request.caller + 1),
                                               .expectedWork = kind.work };
    const auto verdict = instance.admission.decide(opening, now);
    if (std::holds_alternative<connection::OpeningRefused>(verdict)) {
        instance.admission.recordRefusal(opening);
        ++countOf(request).refusals;
        retry(request);
        return;
    }
    instance.admission.recordAdmission(opening);
    open(request, instance);
}

void AdmissionLoad::open(const Request &request, Instance &instance)
{
    if (auto *upstream = choose()) {
        serve(request, instance, *upstream);
    } else {
        retry(request);
    }
}

void AdmissionLoad::serve(const Request &request, Instance &instance, Upstream &upstream)
{
    const auto &kind = m_options.kinds[request.kind];
    m_admittedWork.emplace_back(now, secondsOf(kind.work) * (1.0 + HeavyShare * (HeavyFactor - 1)));
    std::erase_if(upstream.queued, [this](TimePoint start) { return start <= now; });
    if (!upstream.isUsable || upstream.queued.size() >= m_options.queueLength) {
        ++countOf(request).shed;
        instance.admission.recordAnswer(Service, kind.priority, kind.work, true);
        retry(request);
        return;
    }
    auto &slot = *std::ranges::min_element(upstream.slotFreeAt);
    const auto start = std::max(now, slot);
    if (start > now) {
        upstream.queued.push_back(start);
    }
    slot = start + scaled(request.work, upstream.slowness);
    const auto sentAt = now;
    schedule(slot, [this, request, sentAt, &instance, &upstream] {
        const auto &answered = m_options.kinds[request.kind];
        const auto aim = answered.responseAim;
        instance.admission.recordAnswer(Service, answered.priority, answered.work,
                                        now - sentAt > aim);
        ++(now - request.firstAt <= aim ? countOf(request).inAim : countOf(request).late);
        sendNext(request, instance, upstream);
    });
}

void AdmissionLoad::sendNext(const Request &request, Instance &instance, Upstream &upstream)
{
    if (request.left == 0) {
        return;
    }
    const auto &kind = m_options.kinds[request.kind];
    auto next = request;
    --next.left;
    next.tries = 0;
    next.work = drawWork(kind);
    next.firstAt = now + kind.pause;
    next.period = m_counts.size() - 1;
    schedule(next.firstAt, [this, next, &instance, &upstream] {
        ++countOf(next).offered;
        serve(next, instance, upstream);
    });
}

Duration AdmissionLoad::drawWork(const Kind &kind)
{
    const auto variation = std::uniform_real_distribution(0.5, 1.5)(m_random);
    const bool isHeavy = std::bernoulli_distribution(HeavyShare)(m_random);
    return scaled(kind.work, variation * (isHeavy ? HeavyFactor : 1.0));
}

void AdmissionLoad::retry(Request request)
{
    const auto at = now + m_options.backoff * (1 << request.tries);
    const auto budget = m_options.kinds[request.kind].timeBudget;
    if (request.tries >= m_options.retries || at - request.firstAt >= budget) {
        return;
    }
    ++request.tries;
    schedule(at, [this, request] { send(request); });
}

AdmissionLoad::Upstream *AdmissionLoad::choose()
{
    std::vector<Upstream *> usable;
    for (auto &upstream : upstreams) {
        if (upstream.isUsable) {
            usable.push_back(&upstream);
        }
    }
    if (usable.empty()) {
        return nullptr;
    }
    std::vector<double> weights;
    std::ranges::transform(usable, std::back_inserter(weights),
                           [](const Upstream *upstream) { return 1.0 / upstream->slowness; });
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    auto *first = usable[draw(m_random)];
    auto *second = usable[draw(m_random)];
    const auto freeAt = [](const Upstream *upstream) {
        return *std::ranges::min_element(upstream->slotFreeAt);
    };
    return freeAt(second) < freeAt(first) ? second : first;
}

void AdmissionLoad::updateFigures()
{
    while (!m_admittedWork.empty() && m_admittedWork.front().first < now - m_options.demandWindow) {
        m_admittedWork.pop_front();
    }
    const auto demand =
            std::accumulate(m_admittedWork.begin(), m_admittedWork.end(), 0.0,
                            [](double sum, const auto &item) { return sum + item.second; });
    m_demands.emplace_back(now, demand / secondsOf(m_options.demandWindow));
    while (m_demands.size() > 1 && m_demands[1].first <= now - m_options.figureLag) {
        m_demands.pop_front();
    }
    for (auto &instance : instances) {
        if (instance.hasFigures) {
            instance.room.room = room();
            instance.room.demand = m_demands.front().second;
            instance.room.measuredAt = m_demands.front().first;
        }
        instance.room.service = Service;
        instance.admission.update(instance.room, now);
        if (instance.isRunning && now >= m_watchSharesFrom) {
            const auto &last = std::ranges::max(m_options.kinds, {}, &Kind::priority);
            const auto share = instance.admission.find(Service)->shareOf(last.priority);
            minShare = std::min(minShare, share);
            maxShare = std::max(maxShare, share);
            m_shareSum += share;
            meanShare = m_shareSum / static_cast<double>(++m_shareCount);
        }
    }
}

} // namespace banyanwall::tests
