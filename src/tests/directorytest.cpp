#include "version/directory.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace banyanwall;
using namespace std::chrono_literals;
using common::StoreRevision;
using version::Directory;
using version::DirectoryChange;
using version::DirectoryDelta;
using version::UpstreamRecord;

TEST_GROUP(Directory)
{
    Directory directory;
    common::TimePoint now { 100s };

    static DirectoryChange upstream(std::uint64_t serial, std::uint64_t revision,
                                    common::Duration coldFor = {})
    {
        const UpstreamRecord record { .serial = common::UpstreamSerial(serial),
                                      .coldFor = coldFor };
        return { version::keyOf(record), StoreRevision(revision), record };
    }

    static DirectoryChange removal(std::uint64_t serial, std::uint64_t revision)
    {
        return { upstream(serial, 0).key, StoreRevision(revision), version::RemovedRecord {} };
    }

    static DirectoryChange rules(std::uint64_t version, std::uint64_t revision)
    {
        const version::RulesRecord record { .version = version };
        return { version::keyOf(record), StoreRevision(revision), record };
    }

    static DirectoryDelta complete(std::uint64_t to, std::vector<DirectoryChange> changes)
    {
        return { {}, StoreRevision(to), true, std::move(changes) };
    }

    /// Changes that a peer sends.
    static DirectoryDelta delta(std::uint64_t from, std::uint64_t to,
                                std::vector<DirectoryChange> changes)
    {
        return { StoreRevision(from), StoreRevision(to), false, std::move(changes) };
    }

    /// Changes that the store returns to a watch.
    static DirectoryDelta watched(std::uint64_t from, std::uint64_t to,
                                  std::vector<DirectoryChange> changes)
    {
        auto watched = delta(from, to, std::move(changes));
        watched.holdsEachChange = true;
        return watched;
    }

    static bool holds(const Directory &directory, std::uint64_t serial)
    {
        const auto found = directory.entries().find(upstream(serial, 0).key);
        return found != directory.entries().end()
                && std::holds_alternative<UpstreamRecord>(found->second.value);
    }

    bool holds(std::uint64_t serial) const
    {
        return holds(directory, serial);
    }
};

// Guards against a peer with an older directory that brings back a former contract.
TEST(Directory, olderRevisionOfAnEntryIsIgnored)
{
    directory.apply(complete(10, { rules(7, 9) }), now);
    directory.apply(complete(8, { rules(6, 8) }), now);
    LONGS_EQUAL(7, directory.rules()->version);
    LONGS_EQUAL(10, directory.revision().value());
}

// Guards against a contract of a lower version that replaces a newer one because it was written to
// the store later.
TEST(Directory, lowerContractVersionIsIgnored)
{
    directory.apply(complete(10, { rules(7, 9) }), now);
    directory.apply(delta(10, 11, { rules(5, 11) }), now);
    LONGS_EQUAL(7, directory.rules()->version);
    const version::RulesPatch patch { .version = 6, .routesDigest = common::RoutesDigest(1) };
    directory.apply(delta(11, 12, { { version::keyOf(patch), StoreRevision(12), patch } }), now);
    LONGS_EQUAL(7, directory.rules()->version);
    CHECK_FALSE(directory.needsAllEntries());
}

// Guards against entries that stay unknown: a delta before the first complete one, or one that
// starts after the known revision, does not hold the changes in between.
TEST(Directory, deltaThatLeavesAGapChangesNothing)
{
    CHECK(directory.apply(delta(5, 6, { upstream(1, 6) }), now).empty());
    CHECK_FALSE(directory.isLoaded());
    directory.apply(complete(10, { upstream(1, 3) }), now);
    CHECK(directory.apply(delta(12, 13, { upstream(2, 13) }), now).empty());
    CHECK_FALSE(holds(2));
    LONGS_EQUAL(10, directory.revision().value());
}

// Guards against changes that are reported twice when deltas of several peers overlap.
TEST(Directory, overlappingDeltasApplyOnce)
{
    directory.apply(complete(10, { upstream(1, 3) }), now);
    LONGS_EQUAL(1, directory.apply(delta(8, 12, { upstream(2, 12) }), now).size());
    LONGS_EQUAL(0, directory.apply(delta(9, 12, { upstream(2, 12) }), now).size());
}

