#include "wire/directorycodec.h"
#include "process/fragmentassembler.h"
#include "wire/passivehealthcodec.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::StoreRevision;

TEST_GROUP(DirectoryCodec) { static version::DirectoryDelta sample() {
        const version::UpstreamRecord upstream { .serial = common::UpstreamSerial(0x7f3a91c2),
                                                 .service = common::ServiceId(5),
                                                 .endpoint = { 0x0a800009, 8080 },
                                                 .zone = common::ZoneId(3),
                                                 .slots = 3,
                                                 .draining = true,
                                                 .coldFor = 1500ms,
                                                 .incarnation = common::Incarnation(99) };
const version::RulesPatch rules {
    .version = 7,
    .idleLimit = 15s,
    .routes = { { { 0xc6120001, 443 }, { { common::ServiceId(5), 90 } }, true, { 0, 400ms, 2s } } },
    .removedAddresses = { { 0xc6120002, 443 } },
    .services = { { common::ServiceId(5), 2s, 2.5, 4444 } },
    .routesDigest = common::RoutesDigest(0x0123456789abcdef),
};
const version::WithdrawalRecord withdrawal { common::ZoneId(3) };
const version::MemberRecord member { { 0x0a010001, 7720 }, common::ZoneId(3), 10 };
return { StoreRevision(4),
         StoreRevision(9),
         true,
         { { version::keyOf(upstream), StoreRevision(5), upstream },
           { version::keyOf(rules), StoreRevision(6), rules },
           { version::keyOf(withdrawal), StoreRevision(7), withdrawal },
           { version::keyOf(member), StoreRevision(8), member },
           { { version::EntryKind::Upstream, 1 }, StoreRevision(9), version::RemovedRecord {} } },
         true };
}
}
;

// Guards against fields of a delta that are lost between instances.
TEST(DirectoryCodec, deltaRoundTrip)
{
    const auto decoded = wire::decodeDelta(wire::encodeDelta(sample()));
    CHECK(common::isOk(decoded));
    const auto &delta = common::valueOf(decoded);
    CHECK(delta.changes == sample().changes);
    CHECK(delta.complete);
    CHECK(delta.mayLackRemovals);
    LONGS_EQUAL(4, delta.from.revision.value());
    LONGS_EQUAL(9, delta.to.revision.value());
}

// Guards against positions that lose their era between instances, and against larger messages: only
// an entry of another era than the delta's end names its own.
TEST(DirectoryCodec, erasAreKept)
{
    auto delta = sample();
    const auto bytes = wire::encodeDelta(delta).size();
    delta.from.era = common::StoreEra(3);
    delta.to.era = common::StoreEra(4);
    std::ranges::for_each(delta.changes,
                          [](auto &change) { change.position.era = common::StoreEra(4); });
    CHECK(wire::encodeDelta(delta).size() <= bytes + 4);
    delta.changes.front().position.era = common::StoreEra(3);
    const auto decoded = wire::decodeDelta(wire::encodeDelta(delta));
    CHECK(common::valueOf(decoded).from == delta.from);
    CHECK(common::valueOf(decoded).to == delta.to);
    CHECK(common::valueOf(decoded).changes == delta.changes);
}

// Guards against a damaged datagram that is applied in part.
TEST(DirectoryCodec, truncatedDeltaIsAnError)
{
    const auto bytes = wire::encodeDelta(sample());
    CHECK_FALSE(common::isOk(wire::decodeDelta(bytes.substr(0, bytes.size() - 3))));
}

// Guards against a value under a wrong key, which would be a second record of the same upstream.
TEST(DirectoryCodec, keyThatDoesNotMatchItsValueIsAnError)
{
    auto delta = sample();
    delta.changes.front().key.id = 12;
    CHECK_FALSE(common::isOk(wire::decodeDelta(wire::encodeDelta(delta))));
}

