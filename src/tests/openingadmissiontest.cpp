#include "connection/openingadmission.h"

#include "common/hash.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <vector>

using namespace banyanwall;
using namespace std::chrono_literals;
using connection::OfferedOpening;
using connection::OpeningAdmission;
using connection::OpeningRefused;

namespace {

const common::ServiceId Ledger { 1 };
constexpr double Room = 100.0;
constexpr int OpeningsPerUpdate = 20;

} // namespace

TEST_GROUP(OpeningAdmission)
{
    common::TimePoint now { 100s };
    OpeningAdmission admission;
    std::uint64_t nextCaller = 1;
    /// Share that was admitted while the measured demand arose.
    double measuredShare = 1.0;

    /// Callers bring a multiple of the room for a while, with openings of the given priorities in
    /// turn; a quarter of the answers is late while more than the room is admitted. Returns how
    /// many openings were refused.
    int load(double offered, common::Duration duration,
             const std::vector<std::uint32_t> &priorities = { 0, 1 })
    {
        int refused = 0;
        for (const auto end = now + duration; now < end; now += 200ms) {
            int admitted = 0;
            for (int number = 0; number < OpeningsPerUpdate; ++number) {
                const auto priority = priorities[number % priorities.size()];
                const bool isAdmitted = open(priority, nextCaller++);
                const bool isLate = offered * measuredShare > 1.0 && number % 4 == 0;
                if (isAdmitted) {
                    admission.recordAnswer(Ledger, priority, 30ms, isLate);
                }
                admitted += isAdmitted ? 1 : 0;
            }
            refused += OpeningsPerUpdate - admitted;
            measuredShare +=
                    (static_cast<double>(admitted) / OpeningsPerUpdate - measuredShare) * 0.2;
            update(Room * offered * measuredShare);
        }
        return refused;
    }

    /// Applies the same figures for a while. Returns how many of 20 openings before each update
    /// were refused.
    int repeat(double demand, int answers, int lateAnswers, common::Duration duration,
               double room = Room)
    {
        int refused = 0;
        for (const auto end = now + duration; now < end; now += 200ms) {
            for (int number = 0; number < OpeningsPerUpdate; ++number) {
                refused += open(number % 2, nextCaller++) ? 0 : 1;
            }
            for (int number = 0; number < answers; ++number) {
                admission.recordAnswer(Ledger, number % 2, 30ms, number < lateAnswers);
            }
            update(demand, room);
        }
        return refused;
    }

    void update(double demand, double room = Room, common::Duration age = 300ms,
                common::Duration expectedWait = {})
    {
        admission.update({ Ledger, room, demand, expectedWait, now - age }, now);
    }

    /// Share of a priority whose openings are limited.
    double share(std::uint32_t priority) const
    {
        return admission.find(Ledger)->shareOf(priority);
    }

    OfferedOpening opening(std::uint32_t priority, std::uint64_t caller) const
    {
        return { .service = Ledger,
                 .priority = priority,
                 .responseAim = 400ms,
                 .timeBudget = 4s,
                 .caller = common::mixBits(caller),
                 .expectedWork = 30ms };
    }

    bool open(const OfferedOpening &opened)
    {
        const auto verdict = admission.decide(opened, now);
        const bool isAdmitted = std::holds_alternative<connection::OpeningAdmitted>(verdict);
        if (isAdmitted) {
            admission.recordAdmission(opened);
        } else {
            admission.recordRefusal(opened);
        }
        return isAdmitted;
    }

    bool open(std::uint32_t priority, std::uint64_t caller)
    {
        return open(opening(priority, caller));
    }

    double admittedShare(std::uint32_t priority, int openings = 500)
    {
        int admitted = 0;
        for (int number = 0; number < openings; ++number) {
            admitted += open(priority, nextCaller++) ? 1 : 0;
        }
        return static_cast<double>(admitted) / openings;
    }

    /// A caller that is refused at present.
    std::uint64_t refusedCaller(std::uint32_t priority)
    {
        while (open(priority, nextCaller)) {
            ++nextCaller;
        }
        return nextCaller++;
    }
};