// Guards against entries that stay for ever when they were removed while the store's watch was
// interrupted: only their absence from the next full read shows the removal.
TEST(Directory, completeDeltaRemovesMissingEntries)
{
    directory.apply(complete(10, { upstream(1, 3), upstream(2, 4) }), now);
    const auto changed = directory.apply(complete(20, { upstream(1, 3) }), now);
    LONGS_EQUAL(1, changed.size());
    CHECK(holds(1));
    CHECK_FALSE(holds(2));
}

// Guards against the removal of entries that were written during a full read. Such entries are
// newer than the revision of the read and may be missing from it.
TEST(Directory, completeDeltaKeepsNewerEntries)
{
    directory.apply(complete(10, { upstream(1, 3) }), now);
    directory.apply(delta(10, 25, { upstream(2, 25) }), now);
    directory.apply(complete(20, { upstream(1, 3) }), now);
    CHECK(holds(2));
    LONGS_EQUAL(25, directory.revision().value());
}

// Guards against a peer that keeps a removed upstream.
TEST(Directory, changesSinceIncludesRemovals)
{
    directory.apply(complete(10, { upstream(1, 3), upstream(2, 4) }), now);
    directory.apply(delta(10, 12, { removal(2, 12) }), now);
    Directory peer;
    peer.apply(complete(10, { upstream(1, 3), upstream(2, 4) }), now);
    const auto changes = directory.changesSince(StoreRevision(10), now);
    CHECK_FALSE(changes.complete);
    LONGS_EQUAL(1, changes.changes.size());
    peer.apply(changes, now);
    LONGS_EQUAL(1, std::ranges::count_if(peer.entries(), [](const auto &item) {
                    return std::holds_alternative<UpstreamRecord>(item.second.value);
                }));
}

// Guards against a peer that never learns of a removal: once the removal has expired here, the peer
// must get a complete delta.
TEST(Directory, expiredRemovalsLeadToACompleteDelta)
{
    directory.apply(complete(10, { upstream(1, 3), upstream(2, 4) }), now);
    directory.apply(delta(10, 12, { removal(2, 12) }), now);
    directory.apply(delta(12, 13, {}), now + 120s);
    CHECK(directory.changesSince(StoreRevision(10), now + 120s).complete);
    CHECK_FALSE(directory.changesSince(StoreRevision(12), now + 120s).complete);
}

// Guards against a peer that receives an entry late and then treats the upstream as cold for the
// wrong time.
TEST(Directory, remainingColdTimeShrinksWithAge)
{
    directory.apply(complete(10, { upstream(1, 3, 2s) }), now);
    const auto later = directory.changesSince({}, now + 500ms);
    const auto &record = std::get<UpstreamRecord>(later.changes.front().value);
    LONGS_EQUAL(1'500'000, record.coldFor.count());
    const auto muchLater = directory.changesSince({}, now + 5s);
    LONGS_EQUAL(0, std::get<UpstreamRecord>(muchLater.changes.front().value).coldFor.count());
}

