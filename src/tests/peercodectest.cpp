#include "wire/peercodec.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using common::Incarnation;
using common::InstanceId;
using common::Reason;
using wire::PeerCodec;

namespace {

const std::map<std::uint32_t, std::string> OldAndNewKey { { 1, "first key" }, { 2, "second key" } };

wire::proto::PeerMessage heartbeat()
{
    wire::proto::PeerMessage message;
    message.mutable_heartbeat()->set_sequence(7);
    return message;
}

bool rejectedFor(const wire::Decoded<wire::VerifiedMessage> &decoded, Reason reason)
{
    const auto *actual = std::get_if<Reason>(&decoded);
    return actual != nullptr && *actual == reason;
}

} // namespace

TEST_GROUP(PeerCodec)
{
    PeerCodec sender { InstanceId(11), Incarnation(5), OldAndNewKey, 1 };
    PeerCodec receiver { InstanceId(12), Incarnation(5), OldAndNewKey, 2 };
};

// Guards against messages that lose content or sender on the way.
TEST(PeerCodec, roundTripKeepsSenderAndBody)
{
    const auto decoded = receiver.decode(sender.encode(heartbeat()));
    CHECK_TRUE(common::isOk(decoded));
    CHECK_TRUE(common::valueOf(decoded).sender == InstanceId(11));
    LONGS_EQUAL(7, common::valueOf(decoded).message.heartbeat().sequence());
}

// Guards against a host outside the fleet changing state through the peer port.
TEST(PeerCodec, rejectsForeignKeyAndAlteredBytes)
{
    PeerCodec stranger(InstanceId(11), Incarnation(6), { { 1, "guessed key" } }, 1);
    CHECK_TRUE(rejectedFor(receiver.decode(stranger.encode(heartbeat())), Reason::BadSignature));

    wire::proto::PeerEnvelope envelope;
    envelope.ParseFromString(sender.encode(heartbeat()));
    envelope.set_sender(99);
    CHECK_TRUE(rejectedFor(receiver.decode(envelope.SerializeAsString()), Reason::BadSignature));
    envelope.set_key_id(3);
    CHECK_TRUE(rejectedFor(receiver.decode(envelope.SerializeAsString()), Reason::UnknownKey));
}

// Guards against a recorded message taking effect a second time.
TEST(PeerCodec, rejectsReplaysAndFormerIncarnations)
{
    const auto first = sender.encode(heartbeat());
    const auto second = sender.encode(heartbeat());
    CHECK_TRUE(common::isOk(receiver.decode(second)));
    CHECK_TRUE(common::isOk(receiver.decode(first)));
    CHECK_TRUE(rejectedFor(receiver.decode(first), Reason::ReplayedMessage));

    PeerCodec restarted(InstanceId(11), Incarnation(6), OldAndNewKey, 1);
    CHECK_TRUE(common::isOk(receiver.decode(restarted.encode(heartbeat()))));
    CHECK_TRUE(rejectedFor(receiver.decode(sender.encode(heartbeat())), Reason::ReplayedMessage));
}

// Guards against a crash or acceptance of cut-off input.
TEST(PeerCodec, rejectsEveryTruncation)
{
    const auto whole = sender.encode(heartbeat());
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK_FALSE(common::isOk(receiver.decode(whole.substr(0, length))));
    }
}