// Load: twice the room, while answers keep the aim. The room is an estimate, the delay is not.
TEST(OpeningAdmission, nothingIsRefusedWhileAnswersKeepTheAim)
{
    LONGS_EQUAL(0, repeat(200, 20, 0, 10s));
}

// Load: half of the room, with late answers, as of slow upstreams. Refusals would not help.
TEST(OpeningAdmission, nothingIsRefusedWhileThereIsRoom)
{
    LONGS_EQUAL(0, repeat(50, 20, 10, 10s));
}

// An instance that has just started knows only its first packets.
TEST(OpeningAdmission, nothingIsRefusedShortlyAfterTheStart)
{
    LONGS_EQUAL(0, load(2.0, 2s));
    CHECK(load(2.0, 1s) > 0);
}

// Load: a single delay of 200 ms, as when a path is repaired.
TEST(OpeningAdmission, singleDelayRefusesNothing)
{
    load(0.9, 4s);
    LONGS_EQUAL(0, repeat(200, 20, 20, 200ms));
    LONGS_EQUAL(0, load(0.9, 1s));
}

// A pause of the process, or lost reports: what was known of the load says nothing about now.
TEST(OpeningAdmission, oldFiguresRefuseNothing)
{
    load(2.0, 6s);
    CHECK(admittedShare(1) < 1.0);
    now += 2s;
    DOUBLES_EQUAL(1.0, admittedShare(1), 0.0);

    update(200, Room, 3s);
    DOUBLES_EQUAL(1.0, admittedShare(1), 0.0);
}

// A service whose load was never reported.
TEST(OpeningAdmission, unknownLoadRefusesNothing)
{
    DOUBLES_EQUAL(1.0, admittedShare(0), 0.0);
    repeat(0, 20, 20, 6s, 0);
    DOUBLES_EQUAL(1.0, admittedShare(0), 0.0);
}

// Load: an instance that got one or two answers; two late ones out of two show no overload.
TEST(OpeningAdmission, fewAnswersRefuseNothing)
{
    LONGS_EQUAL(0, repeat(200, 1, 1, 10s));
}

// Load: twice the room, half of it of each priority. A share that fell faster would go to nothing
// before the first figures show its effect.
TEST(OpeningAdmission, shareFallsAtMostByHalfInAnUpdate)
{
    load(0.9, 4s);
    double before = 1.0;
    for (int update = 0; update < 20; ++update) {
        repeat(200, 20, 10, 200ms);
        CHECK(share(1) >= before / 2 - 1e-9);
        before = share(1);
    }
    CHECK(before < 1.0);
}

// The rush is over: callers must be admitted again within 2 s, and not all in one moment.
TEST(OpeningAdmission, shareRisesByATenthAndIsWholeWithinTwoSeconds)
{
    load(2.0, 6s);
    double before = share(1);
    for (int update = 0; update < 10; ++update) {
        load(0.2, 200ms);
        CHECK(share(1) <= before + 0.1 + 1e-9);
        before = share(1);
    }
    DOUBLES_EQUAL(1.0, before, 1e-9);
}

// Load: 1.5 times the room, a third of it of the high priority, which would fit by itself.
TEST(OpeningAdmission, highPriorityIsAdmittedFirst)
{
    load(1.5, 6s, { 0, 1, 1 });
    DOUBLES_EQUAL(1.0, admittedShare(0), 1e-9);
    CHECK(admittedShare(1) < 0.9);
}

