#include "process/sendpacer.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;

TEST_GROUP(SendPacer)
{
    // Half of a link of 10 Mbit/s.
    process::SendPacer pacer { 625'000.0 };
    common::TimePoint now { 100s };

    /// Queues this many messages of 1,200 bytes.
    void push(int messages)
    {
        for (int message = 0; message < messages; ++message) {
            CHECK(pacer.push(
                    { { 1, static_cast<std::uint16_t>(message) }, std::string(1'200, 'x') }));
        }
    }

    int takeAll()
    {
        int taken = 0;
        while (pacer.takeDue(now)) {
            ++taken;
        }
        return taken;
    }
};

// Guards against a delay of ordinary changes, which have to be in force within seconds.
TEST(SendPacer, smallChangesAreSentAtOnce)
{
    push(8);
    LONGS_EQUAL(8, takeAll());
    CHECK_FALSE(pacer.untilNext(now));
}

// A contract of 1,400 routes goes to a group of six peers: 260 KB filled a link of 10 Mbit/s for
// 0.2 s and more, packets of callers were lost on it, and the instance took live upstreams for
// unresponsive.
TEST(SendPacer, largeDirectoryLeavesHalfOfTheLinkFree)
{
    push(216);
    int sent = 0;
    const auto start = now;
    while (pacer.untilNext(now)) {
        const auto taken = takeAll();
        sent += taken;
        const std::chrono::duration<double> elapsed = now - start;
        CHECK(sent * 1'200.0 <= 12'000.0 + 1'200.0 + elapsed.count() * 625'000.0);
        now += 5ms;
    }
    LONGS_EQUAL(216, sent);
    CHECK(now - start < 500ms);
}

// Guards against messages that are sent in another order, or not at all after a pause.
TEST(SendPacer, orderIsKeptAndTheWaitEnds)
{
    push(30);
    takeAll();
    const auto wait = pacer.untilNext(now);
    CHECK(wait && *wait > 0s);
    CHECK_FALSE(pacer.takeDue(now));
    now += *wait + 1ms;
    const auto next = pacer.takeDue(now);
    CHECK(next.has_value());
    LONGS_EQUAL(11, next->to.port);
}

// Guards against memory that grows while a peer asks for the directory again and again.
TEST(SendPacer, fullQueueRefusesMessages)
{
    bool isFull = false;
    for (int message = 0; message < 10'000 && !isFull; ++message) {
        isFull = !pacer.push({ {}, std::string(1'200, 'x') });
    }
    CHECK(isFull);
}
