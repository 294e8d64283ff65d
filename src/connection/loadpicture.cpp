#include "connection/loadpicture.h"

#include "common/hash.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

namespace banyanwall::connection {

using common::Duration;
using common::ServiceId;
using common::TimePoint;

namespace {

using Seconds = std::chrono::duration<double>;

// Times in which the weight of an observation falls to 1/e (about a third).
constexpr Seconds OwnDemandDecay { 1.0 };
constexpr Seconds PeerDemandDecay { 2.0 };
// Step of a median over answers; a small instance sees 20 answers a second.
constexpr double ShiftStep = 0.02;
// Answers in less than a fourth of the usual time are rarely work: an upstream may fail at once.
constexpr double HastyLog = -1.4;
constexpr double HastyShiftStep = 0.002;
constexpr double MaxSlowness = 100.0;
// Logarithm of the response time of a whole service, relative to the usual one, from which its
// requests wait for a slot: a third more.
constexpr double CrowdedLog = 0.3;
constexpr std::uint32_t CrowdedSampleGap = 16;
// A request takes about half of its usual time longer or shorter, which is no news.
constexpr double SlowRatio = 1.5;
constexpr double UsualRatio = 1.2;

// A longer time between two refreshes is a pause of this process, in which packets waited.
constexpr std::chrono::milliseconds MaxRefreshGap { 500 };

constexpr std::size_t MaxKinds = 256;
constexpr std::chrono::seconds KindRetention { 60 };
// A request whose answer passed through another instance, or never came, is forgotten after this
// many times its usual time.
constexpr double MaxAgeFactor = 8.0;
constexpr std::chrono::milliseconds MinMaxAge { 1'000 };
constexpr std::chrono::seconds MaxUnknownAge { 10 };
// Limits what a request counts whose answer may have passed through another instance.
constexpr double MaxRemainingFactor = 4.0;
constexpr double MinPeerWorkDecayMicroseconds = 50'000.0;
constexpr double ServiceTimeSamples = 64.0;
constexpr double MinWorkMicroseconds = 100.0;

// Demands take at most this part of the report bytes.
constexpr double DemandShare = 0.15;
constexpr std::chrono::milliseconds MinDemandInterval { 500 };
constexpr double MinReportedSlots = 0.001;
constexpr std::size_t MaxDemandRows = 8;
// An instance that has missed this many reports of its demand has left.
constexpr int MissedReports = 6;
constexpr std::chrono::seconds MinReportWindow { 3 };
// More than the instances of a zone.
constexpr std::size_t MaxReporters = 1'024;
// Changes of slowness that nobody took; older ones are left out.
constexpr std::size_t MaxChanges = 256;
// Value of a row with the work of one usual request in each slot.
constexpr double WorkValue = 0.005;
constexpr double MinRowValue = 0.02;
// One report of another instance outweighs the assumption that all bring the same work.
constexpr double OwnDemandWeight = 0.25;

double microsecondsOf(Duration duration)
{
    return static_cast<double>(duration.count());
}

Duration durationOf(double microseconds)
{
    return Duration(std::llround(microseconds));
}

double decayFactor(Duration elapsed, Seconds decay)
{
    return std::exp(-Seconds(elapsed) / decay);
}

/// What is left of a sum that arrived evenly over the time.
double decayedPart(Duration elapsed, Seconds decay)
{
    const auto times = Seconds(elapsed) / decay;
    return times > 0.0 ? -std::expm1(-times) / times : 1.0;
}

/// Mean number of busy slots of a sum of work that decays.
double busySlotsOf(double workMicroseconds)
{
    return workMicroseconds / Seconds(OwnDemandDecay).count() / 1e6;
}

} // namespace

LoadPicture::LoadPicture(UpstreamTable &upstreams)
    : m_upstreams(upstreams)
{ }

void LoadPicture::setZoneInstances(std::uint32_t count)
{
    m_zoneInstances = std::max(count, 1U);
    m_budget.setReceivers(m_zoneInstances - 1);
}

void LoadPicture::onFlowOpened(const TrackedUpstream &upstream, Duration handshakeTime)
{
    m_zoneDelays.addSample(upstream.record.zone, handshakeTime);
}

void LoadPicture::onRequest(const RequestKind &kind, const TrackedUpstream &upstream,
                            std::uint64_t flow, TimePoint now)
{
    m_requests.add({ .flow = flow,
                     .startedAt = now,
                     .kind = kind,
                     .upstream = upstream.token,
                     .incarnation = upstream.record.incarnation });
    m_lastFlow = flow;
    auto &service = m_services[upstream.record.service];
    const auto usual = microsecondsOf(usualTime(kind));
    if (usual > 0.0) {
        service.meanTime = service.meanTime > 0.0
                ? service.meanTime + (usual - service.meanTime) / ServiceTimeSamples
                : usual;
    }
    service.newWork += usual > 0.0 ? usual : service.meanTime;
}

void LoadPicture::onAnswer(const RequestKind &kind, const TrackedUpstream &upstream,
                           std::uint64_t flow, Duration responseTime, TimePoint now)
{
    m_requests.remove(flow);
    noticePause(now);
    if (now - responseTime < m_resumedAt) {
        return;
    }
    const auto workTime = m_zoneDelays.workTimeOf(upstream.record.zone, responseTime);
    bool isSample = true;
    if (const auto *cost = costOf(kind)) {
        auto &service = m_services[upstream.record.service];
        const auto logRatio = cost->logRatio(workTime) - service.shift;
        const auto step = logRatio < HastyLog ? HastyShiftStep : ShiftStep;
        service.shift += std::copysign(step, logRatio);
        observedOf(upstream).evidence.addAnswer(logRatio);
        // Where all upstreams are slower than usual, requests wait for a slot; demand is their work
        // without the wait. Kinds whose work has changed for good are learned from the rest.
        isSample = service.shift < CrowdedLog || ++service.crowdedAnswers % CrowdedSampleGap == 0;
    }
    if (!isSample) {
        return;
    }
    // Below this, the slowness may be scatter.
    const auto slowness = upstream.load.slowness >= UsualRatio ? upstream.load.slowness : 1.0;
    addSample(kind, durationOf(microsecondsOf(workTime) / slowness), now);
}

void LoadPicture::onFlowEnded(std::uint64_t flow, TimePoint /*now*/)
{
    m_requests.remove(flow);
}

void LoadPicture::refresh(TimePoint now)
{
    noticePause(now);
    if (m_refreshedAt == TimePoint()) {
        m_countingSince = now;
    }
    decay(now - m_refreshedAt);
    m_refreshedAt = now;
    m_upstreams.visitServices([&](ServiceId service, const UpstreamTable::Group &group) {
        refreshSlowness(service, group);
    });
    refreshWork(now);
    std::erase_if(m_reporters,
                  [&](const auto &item) { return now - item.second > reportWindow(); });
    std::erase_if(m_observed, [&](const auto &item) {
        const auto &observed = item.second;
        const bool isForgotten = observed.evidence.isNegligible()
                && observed.peerWork < MinWorkMicroseconds
                && observed.unreportedWork < MinWorkMicroseconds && !observed.isSlow;
        return isForgotten || m_upstreams.find(item.first) == nullptr;
    });
    std::erase_if(m_services,
                  [&](const auto &item) { return m_upstreams.ofService(item.first).empty(); });
    std::erase_if(m_kinds,
                  [&](const auto &item) { return now - item.second.lastSample > KindRetention; });
}

void LoadPicture::onPeerReport(const LoadReport &report, TimePoint now, std::uint64_t sender)
{
    for (const auto &row : report.upstreams) {
        const auto *upstream = m_upstreams.find(row.upstream);
        if (upstream != nullptr) {
            auto &observed = observedOf(*upstream);
            observed.evidence.addReported(row);
            observed.peerWork +=
                    microsecondsOf(std::clamp<Duration>(row.workLeft, {}, MaxReportedWork));
        }
    }
    for (const auto &row : report.demands) {
        if (!m_upstreams.ofService(row.service).empty() && row.busySlots >= 0.0) {
            m_services[row.service].peerSlots += std::min(row.busySlots, MaxReportedSlots);
        }
    }
    if (report.demands.empty()) {
        return;
    }
    m_peerReports += 1.0;
    if (sender != 0 && (m_reporters.size() < MaxReporters || m_reporters.contains(sender))) {
        m_reporters[sender] = now;
    }
}

std::optional<LoadReport> LoadPicture::takeReport(TimePoint now)
{
    if (!m_budget.hasReceivers()) {
        return std::nullopt;
    }
    m_budget.refill(now);
    LoadReport report;
    if (now >= m_nextDemandAt) {
        addDemands(report);
    }
    addUpstreams(report);
    if (report.isEmpty() || !m_budget.take(report)) {
        return std::nullopt;
    }
    if (!report.demands.empty()) {
        m_demandInterval =
                std::max<Duration>(m_budget.intervalOf(report, DemandShare), MinDemandInterval);
        m_nextDemandAt = now + variedInterval();
    }
    markReported(report);
    return report;
}

Duration LoadPicture::usualTime(const RequestKind &kind) const
{
    const auto *cost = costOf(kind);
    return cost == nullptr ? Duration {} : cost->mean();
}

std::vector<ServiceDemand> LoadPicture::demands(TimePoint now) const
{
    const auto age = now - m_refreshedAt;
    const auto ownFactor = decayFactor(age, OwnDemandDecay);
    const auto peerFactor = decayFactor(age, PeerDemandDecay);
    const auto others = static_cast<double>(otherInstances(now));
    std::vector<ServiceDemand> demands;
    for (const auto &[id, service] : m_services) {
        const auto own = busySlotsOf(service.ownWork) * ownFactor;
        const auto mean = (service.peerSlots * peerFactor + own * OwnDemandWeight)
                / (m_peerReports * peerFactor + OwnDemandWeight);
        demands.push_back({ id, own + mean * others });
    }
    return demands;
}

std::vector<ServiceLoad> LoadPicture::serviceLoads() const
{
    std::vector<ServiceLoad> loads;
    std::ranges::transform(m_services, std::back_inserter(loads),
                           [](const auto &item) { return item.second.load; });
    return loads;
}

void LoadPicture::noticePause(TimePoint now)
{
    if (m_refreshedAt != TimePoint() && now - m_refreshedAt > MaxRefreshGap) {
        m_resumedAt = now;
        m_countingSince = now;
    }
}

const RequestCost *LoadPicture::costOf(const RequestKind &kind) const
{
    auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || !found->second.cost.isKnown()) {
        found = m_kinds.find({ kind.route, RequestKind::AnySize });
    }
    const bool isKnown = found != m_kinds.end() && found->second.cost.isKnown();
    return isKnown ? &found->second.cost : nullptr;
}

void LoadPicture::addSample(const RequestKind &kind, Duration responseTime, TimePoint now)
{
    for (const auto &key : { kind, RequestKind { kind.route, RequestKind::AnySize } }) {
        if (m_kinds.size() >= MaxKinds && !m_kinds.contains(key)) {
            continue;
        }
        auto &known = m_kinds[key];
        known.cost.addSample(responseTime);
        known.lastSample = now;
    }
}

LoadPicture::Observed &LoadPicture::observedOf(const TrackedUpstream &upstream)
{
    auto &observed = m_observed[upstream.token];
    if (observed.incarnation != upstream.record.incarnation) {
        observed = Observed();
        observed.incarnation = upstream.record.incarnation;
    }
    return observed;
}

void LoadPicture::decay(Duration elapsed)
{
    for (auto &[token, observed] : m_observed) {
        observed.evidence.decay(elapsed);
        const auto *upstream = m_upstreams.find(token);
        if (upstream == nullptr || observed.peerWork < MinWorkMicroseconds) {
            observed.peerWork = 0.0;
            continue;
        }
        const auto time = m_services[upstream->record.service].meanTime * upstream->load.slowness;
        observed.peerWork *=
                std::exp(-microsecondsOf(elapsed) / std::max(time, MinPeerWorkDecayMicroseconds));
    }
    const auto ownFactor = decayFactor(elapsed, OwnDemandDecay);
    const auto peerFactor = decayFactor(elapsed, PeerDemandDecay);
    m_peerReports *= peerFactor;
    for (auto &[id, service] : m_services) {
        // New work arrived evenly since the last refresh.
        service.ownWork = service.ownWork * ownFactor
                + std::exchange(service.newWork, 0.0) * decayedPart(elapsed, OwnDemandDecay);
        service.peerSlots *= peerFactor;
    }
}

Duration LoadPicture::variedInterval() const
{
    const auto fraction = static_cast<double>(common::mixBits(m_lastFlow))
            / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return durationOf(microsecondsOf(m_demandInterval) * (0.5 + fraction));
}

Duration LoadPicture::reportWindow() const
{
    return std::max<Duration>(m_demandInterval * MissedReports, MinReportWindow);
}

std::size_t LoadPicture::otherInstances(TimePoint now) const
{
    const std::size_t members = m_zoneInstances - 1;
    const bool isCounted = now - m_countingSince >= reportWindow() && !m_reporters.empty();
    return isCounted ? std::min(m_reporters.size(), members) : members;
}

void LoadPicture::refreshSlowness(ServiceId service, const UpstreamTable::Group &group)
{
    if (group.empty()) {
        return;
    }
    const auto logOf = [&](const TrackedUpstream &upstream) {
        const auto found = m_observed.find(upstream.token);
        const bool isObserved = found != m_observed.end()
                && found->second.incarnation == upstream.record.incarnation;
        return isObserved ? found->second.evidence.logSlowness() : 0.0;
    };
    m_logs.clear();
    std::ranges::transform(group, std::back_inserter(m_logs),
                           [&](const auto *upstream) { return logOf(*upstream); });
    m_sortedLogs = m_logs;
    const auto middle =
            m_sortedLogs.begin() + static_cast<std::ptrdiff_t>((m_sortedLogs.size() - 1) / 2);
    std::ranges::nth_element(m_sortedLogs, middle);
    ServiceLoad load { .service = service, .meanSlowness = 0.0 };
    for (std::size_t index = 0; index < group.size(); ++index) {
        auto &upstream = *group[index];
        upstream.load.slowness =
                std::min(std::exp(std::max(m_logs[index] - *middle, 0.0)), MaxSlowness);
        upstream.load.workLeft = {};
        load.meanSlowness += upstream.load.slowness / static_cast<double>(group.size());
        if (const auto found = m_observed.find(upstream.token); found != m_observed.end()) {
            upstream.load.workLeft = durationOf(found->second.peerWork);
            found->second.unreportedWork = 0.0;
            recordSlowness(upstream, found->second);
            load.slowUpstreams += found->second.isSlow ? 1 : 0;
        }
    }
    if (const auto found = m_services.find(service); found != m_services.end()) {
        found->second.load = load;
    }
}

void LoadPicture::refreshWork(TimePoint now)
{
    m_requests.retain([&](const RequestInProgress &request) { return addWork(request, now); });
}

bool LoadPicture::addWork(const RequestInProgress &request, TimePoint now)
{
    auto *upstream = m_upstreams.find(request.upstream);
    if (upstream == nullptr || upstream->record.incarnation != request.incarnation) {
        return false;
    }
    const auto age = now - request.startedAt;
    const auto workAge = m_zoneDelays.workTimeOf(upstream->record.zone, age);
    const auto *cost = costOf(request.kind);
    if (cost == nullptr) {
        return age < MaxUnknownAge;
    }
    const auto slowness = upstream->load.slowness;
    const auto usual = microsecondsOf(cost->mean()) * slowness;
    if (age > std::max<Duration>(durationOf(usual * MaxAgeFactor), MinMaxAge)) {
        return false;
    }
    const auto left = cost->remaining(durationOf(microsecondsOf(workAge) / slowness));
    const auto work = std::min(microsecondsOf(left) * slowness, usual * MaxRemainingFactor);
    upstream->load.workLeft += durationOf(work);
    if (!request.isReported) {
        observedOf(*upstream).unreportedWork += work;
    }
    return true;
}

void LoadPicture::recordSlowness(const TrackedUpstream &upstream, Observed &observed)
{
    const auto slowness = upstream.load.slowness;
    const bool isSlow = slowness >= (observed.isSlow ? UsualRatio : SlowRatio);
    if (isSlow != observed.isSlow) {
        observed.isSlow = isSlow;
        if (m_changes.size() >= MaxChanges) {
            m_changes.erase(m_changes.begin());
        }
        m_changes.push_back({ upstream.record.serial, slowness, isSlow });
    }
}

void LoadPicture::addDemands(LoadReport &report) const
{
    for (const auto &[id, service] : m_services) {
        const auto slots = busySlotsOf(service.ownWork);
        report.demands.push_back({ .service = id, .busySlots = std::min(slots, MaxReportedSlots) });
    }
    std::ranges::sort(report.demands, std::greater {}, &ReportedDemand::busySlots);
    const auto hasDemand = [](const ReportedDemand &demand) {
        return demand.busySlots >= MinReportedSlots;
    };
    const auto count = static_cast<std::size_t>(std::ranges::count_if(report.demands, hasDemand));
    // A report without any row would not count as one of no demand.
    const auto rows = std::clamp<std::size_t>(count, 1, MaxDemandRows);
    report.demands.resize(std::min(rows, report.demands.size()));
}

void LoadPicture::addUpstreams(LoadReport &report) const
{
    auto rows = rowsToReport();
    const auto count = std::min(rows.size(), m_budget.maxUpstreams(report));
    const auto end = rows.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(rows, end, std::greater {}, &Row::value);
    std::transform(rows.begin(), end, std::back_inserter(report.upstreams),
                   [](const Row &row) { return row.reported; });
}

std::vector<LoadPicture::Row> LoadPicture::rowsToReport() const
{
    std::vector<Row> rows;
    for (const auto &[token, observed] : m_observed) {
        const auto *upstream = m_upstreams.find(token);
        if (upstream == nullptr) {
            continue;
        }
        const auto value =
                observed.evidence.reportValue() + valueOfWork(observed, upstream->record);
        if (value < MinRowValue) {
            continue;
        }
        ReportedUpstream row { .upstream = token,
                               .workLeft = std::min<Duration>(durationOf(observed.unreportedWork),
                                                              MaxReportedWork) };
        observed.evidence.writeTo(row);
        rows.push_back({ row, value });
    }
    return rows;
}

double LoadPicture::valueOfWork(const Observed &observed,
                                const version::UpstreamRecord &record) const
{
    const auto service = m_services.find(record.service);
    if (service == m_services.end() || service->second.meanTime <= 0.0) {
        return 0.0;
    }
    const auto slots = std::max(record.slots, 1U);
    return observed.unreportedWork / (service->second.meanTime * slots) * WorkValue;
}

void LoadPicture::markReported(const LoadReport &report)
{
    for (const auto &row : report.upstreams) {
        auto &observed = m_observed[row.upstream];
        if (row.answers > 0) {
            observed.evidence.markReported();
        }
        observed.unreportedWork = 0.0;
    }
    m_requests.retain([&](RequestInProgress &request) {
        request.isReported = request.isReported
                || std::ranges::find(report.upstreams, request.upstream,
                                     &ReportedUpstream::upstream)
                        != report.upstreams.end();
        return true;
    });
}

} // namespace banyanwall::connection