// Load: the high priority alone takes more than the room. The low one is not shut out for good.
TEST(OpeningAdmission, lowPriorityKeepsASmallPart)
{
    load(2.0, 8s, { 0, 0, 0, 0, 0, 0, 0, 0, 0, 1 });
    CHECK(admittedShare(0, 2'000) < 0.6);
    CHECK(admittedShare(1, 2'000) > 0.0);
}

// Load: 1.5 times the room. A refused caller returns through another instance: if that one drew
// anew, retries would take the room of callers that can still be answered within the aim.
TEST(OpeningAdmission, retryMeetsTheSameDecisionAtAnotherInstance)
{
    OpeningAdmission other;
    const common::WallTime wallTime { 1'000s };
    // The monotonic clocks of two machines differ.
    constexpr auto difference = 12'345s;
    load(1.5, 6s, { 0, 1, 1 });
    admission.setClock(wallTime, now);
    other.setClock(wallTime, now + difference);
    for (auto at = now + difference - 6s; at < now + difference; at += 200ms) {
        for (int answer = 0; answer < 20; ++answer) {
            other.recordAnswer(Ledger, 1, 30ms, answer < 5);
        }
        other.update({ Ledger, Room, 2 * Room, {}, at }, at);
    }
    CHECK(other.find(Ledger)->shareOf(1) <= share(1));
    for (int caller = 0; caller < 200; ++caller) {
        const auto retry = opening(1, nextCaller++);
        if (!open(retry)) {
            const auto verdict = other.decide(retry, now + difference);
            CHECK(std::holds_alternative<OpeningRefused>(verdict));
        }
    }
}

// The caller of a refused opening was told so: a retransmission belongs to an admitted opening.
TEST(OpeningAdmission, retransmissionIsAdmitted)
{
    load(2.0, 6s);
    auto retransmitted = opening(1, refusedCaller(1));
    retransmitted.isRetransmission = true;
    CHECK(open(retransmitted));
}

// A request that cannot be answered within its time budget is refused at once, so that its caller
// does not wait in vain.
TEST(OpeningAdmission, openingThatCannotBeServedInTimeIsRefused)
{
    load(2.0, 4s);
    update(150, Room, 300ms, 5s);
    const auto verdict = admission.decide(opening(0, nextCaller++), now);
    const auto *refused = std::get_if<OpeningRefused>(&verdict);
    CHECK(refused != nullptr);
    CHECK(refused->cause == OpeningRefused::Cause::Wait);
}

// No caller is refused for good: the hash that decides changes with time.
TEST(OpeningAdmission, eachCallerIsAdmittedAtTimes)
{
    load(2.0, 4s);
    constexpr int callers = 50;
    std::vector<int> admitted(callers);
    for (int second = 0; second < 60; ++second) {
        load(2.0, 1s);
        for (int caller = 0; caller < callers; ++caller) {
            auto old = opening(1, 1'000'000 + caller);
            const auto verdict = admission.decide(old, now);
            admitted[caller] +=
                    std::holds_alternative<connection::OpeningAdmitted>(verdict) ? 1 : 0;
        }
    }
    for (const auto count : admitted) {
        CHECK(count > 0);
        CHECK(count < 60);
    }
}

// A contract without the service must not leave its state behind.
TEST(OpeningAdmission, serviceWithoutKnownLoadIsForgotten)
{
    load(2.0, 6s);
    admission.removeExpired(now + 30s);
    CHECK(admission.find(Ledger) != nullptr);
    admission.removeExpired(now + 61s);
    POINTERS_EQUAL(nullptr, admission.find(Ledger));
}

// Operators see when a service begins and ceases to refuse, each once.
TEST(OpeningAdmission, changesOfStateAreReportedOnce)
{
    load(0.9, 4s);
    CHECK(admission.takeChanges().empty());
    load(2.0, 2s);
    const auto began = admission.takeChanges();
    LONGS_EQUAL(1, began.size());
    CHECK(began.front().isLimiting);
    load(0.2, 4s);
    const auto ended = admission.takeChanges();
    LONGS_EQUAL(1, ended.size());
    CHECK_FALSE(ended.front().isLimiting);
}
