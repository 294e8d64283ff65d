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

bool isRejectedFor(const wire::Decoded<wire::VerifiedMessage> &decoded, Reason reason)
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

// Guards against messages that lose their sender or content.
TEST(PeerCodec, roundTripKeepsSenderAndBody)
{
    const auto decoded = receiver.decode(sender.encode(heartbeat()));
    CHECK_TRUE(common::isOk(decoded));
    CHECK_TRUE(common::valueOf(decoded).sender == InstanceId(11));
    LONGS_EQUAL(7, common::valueOf(decoded).message.heartbeat().sequence());
}

// Guards against a host without the shared keys that changes the state of an instance through the
// peer port.
TEST(PeerCodec, rejectsForeignKeyAndAlteredBytes)
{
    PeerCodec foreignSender(InstanceId(11), Incarnation(6), { { 1, "guessed key" } }, 1);
    CHECK_TRUE(isRejectedFor(receiver.decode(foreignSender.encode(heartbeat())),
                             Reason::BadSignature));

    wire::proto::PeerEnvelope envelope;
    envelope.ParseFromString(sender.encode(heartbeat()));
    envelope.set_sender(99);
    CHECK_TRUE(isRejectedFor(receiver.decode(envelope.SerializeAsString()), Reason::BadSignature));
    envelope.set_key_id(3);
    CHECK_TRUE(isRejectedFor(receiver.decode(envelope.SerializeAsString()), Reason::UnknownKey));
}

// Guards against a recorded message that takes effect a second time when it is replayed.
TEST(PeerCodec, rejectsReplaysAndFormerIncarnations)
{
    const auto first = sender.encode(heartbeat());
    const auto second = sender.encode(heartbeat());
    CHECK_TRUE(common::isOk(receiver.decode(second)));
    CHECK_TRUE(common::isOk(receiver.decode(first)));
    CHECK_TRUE(isRejectedFor(receiver.decode(first), Reason::ReplayedMessage));

    PeerCodec restarted(InstanceId(11), Incarnation(6), OldAndNewKey, 1);
    CHECK_TRUE(common::isOk(receiver.decode(restarted.encode(heartbeat()))));
    CHECK_TRUE(isRejectedFor(receiver.decode(sender.encode(heartbeat())), Reason::ReplayedMessage));
}

// Guards against truncated input that causes a crash or is accepted.
TEST(PeerCodec, rejectsEveryTruncation)
{
    const auto whole = sender.encode(heartbeat());
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK_FALSE(common::isOk(receiver.decode(whole.substr(0, length))));
    }
}
