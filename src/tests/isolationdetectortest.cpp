#include "connection/flowforwarder.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::ServiceId;
using common::StoreRevision;
using common::UpstreamSerial;
using common::ZoneId;
using connection::FlowForwarder;
using connection::FlowPacket;

namespace {

const ServiceId Service { 1 };
const ZoneId OwnZone { 1 };
constexpr std::uint64_t ZoneCount = 3;
constexpr std::uint64_t UpstreamsPerZone = 8;
const common::Endpoint ServiceAddress { 0xc6120001, 443 };

} // namespace

/// Callers of one instance: every 20 ms one of them sends a request and gets an answer, or repeats
/// the request twice without one.
TEST_GROUP(IsolationDetector)
{
    version::Directory directory;
    FlowForwarder forwarder { { .ownZone = OwnZone, .instance = 1 }, [](common::Duration) {} };
    common::TimePoint now { 100s };
    StoreRevision revision {};
    std::uint16_t nextPort = 1'000;
    bool isZoneCut = false;
    bool hasOutsideContact = true;
    connection::ZoneContact contact { now };
    std::vector<FlowPacket> unanswered;

    static std::uint64_t zoneOf(std::uint64_t serial)
    {
        return serial / 100;
    }

    void setup() override
    {
        const version::RulesRecord rules {
            .version = 1,
            .routes = { { ServiceAddress, { { Service, 1 } }, true } },
            .services = { { .service = Service, .coldPeriod = 2s } },
        };
        std::vector changes { change(rules) };
        for (std::uint64_t zone = 1; zone <= ZoneCount; ++zone) {
            for (std::uint64_t index = 0; index < UpstreamsPerZone; ++index) {
                const version::UpstreamRecord record {
                    .serial = UpstreamSerial(zone * 100 + index),
                    .service = Service,
                    .endpoint = { static_cast<std::uint32_t>(zone * 100 + index), 80 },
                    .zone = ZoneId(static_cast<std::uint32_t>(zone)),
                };
                changes.push_back(change(record));
            }
        }
        write(std::move(changes));
    }

    static version::DirectoryChange change(const auto &record)
    {
        return { version::keyOf(record), {}, record };
    }

    void write(std::vector<version::DirectoryChange> changes)
    {
        const auto from = revision;
        revision = StoreRevision(revision.value() + 1);
        std::ranges::for_each(changes, [&](auto &change) { change.position = revision; });
        const version::DirectoryDelta delta { from, revision, from == StoreRevision(),
                                              std::move(changes) };
        forwarder.update(directory, directory.apply(delta, now), now);
    }

    void withdrawOwnZone()
    {
        write({ change(version::WithdrawalRecord { OwnZone }) });
    }

    bool isReachable(const connection::ForwardPacket &forward) const
    {
        return !isZoneCut || zoneOf(forward.serial.value()) == OwnZone.value();
    }

    void sendRequest()
    {
        FlowPacket opening { .caller = { 0x64400007, ++nextPort },
                             .service = ServiceAddress,
                             .sequence = 1'000,
                             .opens = true };
        const auto verdict = forwarder.handle(opening, now);
        const auto *forward = std::get_if<connection::ForwardPacket>(&verdict);
        if (forward == nullptr) {
            return;
        }
        auto request = opening;
        request.opens = false;
        request.token = forward->token;
        request.acknowledgement = 5'000;
        request.payloadBytes = 200;
        if (!isReachable(*forward)) {
            // The opening packet gets no answer; the caller repeats it after 200 ms.
            opening.acknowledgement = 1;
            unanswered.push_back(opening);
            return;
        }
        forwarder.handle(request, now);
        request.sequence += request.payloadBytes;
        request.payloadBytes = 0;
        request.acknowledgement = 7'000;
        forwarder.handle(request, now + 10ms);
    }

    void run(common::Duration time, bool hasTraffic = true)
    {
        for (common::Duration passed {}; passed < time; passed += 20ms) {
            now += 20ms;
            if (hasOutsideContact) {
                contact.outsideContactAt = now;
            }
            if (hasTraffic) {
                sendRequest();
            }
            // Repeated packets of requests sent 200 ms before.
            if (unanswered.size() >= 10) {
                forwarder.handle(unanswered.front(), now);
                unanswered.erase(unanswered.begin());
            }
            forwarder.findIsolation(contact, now);
        }
    }

    void cutZone()
    {
        isZoneCut = true;
        hasOutsideContact = false;
    }
};

