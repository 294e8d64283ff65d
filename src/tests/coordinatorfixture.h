#pragma once

#include "common/hash.h"
#include "request/coordinator.h"

#include <algorithm>
#include <map>

// Must follow the standard headers, because it replaces operator new by a macro.
#include <CppUTest/TestHarness.h>

namespace banyanwall::tests {

using namespace request;
using namespace std::chrono_literals;
using common::AttemptNumber;
using common::Reason;
using common::RequestKey;
using common::ServiceId;
using common::UpstreamId;
using common::Verdict;
using connection::SlotKey;
using connection::SlotOutcome;

inline const ServiceId Service(7);
inline const common::WallTime Start(1'000'000s);
inline const common::WallTime FarFuture(2'000'000s);

template<typename T>
std::vector<T> all(const RequestActions &actions)
{
    std::vector<T> found;
    for (const auto &action : actions) {
        if (const auto *match = std::get_if<T>(&action)) {
            found.push_back(*match);
        }
    }
    return found;
}

template<typename T>
T single(const RequestActions &actions)
{
    const auto found = all<T>(actions);
    LONGS_EQUAL(1, found.size());
    return found.empty() ? T {} : found.front();
}

inline version::ServiceRoster roster(std::uint32_t upstreams, std::uint64_t rosterVersion = 1)
{
    version::ServiceRoster result;
    result.customer = common::CustomerId(1);
    result.service = Service;
    result.version = common::RosterVersion(rosterVersion);
    result.slotsPerUpstream = 3;
    for (std::uint32_t id = 1; id <= upstreams; ++id) {
        result.upstreams.push_back({ UpstreamId(id), common::ZoneId(1), {} });
    }
    return result;
}

inline AnswerFragment fragmentOf(SlotKey slot, const std::string &answer, std::uint32_t index,
                                 std::uint32_t count)
{
    const auto part = answer.size() / count;
    const auto length = index + 1 == count ? std::string::npos : part;
    return { slot.request,
             slot.attempt,
             index,
             count,
             common::hashBytes(answer),
             answer.substr(index * part, length) };
}

/// A coordinator with a roster of four upstreams, a valid permit and an injected clock.
class CoordinatorFixture : public Utest
{
public:
    Coordinator coordinator { 42 };
    Moment moment { common::TimePoint(100s), Start };

    void setup() override
    {
        coordinator.applyRoster(roster(4));
        coordinator.setPermit({ true, FarFuture });
    }

    void advance(common::Duration duration)
    {
        moment.now += duration;
        moment.wall += std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    }

    RequestActions tickAfter(common::Duration duration)
    {
        advance(duration);
        return coordinator.onTick(moment);
    }

    RequestArrival arrival(std::uint64_t id, bool repeatable)
    {
        return { RequestKey(id), Service,          id,     repeatable, 0,
                 moment.wall,    moment.wall + 5s, "work", "token" };
    }

    DispatchRequest grantSlot(const RequestActions &actions)
    {
        const auto slotRequest = single<RequestSlot>(actions);
        return single<DispatchRequest>(coordinator.onSlotAnswer(slotRequest.slot, true, moment));
    }

    DispatchRequest dispatchRequest(std::uint64_t id, bool repeatable)
    {
        return grantSlot(coordinator.onRequest(arrival(id, repeatable), moment));
    }

    RequestActions answer(SlotKey slot, const std::string &content = "answer")
    {
        return coordinator.onAnswer(fragmentOf(slot, content, 0, 1), moment);
    }

    /// Runs requests that complete at once, ten for each retry.
    void earnRetries(std::uint64_t count)
    {
        for (std::uint64_t id = 100'000; id < 100'000 + 10 * count; ++id) {
            single<DeliverAnswer>(answer(dispatchRequest(id, true).slot));
        }
    }

    void checkRefused(const RequestActions &actions, Verdict verdict, Reason reason)
    {
        const auto refused = single<RefuseRequest>(actions);
        CHECK_TRUE(refused.verdict == verdict);
        STRCMP_EQUAL(std::string(common::toString(reason)).c_str(),
                     std::string(common::toString(refused.reason)).c_str());
    }
};

} // namespace banyanwall::tests
