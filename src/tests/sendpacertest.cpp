#include "process/sendpacer.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

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

// Guards against memory that grows, and against changes that arrive after their time, while more is
// queued than the link can carry.
TEST(SendPacer, queueHoldsNoMoreThanTwoSeconds)
{
    int queued = 0;
    while (queued < 10'000 && pacer.push({ {}, std::string(1'200, 'x') })) {
        ++queued;
    }
    CHECK(queued * 1'200 <= 1'250'000);
    CHECK(queued * 1'200 > 1'200'000);
}

// 46 instances of a zone restart and ask for the directory of 60 KB every 150 ms until they have
// it. Answers to each of these fetches filled the queue with 8 MB of the same directory, and
// instances kept an older contract for 13 s.
TEST(SendPacer, instancesThatAskAgainGetOneAnswer)
{
    constexpr std::uint16_t instances = 46;
    constexpr int fragments = 50;
    std::vector<int> received(instances);
    const auto start = now;
    while (std::ranges::any_of(received, [](int count) { return count < fragments; })) {
        const bool isFetchDue = (now - start) % 150ms == 0ms;
        for (std::uint16_t instance = 0; instance < instances && isFetchDue; ++instance) {
            const common::Endpoint peer { 1, instance };
            if (received[instance] >= fragments || pacer.hasQueued(peer)) {
                continue;
            }
            for (int fragment = 0; fragment < fragments; ++fragment) {
                static_cast<void>(pacer.push({ peer, std::string(1'200, 'x') }));
            }
        }
        while (const auto message = pacer.takeDue(now)) {
            ++received[message->to.port];
        }
        now += 10ms;
        CHECK(now - start < 10s);
    }
    // The link needs 4.4 s for 46 directories.
    CHECK(now - start < 6s);
}
