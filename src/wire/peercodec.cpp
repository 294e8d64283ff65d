#include "wire/peercodec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace banyanwall::wire {

using common::Reason;

namespace {

constexpr std::size_t MacBytes = 16;

std::string macOf(const proto::PeerEnvelope &envelope, const std::string &key)
{
    // The fields are signed in a fixed order instead of the encoded envelope, because protobuf does
    // not guarantee that all versions encode a message to the same bytes.
    std::string text;
    for (const std::uint64_t field :
         { std::uint64_t { envelope.version() }, std::uint64_t { envelope.sender() },
           std::uint64_t { envelope.sender_incarnation() }, std::uint64_t { envelope.sequence() },
           std::uint64_t { envelope.key_id() } }) {
        text.append(reinterpret_cast<const char *>(&field), sizeof field);
    }
    text += envelope.payload();
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &length);
    return { reinterpret_cast<const char *>(digest.data()), MacBytes };
}

} // namespace

PeerCodec::PeerCodec(common::InstanceId self, common::Incarnation incarnation,
                     std::map<std::uint32_t, std::string> keys, std::uint32_t signingKey)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_keys(std::move(keys))
    , m_signingKey(signingKey)
{ }

std::string PeerCodec::encode(const proto::PeerMessage &message)
{
    proto::PeerEnvelope envelope;
    envelope.set_version(FormatVersion);
    envelope.set_sender(m_self.value());
    envelope.set_sender_incarnation(m_incarnation.value());
    envelope.set_sequence(++m_sequence);
    envelope.set_key_id(m_signingKey);
    envelope.set_payload(message.SerializeAsString());
    envelope.set_mac(macOf(envelope, m_keys.at(m_signingKey)));
    return envelope.SerializeAsString();
}

Decoded<VerifiedMessage> PeerCodec::decode(std::string_view bytes)
{
    proto::PeerEnvelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return Reason::MalformedPacket;
    }
    if (envelope.version() != FormatVersion) {
        return Reason::UnsupportedVersion;
    }
    const auto key = m_keys.find(envelope.key_id());
    if (key == m_keys.end()) {
        return Reason::UnknownKey;
    }
    const auto expected = macOf(envelope, key->second);
    if (envelope.mac().size() != MacBytes
        || CRYPTO_memcmp(expected.data(), envelope.mac().data(), MacBytes) != 0) {
        return Reason::BadSignature;
    }
    if (!acceptSequence(envelope)) {
        return Reason::ReplayedMessage;
    }
    VerifiedMessage verified { common::InstanceId(envelope.sender()),
                               common::Incarnation(envelope.sender_incarnation()),
                               envelope.sequence(),
                               {} };
    if (!verified.message.ParseFromString(envelope.payload())
        || verified.message.body_case() == proto::PeerMessage::BODY_NOT_SET) {
        return Reason::MalformedPacket;
    }
    return verified;
}

bool PeerCodec::acceptSequence(const proto::PeerEnvelope &envelope)
{
    auto &window = m_windows[envelope.sender()];
    if (envelope.sender_incarnation() < window.incarnation) {
        return false;
    }
    if (envelope.sender_incarnation() > window.incarnation) {
        window = { envelope.sender_incarnation(), 0, 0 };
    }
    const auto sequence = envelope.sequence();
    if (sequence > window.newest) {
        const auto shift = sequence - window.newest;
        window.seen = shift >= ReplayWindow ? 0 : window.seen << shift;
        window.seen |= 1U;
        window.newest = sequence;
        return true;
    }
    const auto age = window.newest - sequence;
    const auto bit = std::uint64_t { 1 } << (age % ReplayWindow);
    if (age >= ReplayWindow || (window.seen & bit) != 0) {
        return false;
    }
    window.seen |= bit;
    return true;
}

} // namespace banyanwall::wire
