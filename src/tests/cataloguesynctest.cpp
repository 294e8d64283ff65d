#include "process/cataloguesync.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using common::InstanceId;
using common::TimePoint;
using wire::proto::PeerMessage;

namespace {

const TimePoint Start { std::chrono::seconds(100) };
const InstanceId Self(1);
const InstanceId FirstNeighbour(2);
const InstanceId SecondNeighbour(3);
const std::string Key = "zones";

struct RecordingSink : process::PeerSink
{
    void toPeer(InstanceId peer, const PeerMessage &message) override
    {
        sent.emplace_back(peer, message);
    }

    void toAddress(common::Endpoint, const PeerMessage &) override { }

    std::vector<std::pair<InstanceId, PeerMessage>> sent;
};

std::string zonesValue(std::uint64_t version)
{
    return version::formatZoneStates({ version, { { "a", false, 100 } } });
}

wire::proto::CatalogueOffer offerOf(std::uint64_t version)
{
    wire::proto::CatalogueOffer offer;
    offer.add_versions()->set_key_hash(version::Catalogue::keyHash(Key));
    offer.mutable_versions(0)->set_version(version);
    return offer;
}

} // namespace

TEST_GROUP(CatalogueSync)
{
    RecordingSink sink;
    process::ServiceDirectory directory;
    connection::FlowRouter router { Self, common::ZoneId(1) };
    request::Coordinator coordinator { 1 };
    process::RolloutTracker rollouts { Self };
    process::DocumentApplier applier { { directory, router, coordinator, rollouts } };
    process::MembershipDriver membership { process::Membership(Self, common::Incarnation(1),
                                                               common::ZoneId(1), { 1, 1 }),
                                           {},
                                           sink,
                                           [](const auto &) {},
                                           [](const auto &, TimePoint) {} };
    process::CatalogueSync sync { applier, membership, sink };

    void setup() override
    {
        std::vector<process::MemberInfo> listed;
        for (const auto id : { FirstNeighbour, SecondNeighbour }) {
            process::MemberInfo info;
            info.id = id;
            info.incarnation = common::Incarnation(1);
            info.zone = common::ZoneId(1);
            listed.push_back(info);
        }
        membership.applyStoreList(listed, Start);
        sync.onStoreRead({ { Key, zonesValue(1) } }, Start);
        sink.sent.clear();
    }

    std::size_t fetchesTo(InstanceId peer) const
    {
        return static_cast<std::size_t>(
                std::ranges::count_if(sink.sent, [peer](const auto &message) {
                    return message.first == peer && message.second.has_catalogue_fetch();
                }));
    }
};

// Guards against sending a new document to every neighbour: neighbours get its version, and the
// document only when they fetch it.
TEST(CatalogueSync, offersVersionsAndSendsTheDocumentOnRequest)
{
    CHECK_TRUE(sync.onStoreValue(Key, zonesValue(2), Start));
    LONGS_EQUAL(2, sink.sent.size());
    CHECK_TRUE(sink.sent.front().second.has_catalogue_offer());

    wire::proto::CatalogueFetch fetch;
    fetch.add_key_hashes(version::Catalogue::keyHash(Key));
    sync.onFetch(SecondNeighbour, fetch);
    CHECK_TRUE(sink.sent.back().first == SecondNeighbour);
    LONGS_EQUAL(2, sink.sent.back().second.catalogue_push().documents(0).version());
}

// Guards against fetching a document from every neighbour that offers it, and against waiting for a
// neighbour that failed after its offer.
TEST(CatalogueSync, fetchesFromOneNeighbourUntilTheFetchTimesOut)
{
    sync.onOffer(FirstNeighbour, offerOf(2), Start);
    sync.onOffer(SecondNeighbour, offerOf(2), Start + std::chrono::milliseconds(50));
    LONGS_EQUAL(1, fetchesTo(FirstNeighbour));
    LONGS_EQUAL(0, fetchesTo(SecondNeighbour));
    sync.onOffer(SecondNeighbour, offerOf(2), Start + process::CatalogueSync::FetchTimeout);
    LONGS_EQUAL(1, fetchesTo(SecondNeighbour));
}

// Guards against fetching, or going back to, a version that is not newer than the known one.
TEST(CatalogueSync, ignoresOffersOfKnownVersions)
{
    sync.onOffer(FirstNeighbour, offerOf(1), Start);
    LONGS_EQUAL(0, sink.sent.size());
}