// Guards against deltas that hold all routes of a contract after each edit. With a thousand routes
// and several edits in quick succession this would load the network between the instances.
TEST(Directory, rulesAreReturnedAsAPatch)
{
    const auto route = [](std::uint16_t port, std::uint32_t weight) {
        return version::RouteRecord { { 1, port }, { { common::ServiceId(1), weight } }, true };
    };
    const auto change = [](const version::RulesRecord &record, std::uint64_t revision) {
        return DirectoryChange { version::keyOf(record), StoreRevision(revision), record };
    };
    version::RulesRecord first { .version = 1 };
    for (std::uint16_t port = 1; port <= 1'000; ++port) {
        first.routes.push_back(route(port, 1));
    }
    directory.apply(complete(10, { change(first, 10) }), now);
    Directory peer;
    peer.apply(directory.changesSince({}, now), now);
    LONGS_EQUAL(1'000, peer.rules()->routes.size());

    auto second = first;
    second.version = 2;
    second.routes.erase(second.routes.begin());
    second.routes.back() = route(1'000, 2);
    second.routes.push_back(route(2'000, 1));
    directory.apply(delta(10, 11, { change(second, 11) }), now);
    const auto changes = directory.changesSince(StoreRevision(10), now);
    const auto &patch = std::get<version::RulesPatch>(changes.changes.front().value);
    LONGS_EQUAL(2, patch.routes.size());
    LONGS_EQUAL(1, patch.removedAddresses.size());
    peer.apply(changes, now);
    LONGS_EQUAL(2, peer.rules()->version);
    CHECK(peer.rules()->routes == second.routes);
}

// Guards against a list of removed routes that grows for ever. A peer whose directory is older than
// the expired removals gets all routes.
TEST(Directory, removedRoutesExpire)
{
    const auto withRoutes = [](std::uint64_t version, std::uint64_t revision,
                               std::vector<std::uint16_t> ports) {
        version::RulesRecord record { .version = version };
        std::ranges::transform(ports, std::back_inserter(record.routes), [](std::uint16_t port) {
            return version::RouteRecord { { 0xc6120001, port }, {}, true };
        });
        return DirectoryChange { version::keyOf(record), StoreRevision(revision), record };
    };
    directory.apply(complete(10, { withRoutes(1, 10, { 1, 2 }) }), now);
    directory.apply(delta(10, 11, { withRoutes(2, 11, { 1 }) }), now);
    const auto patchSince = [&](std::uint64_t since) {
        const auto changes = directory.changesSince(StoreRevision(since), now);
        return std::get<version::RulesPatch>(changes.changes.front().value);
    };
    LONGS_EQUAL(1, patchSince(10).removedAddresses.size());
    now += 61s;
    directory.apply(delta(11, 12, { withRoutes(3, 12, { 1, 3 }) }), now);
    CHECK(directory.changesSince(StoreRevision(10), now).complete);
    LONGS_EQUAL(0, patchSince(11).removedAddresses.size());
    LONGS_EQUAL(1, patchSince(11).routes.size());
}

// Guards against a flood of messages between instances when hundreds of upstreams are restarted for
// a release: each writes several records while it is cold, which differ in the remaining time only.
TEST(Directory, redundantRecordsOfAColdUpstreamChangeNothing)
{
    directory.apply(complete(10, { upstream(1, 10, 2s) }), now);
    now += 770ms;
    LONGS_EQUAL(0, directory.apply(watched(10, 11, { upstream(1, 11, 1230ms) }), now).size());
    LONGS_EQUAL(11, directory.revision().value());
    LONGS_EQUAL(0, directory.changesSince(StoreRevision(10), now).changes.size());
    // Cold for longer than expected, as after a restart that was not observed.
    LONGS_EQUAL(1, directory.apply(watched(11, 12, { upstream(1, 12, 2s) }), now).size());
    now += 5s;
    LONGS_EQUAL(0, directory.apply(watched(12, 13, { upstream(1, 13) }), now).size());
    auto draining = upstream(1, 14);
    std::get<UpstreamRecord>(draining.value).draining = true;
    LONGS_EQUAL(1, directory.apply(watched(13, 14, { draining }), now).size());
}

// An instance starts, reads the store and asks a peer as well. The answer of a peer that lags
// behind arrives last and holds an upstream that has left meanwhile: it must not be in use again.
TEST(Directory, answerOfALaggingPeerBringsNoRemovedEntryBack)
{
    directory.apply(complete(200, { upstream(1, 20) }), now);
    directory.apply(complete(190, { upstream(1, 20), upstream(2, 50) }), now);
    CHECK_FALSE(holds(2));
    directory.apply(delta(100, 195, { upstream(3, 150) }), now);
    CHECK_FALSE(holds(3));
    CHECK(holds(1));
}

// A peer was cut off for longer than removals are kept, so that nothing here tells that the entry
// was removed.
TEST(Directory, answerOfAPeerThatWasCutOffBringsNoRemovedEntryBack)
{
    directory.apply(complete(100, { upstream(1, 20), upstream(2, 30) }), now);
    directory.apply(delta(100, 110, { removal(2, 110) }), now);
    now += 61s;
    directory.apply(delta(110, 120, {}), now);
    directory.apply(delta(0, 100, { upstream(2, 30) }), now);
    directory.apply(complete(100, { upstream(1, 20), upstream(2, 30) }), now);
    CHECK_FALSE(holds(2));
}

// Guards against an instance that counts as current although its routes are those of a contract
// that the sender of the changes never had.
TEST(Directory, changesOfAnotherContractDoNotAdvanceTheRevision)
{
    const auto withService = [](std::uint64_t version, std::uint64_t revision,
                                std::uint32_t service) {
        const version::RulesRecord record {
            .version = version,
            .routes = { { { 1, 443 }, { { common::ServiceId(service), 1 } }, true } }
        };
        return DirectoryChange { version::keyOf(record), StoreRevision(revision), record };
    };
    Directory sender;
    sender.apply(complete(10, { withService(1, 10, 1) }), now);
    sender.apply(delta(10, 12, { withService(3, 12, 1) }), now);
    Directory receiver;
    receiver.apply(complete(11, { withService(2, 11, 2) }), now);

    receiver.apply(sender.changesSince(StoreRevision(11), now), now);
    LONGS_EQUAL(2, receiver.rules()->version);
    LONGS_EQUAL(11, receiver.revision().value());
    CHECK(receiver.needsAllEntries());

    receiver.apply(sender.changesSince({}, now), now);
    CHECK(receiver.rules()->routes == sender.rules()->routes);
    LONGS_EQUAL(3, receiver.rules()->version);
    LONGS_EQUAL(12, receiver.revision().value());
    CHECK_FALSE(receiver.needsAllEntries());
}

// Guards against a peer that keeps an entry which was created and removed before this instance read
// all entries again: nothing here tells that the entry ever existed.
TEST(Directory, peerForgetsAnEntryThatAFullReadSkipped)
{
    directory.apply(complete(10, { upstream(1, 3) }), now);
    directory.apply(complete(20, { upstream(1, 3), upstream(4, 15) }), now);
    Directory peer;
    peer.apply(complete(14, { upstream(1, 3), upstream(2, 12) }), now);

    peer.apply(directory.changesSince(StoreRevision(10), now), now);
    LONGS_EQUAL(14, peer.revision().value());
    CHECK(peer.needsAllEntries());

    peer.apply(directory.changesSince(peer.revision(), now), now);
    LONGS_EQUAL(20, peer.revision().value());
    CHECK_FALSE(peer.needsAllEntries());
    CHECK_FALSE(holds(peer, 2));
    CHECK(holds(peer, 4));
}

// Guards against a peer that keeps an entry which was removed, created and removed again. This
// instance knows the first removal only, because it read all entries again after the second one.
TEST(Directory, peerForgetsAnEntryWhoseFirstRemovalIsKnown)
{
    directory.apply(complete(10, { upstream(1, 3), upstream(2, 4) }), now);
    directory.apply(delta(10, 12, { removal(2, 12) }), now);
    directory.apply(complete(20, { upstream(1, 3) }), now);
    Directory peer;
    peer.apply(complete(16, { upstream(1, 3), upstream(2, 15) }), now);

    peer.apply(directory.changesSince(StoreRevision(10), now), now);
    CHECK(peer.needsAllEntries());
    peer.apply(directory.changesSince({}, now), now);
    CHECK_FALSE(holds(peer, 2));
}

// Guards against whole directories that are sent to all peers after each full read: a peer that
// holds no entry that the read may have skipped gets changes only.
TEST(Directory, fullReadLeadsToChangesForPeersThatWereCurrentBeforeIt)
{
    directory.apply(complete(10, { upstream(1, 3), upstream(2, 4) }), now);
    Directory peer;
    peer.apply(directory.changesSince({}, now), now);
    Directory starting;
    starting.apply(complete(15, { upstream(1, 3), upstream(4, 15) }), now);
    directory.apply(complete(20, { upstream(1, 3), upstream(4, 15) }), now);

    const auto changes = directory.changesSince(StoreRevision(10), now);
    CHECK_FALSE(changes.complete);
    for (auto *receiver : { &peer, &starting }) {
        receiver->apply(changes, now);
        LONGS_EQUAL(20, receiver->revision().value());
        CHECK_FALSE(holds(*receiver, 2));
        CHECK(holds(*receiver, 4));
    }
    CHECK_FALSE(directory.changesSince(StoreRevision(20), now).mayLackRemovals);
}

// Guards against an instance that passes changes on as if it knew all removals, although the
// instance that it got them from did not.
TEST(Directory, unknownRemovalsAreNotHiddenByAnInstanceInBetween)
{
    Directory leader;
    leader.apply(complete(10, { upstream(1, 3) }), now);
    directory.apply(complete(10, { upstream(1, 3) }), now);
    directory.apply(complete(20, { upstream(1, 3) }), now);
    leader.apply(directory.changesSince(StoreRevision(10), now), now);
    LONGS_EQUAL(20, leader.revision().value());
    Directory peer;
    peer.apply(complete(14, { upstream(1, 3), upstream(2, 12) }), now);
    peer.apply(leader.changesSince(StoreRevision(10), now), now);
    CHECK(peer.needsAllEntries());
    CHECK(leader.changesSince(StoreRevision(14), now).complete);
}

// Guards against a peer that keeps the damaged state of an entry. This instance gets the damage and
// the repair as one change, in which the entry is as before.
TEST(Directory, peerGetsAnEntryThatChangedAndChangedBack)
{
    directory.apply(complete(10, { upstream(1, 3) }), now);
    LONGS_EQUAL(0, directory.apply(delta(10, 14, { upstream(1, 14) }), now).size());
    Directory peer;
    peer.apply(complete(12, {}), now);
    peer.apply(directory.changesSince(StoreRevision(12), now), now);
    CHECK(holds(peer, 1));
}

// Guards against entries that a late answer brings back. They were created and removed before this
// instance read all entries again, so that nothing but their absence shows the removal.
TEST(Directory, lateAnswerBringsNoEntryBackThatAFullReadSkipped)
{
    directory.apply(complete(10, { upstream(1, 3), upstream(2, 4) }), now);
    directory.apply(delta(10, 11, { removal(2, 11) }), now);
    directory.apply(complete(20, { upstream(1, 3) }), now);
    directory.apply(complete(15, { upstream(1, 3), upstream(3, 12) }), now);
    CHECK_FALSE(holds(3));
    // The former removal of this entry is known, the latter one is not.
    directory.apply(delta(11, 15, { upstream(2, 13) }), now);
    CHECK_FALSE(holds(2));
    CHECK(holds(1));
}

TEST_GROUP(DirectoryEra)
{
    using Position = version::StorePosition;

    Directory directory;
    common::TimePoint now { 100s };

    static Position at(std::uint64_t era, std::uint64_t revision)
    {
        return { common::StoreEra(era), StoreRevision(revision) };
    }

    static UpstreamRecord record(std::uint64_t serial, bool isDraining = false,
                                 std::uint64_t incarnation = 1)
    {
        return { .serial = common::UpstreamSerial(serial),
                 .draining = isDraining,
                 .incarnation = common::Incarnation(incarnation) };
    }

    static DirectoryChange upstream(const UpstreamRecord &upstream, const Position &position)
    {
        return { version::keyOf(upstream), position, upstream };
    }

    static DirectoryChange removal(std::uint64_t serial, const Position &position)
    {
        return { version::keyOf(record(serial)), position, version::RemovedRecord {} };
    }

    static DirectoryChange rules(std::uint64_t version, const Position &position)
    {
        const version::RulesRecord rules { .version = version };
        return { version::keyOf(rules), position, rules };
    }

    std::vector<version::EntryKey> read(const Position &to, std::vector<DirectoryChange> changes)
    {
        return directory.apply({ {}, to, true, std::move(changes) }, now);
    }

    std::vector<version::EntryKey> watch(const Position &to, std::vector<DirectoryChange> changes)
    {
        return directory.apply({ .from = directory.position(),
                                 .to = to,
                                 .changes = std::move(changes),
                                 .holdsEachChange = true },
                               now);
    }

    static const UpstreamRecord *find(const Directory &directory, std::uint64_t serial)
    {
        const auto found = directory.entries().find(version::keyOf(record(serial)));
        return found == directory.entries().end()
                ? nullptr
                : std::get_if<UpstreamRecord>(&found->second.value);
    }

    bool holds(std::uint64_t serial) const
    {
        return find(directory, serial) != nullptr;
    }

    bool isDraining(std::uint64_t serial) const
    {
        return find(directory, serial)->draining;
    }

    void endHold()
    {
        now += Directory::HoldPeriod;
        directory.releaseHeld(now);
    }
};

// Guards against a contract that is refused for good because it is written again under a lower
// revision, and against the older one of the copy.
TEST(DirectoryEra, contractNeverGoesBackAndIsTakenUnderALowerRevision)
{
    read(at(1, 100), { rules(7, at(1, 90)) });
    read(at(2, 60), { rules(5, at(2, 50)) });
    LONGS_EQUAL(7, directory.rules()->version);
    endHold();
    LONGS_EQUAL(7, directory.rules()->version);
    watch(at(2, 61), { rules(7, at(2, 61)) });
    watch(at(2, 62), { rules(8, at(2, 62)) });
    LONGS_EQUAL(8, directory.rules()->version);
    read(at(3, 20), {});
    endHold();
    LONGS_EQUAL(8, directory.rules()->version);
}

// Guards against new flows to a drained or removed upstream because the copy is older, and against
// the loss of upstreams that the copy lacks.
TEST(DirectoryEra, copyIsHeldOffUntilTheHoldEnds)
{
    read(at(1, 100),
         { upstream(record(1, true), at(1, 95)), upstream(record(2), at(1, 20)),
           upstream(record(3), at(1, 96)) });
    watch(at(1, 101), { removal(2, at(1, 101)) });
    const auto changed =
            read(at(2, 60), { upstream(record(1), at(2, 50)), upstream(record(2), at(2, 20)) });
    LONGS_EQUAL(0, changed.size());
    CHECK_TRUE(isDraining(1));
    CHECK_FALSE(holds(2));
    CHECK_TRUE(holds(3));
    LONGS_EQUAL(3, directory.heldCount());
    now += Directory::HoldPeriod - 1ms;
    LONGS_EQUAL(0, directory.releaseHeld(now).size());
    now += 1ms;
    LONGS_EQUAL(3, directory.releaseHeld(now).size());
    CHECK_FALSE(isDraining(1));
    CHECK_TRUE(holds(2));
    CHECK_FALSE(holds(3));
    CHECK_FALSE(directory.isHolding());
}

// Guards against a change of operators or upstreams that waits for the end of the hold.
TEST(DirectoryEra, writeAfterTheReadCountsAtOnce)
{
    read(at(1, 100), { upstream(record(1), at(1, 95)), upstream(record(2), at(1, 96)) });
    read(at(2, 60), {});
    watch(at(2, 62), { upstream(record(1, true), at(2, 61)), removal(2, at(2, 62)) });
    CHECK_TRUE(isDraining(1));
    CHECK_FALSE(holds(2));
    endHold();
    CHECK_TRUE(isDraining(1));
    CHECK_FALSE(holds(2));
}

// Guards against an upstream that stays as it was although the read shows a later state of it: it
// was written between the return of the store and the read.
TEST(DirectoryEra, laterStatesInTheReadCountAtOnce)
{
    read(at(1, 100), { upstream(record(1), at(1, 95)), upstream(record(2), at(1, 96)) });
    read(at(2, 60),
         { upstream(record(1, true), at(2, 58)), upstream(record(2, false, 2), at(2, 59)),
           upstream(record(3), at(2, 60)) });
    CHECK_TRUE(isDraining(1));
    LONGS_EQUAL(2, find(directory, 2)->incarnation.value());
    CHECK_TRUE(holds(3));
    LONGS_EQUAL(0, directory.heldCount());
}

// Guards against two values that are taken for one because the store has given a revision out
// twice.
TEST(DirectoryEra, revisionThatIsGivenOutTwiceNamesTwoValues)
{
    read(at(1, 100), { upstream(record(1), at(1, 95)) });
    watch(at(1, 101), { upstream(record(1, true), at(1, 101)) });
    read(at(2, 100), { upstream(record(1), at(2, 95)) });
    LONGS_EQUAL(1, watch(at(2, 101), { upstream(record(1, false, 2), at(2, 101)) }).size());
    CHECK_FALSE(isDraining(1));
    LONGS_EQUAL(2, find(directory, 1)->incarnation.value());
}

// Guards against a peer that missed the return of the store and overrides what is known since.
TEST(DirectoryEra, changesOfAFormerEraAreIgnored)
{
    read(at(1, 100), { upstream(record(1), at(1, 95)) });
    read(at(2, 60), { upstream(record(1), at(2, 60)) });
    read(at(1, 500), { upstream(record(1, true), at(1, 400)), upstream(record(2), at(1, 401)) });
    CHECK(directory.position() == at(2, 60));
    CHECK_FALSE(isDraining(1));
    CHECK_FALSE(holds(2));
}

// Guards against instances that learn of the era from a peer and trust the copy, or never give up
// what they hold.
TEST(DirectoryEra, peersHoldWhatTheSenderHolds)
{
    const std::vector known { upstream(record(1, true), at(1, 95)), upstream(record(2), at(1, 96)),
                              upstream(record(3), at(1, 10)) };
    Directory peer;
    peer.apply({ {}, at(1, 100), true, known }, now);
    read(at(1, 100), known);
    read(at(2, 60), { upstream(record(1), at(2, 50)), upstream(record(3), at(2, 10)) });
    Directory starting;
    starting.apply(directory.changesSince({}, now), now);
    const auto delta = directory.changesSince(at(1, 100), now);
    CHECK_FALSE(delta.complete);
    // Two entries, as known and as in the copy. The third one is the same in both eras.
    LONGS_EQUAL(4, delta.changes.size());
    peer.apply(delta, now);
    for (auto *receiver : { &peer, &starting }) {
        CHECK(receiver->position() == at(2, 60));
        CHECK_TRUE(find(*receiver, 1)->draining);
        CHECK(find(*receiver, 2) != nullptr);
        CHECK(find(*receiver, 3) != nullptr);
        LONGS_EQUAL(2, receiver->releaseHeld(now + Directory::HoldPeriod).size());
        CHECK_FALSE(find(*receiver, 1)->draining);
        CHECK(find(*receiver, 2) == nullptr);
    }
}

// Guards against an upstream that counts as cold again because the copy shows its first record.
TEST(DirectoryEra, copyDoesNotMakeAnUpstreamColdAgain)
{
    auto cold = record(1);
    cold.coldFor = 2s;
    read(at(1, 100), { upstream(cold, at(1, 95)) });
    now += 1500ms;
    read(at(2, 95), { upstream(cold, at(2, 95)) });
    const auto changes = directory.changesSince({}, now).changes;
    LONGS_EQUAL(500'000, std::get<UpstreamRecord>(changes.front().value).coldFor.count());
}

// Guards against values of an earlier copy that stay when the store comes back a second time.
TEST(DirectoryEra, secondCopyReplacesTheFirst)
{
    read(at(1, 100), { upstream(record(1, true), at(1, 95)), upstream(record(2), at(1, 96)) });
    read(at(2, 60), { upstream(record(1), at(2, 50)) });
    now += 2s;
    read(at(3, 96), { upstream(record(1, true), at(3, 95)) });
    endHold();
    CHECK_TRUE(isDraining(1));
    CHECK_FALSE(holds(2));
}

// Guards against an upstream that stays for ever. It is written again and removed while it is held,
// which this instance skips by a read, and a late answer brings the write only.
TEST(DirectoryEra, lateAnswerBringsNoHeldEntryBack)
{
    read(at(1, 100), { upstream(record(1), at(1, 95)) });
    read(at(2, 60), {});
    read(at(2, 70), {});
    const auto late = upstream(record(1, true), at(2, 62));
    directory.apply({ .from = at(2, 60), .to = at(2, 65), .changes = { late } }, now);
    endHold();
    CHECK_FALSE(holds(1));
}

// Guards against an entry that refuses later writes, because it gets a revision in the new era that
// the store has not reached. The sender knows the same value since an earlier write.
TEST(DirectoryEra, sameEntryGetsNoRevisionAheadOfTheStore)
{
    Directory peer;
    peer.apply({ {}, at(1, 25), true, { upstream(record(1), at(1, 24)) } }, now);
    read(at(1, 20), { upstream(record(1), at(1, 16)) });
    watch(at(1, 25), { upstream(record(1), at(1, 24)) });
    read(at(2, 19), { upstream(record(1), at(2, 16)) });
    peer.apply(directory.changesSince(at(1, 25), now), now);
    CHECK(peer.position() == at(2, 19));
    watch(at(2, 20), { removal(1, at(2, 20)) });
    peer.apply(directory.changesSince(at(2, 19), now), now);
    CHECK(find(peer, 1) == nullptr);
}