// A zone is cut off while its own upstreams are withdrawn: its instances reach no upstream that may
// take flows. They stayed in rotation, so that all requests of the zone's callers failed until the
// end of the cut (users' platform, large deployment, trouble-1).
TEST(IsolationDetector, instanceOfACutOffWithdrawnZoneIsIsolated)
{
    withdrawOwnZone();
    run(3s);
    CHECK_FALSE(forwarder.isIsolated());
    cutZone();
    run(1'200ms);
    CHECK_TRUE(forwarder.isIsolated());
}

// Guards against an instance that is ready again, while its zone is still cut off, because it gets
// no packets any more.
TEST(IsolationDetector, isolationLastsUntilTheZoneIsInContactWithOthers)
{
    withdrawOwnZone();
    run(3s);
    cutZone();
    run(2s);
    run(20s, false);
    CHECK_TRUE(forwarder.isIsolated());
    hasOutsideContact = true;
    run(100ms, false);
    CHECK_FALSE(forwarder.isIsolated());
}

// Guards against a cut-off zone that could serve its callers with its own upstreams but leaves the
// rotation.
TEST(IsolationDetector, instanceWithUsableUpstreamsInItsZoneIsNotIsolated)
{
    run(3s);
    cutZone();
    run(5s);
    CHECK_FALSE(forwarder.isIsolated());
}

// Guards against instances that leave the rotation, one after the other and in the end all of them,
// because no upstream responds: their zone is still in contact with others, so it is not cut off.
TEST(IsolationDetector, silenceOfAllUpstreamsAloneIsNoIsolation)
{
    withdrawOwnZone();
    run(3s);
    isZoneCut = true;
    run(5s);
    CHECK_FALSE(forwarder.isIsolated());
}

// Guards against instances that leave the rotation because the messages of other zones are lost.
TEST(IsolationDetector, lossOfContactAloneIsNoIsolation)
{
    withdrawOwnZone();
    run(3s);
    hasOutsideContact = false;
    run(10s);
    CHECK_FALSE(forwarder.isIsolated());
}

// One ready instance is enough for the fabric to send packets of the zone to all its instances. An
// instance that just started, or gets few packets, follows the leader.
TEST(IsolationDetector, instanceWithoutPacketsFollowsItsLeader)
{
    withdrawOwnZone();
    cutZone();
    run(3s, false);
    CHECK_FALSE(forwarder.isIsolated());
    contact.isLeaderIsolated = true;
    run(100ms, false);
    CHECK_TRUE(forwarder.isIsolated());
}

// Guards against a leader whose own connections fail and which takes its zone out of rotation.
TEST(IsolationDetector, instanceWithResponsesDoesNotFollowItsLeader)
{
    withdrawOwnZone();
    run(3s);
    hasOutsideContact = false;
    contact.isLeaderIsolated = true;
    run(3s);
    CHECK_FALSE(forwarder.isIsolated());
}

// At the beginning of a cut some callers still acknowledge responses that were under way. When each
// of these refuted the verdicts of all instances of the zone, most of them came 2.4 s after the
// cut.
TEST(IsolationDetector, responsesOfOtherInstancesDoNotDelayTheVerdict)
{
    withdrawOwnZone();
    run(3s);
    cutZone();
    for (int step = 0; step < 6; ++step) {
        run(200ms);
        connection::PassiveHealthReport refutations;
        for (std::uint32_t zone = 2; zone <= ZoneCount; ++zone) {
            refutations.respondingZones.push_back({ ZoneId(zone), 10ms });
        }
        static_cast<void>(forwarder.onPeerHealthReport(refutations, now));
    }
    CHECK_TRUE(forwarder.isIsolated());
}