TEST_GROUP(FragmentAssembler)
{
    process::FragmentAssembler assembler;
    common::TimePoint now { 100s };
    std::string bytes = std::string(5'000, 'x') + "end";
};

// Guards against deltas that are lost or damaged when the network reorders their fragments.
TEST(FragmentAssembler, fragmentsMayArriveInAnyOrder)
{
    auto fragments = process::cutIntoFragments(bytes, 1);
    LONGS_EQUAL(5, fragments.size());
    std::ranges::reverse(fragments);
    std::optional<std::string> whole;
    for (const auto &message : fragments) {
        CHECK_FALSE(whole.has_value());
        whole = assembler.add(message.fragment(), now);
    }
    CHECK(whole == bytes);
}

// Guards against duplicate fragments that are counted in place of missing ones.
TEST(FragmentAssembler, duplicatesDoNotCompleteATransfer)
{
    const auto fragments = process::cutIntoFragments(bytes, 1);
    for (int repetition = 0; repetition < 6; ++repetition) {
        CHECK_FALSE(assembler.add(fragments.front().fragment(), now).has_value());
    }
}

TEST_GROUP(PassiveHealthCodec) {};

// Guards against passive health reports that lose a field between instances.
TEST(PassiveHealthCodec, reportRoundTrip)
{
    const common::TimePoint sentAt { 100s };
    const connection::PassiveHealthReport report {
        .upstreams = { common::UpstreamSerial(1) },
        .unopened = { common::UpstreamSerial(9) },
        .waitingFlows = { { common::UpstreamSerial(2), 77 } },
        .overdueFlows = { { common::UpstreamSerial(7), 78 } },
        .recovered = { common::UpstreamSerial(3) },
        .zones = { common::ZoneId(4) },
        .respondingZones = { { common::ZoneId(5), 50ms } },
        .respondingUpstreams = { { common::UpstreamSerial(6), 60ms } },
        .assumedRestarts = { { common::UpstreamSerial(8), sentAt - 900ms, sentAt - 70ms, true } },
    };
    const auto decoded =
            wire::decodePassiveHealth(wire::encodePassiveHealth(report, sentAt).silence(), sentAt);
    CHECK(decoded.upstreams == report.upstreams);
    CHECK(decoded.unopened == report.unopened);
    CHECK(decoded.waitingFlows == report.waitingFlows);
    CHECK(decoded.overdueFlows == report.overdueFlows);
    CHECK(decoded.recovered == report.recovered);
    CHECK(decoded.zones == report.zones);
    CHECK(decoded.respondingZones.front().zone == common::ZoneId(5));
    CHECK(decoded.respondingZones.front().age == 50ms);
    CHECK(decoded.respondingUpstreams.front().upstream == common::UpstreamSerial(6));
    CHECK(decoded.respondingUpstreams.front().age == 60ms);
    CHECK(decoded.assumedRestarts == report.assumedRestarts);
}

// Guards against a delta that is joined from fragments of two transfers.
TEST(FragmentAssembler, fragmentsOfTransfersAreKeptApart)
{
    const auto first = process::cutIntoFragments(bytes, 1);
    const auto second = process::cutIntoFragments(bytes, 2);
    for (std::size_t index = 0; index < 4; ++index) {
        assembler.add(first[index].fragment(), now);
    }
    CHECK_FALSE(assembler.add(second[4].fragment(), now).has_value());
    CHECK(assembler.add(first[4].fragment(), now).has_value());
}

// Guards against transfers with lost fragments that use memory for ever.
TEST(FragmentAssembler, incompleteTransfersAreDropped)
{
    const auto fragments = process::cutIntoFragments(bytes, 1);
    for (std::size_t index = 0; index < 4; ++index) {
        assembler.add(fragments[index].fragment(), now);
    }
    CHECK_FALSE(assembler.add(fragments[4].fragment(), now + 2s).has_value());
}

// Guards against a crash or a huge allocation after a damaged or hostile fragment.
TEST(FragmentAssembler, invalidIndexOrCountIsIgnored)
{
    wire::proto::DirectoryFragment fragment;
    CHECK_FALSE(assembler.add(fragment, now).has_value());
    fragment.set_count(UINT32_MAX);
    CHECK_FALSE(assembler.add(fragment, now).has_value());
    fragment.set_count(2);
    fragment.set_index(2);
    CHECK_FALSE(assembler.add(fragment, now).has_value());
}
