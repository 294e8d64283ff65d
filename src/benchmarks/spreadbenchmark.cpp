#include "common/hash.h"
#include "process/cataloguesync.h"
#include "wire/peercodec.h"

#include <algorithm>
#include <deque>
#include <iostream>
#include <memory>
#include <vector>

/// Measures the dissemination of one contract change: the catalogue messages that the instances
/// send after one of them has received the change from the store, for fleets of 16 to 260
/// instances. The contract has 60 upstreams. The messages of the daemon's classes are delivered in
/// process, one by one. Prints
///   capacity.change_bytes n=<instances> value=<signed bytes sent, mean per instance>
///   change.reached n=<instances> value=<instances that have the new contract at the end>
///   change.document_bytes value=<size of the contract document>
namespace banyanwall::benchmarks {

using common::InstanceId;
using common::TimePoint;

namespace {

constexpr auto Start = TimePoint(std::chrono::seconds(1'000));
constexpr std::size_t ZoneCount = 4;
constexpr std::size_t UpstreamCount = 60;

std::string contractValue(std::uint64_t revision)
{
    std::string toml = "customer = \"bench\"\nzones = [\"a\"]\n[[service]]\nname = \"s\"\n"
                       "address = \"127.0.0.1:7001\"\nslots_per_upstream = 3\n"
                       "connections_per_upstream = 4400\nrequests_per_second = 600\n"
                       "longest_request_ms = 10000\nusual_latency_ms = 50\nidle_limit_s = 60\n"
                       "[[service.group]]\nname = \"current\"\nupstream = [\n";
    for (std::size_t index = 0; index < UpstreamCount; ++index) {
        toml += "{ name = \"u" + std::to_string(index) + "\", zone = \"a\", address = \"127.0.0.1:"
                + std::to_string(9'000 + index) + "\" },\n";
    }
    version::ContractDocument document;
    document.version = revision;
    document.toml = toml + "]\n";
    document.author = "bench";
    return version::formatContractForInstances(document);
}

struct Message
{
    InstanceId sender;
    InstanceId receiver;
    wire::proto::PeerMessage content;
    std::size_t bytes = 0;
};

/// Queues the messages of one instance, and signs them as on the wire to count their bytes.
class QueueingSink : public process::PeerSink
{
public:
    QueueingSink(InstanceId self, std::deque<Message> &queue)
        : m_self(self)
        , m_queue(queue)
        , m_codec(self, common::Incarnation(1), { { 1, "key" } }, 1)
    { }

    void toPeer(InstanceId peer, const wire::proto::PeerMessage &message) override
    {
        m_queue.push_back({ m_self, peer, message, m_codec.encode(message).size() });
    }

    void toAddress(common::Endpoint, const wire::proto::PeerMessage &) override { }

private:
    InstanceId m_self;
    std::deque<Message> &m_queue;
    wire::PeerCodec m_codec;
};

/// The catalogue of one instance, with the classes that it depends on.
class CatalogueInstance
{
public:
    CatalogueInstance(InstanceId id, common::ZoneId zone, std::deque<Message> &queue)
        : m_sink(id, queue)
        , m_router(id, zone)
        , m_coordinator(id.value())
        , m_rollouts(id)
        , m_applier({ m_directory, m_router, m_coordinator, m_rollouts })
        , m_membership(
                  process::Membership(id, common::Incarnation(1), zone,
                                      { 0x7f000001, static_cast<std::uint16_t>(id.value()) }),
                  {}, m_sink, [](const auto &) {}, [](const auto &, TimePoint) {})
        , m_catalogue(m_applier, m_membership, m_sink)
    { }

    process::MembershipDriver &membership() { return m_membership; }

    process::CatalogueSync &catalogue() { return m_catalogue; }

private:
    QueueingSink m_sink;
    process::ServiceDirectory m_directory;
    connection::FlowRouter m_router;
    request::Coordinator m_coordinator;
    process::RolloutTracker m_rollouts;
    process::DocumentApplier m_applier;
    process::MembershipDriver m_membership;
    process::CatalogueSync m_catalogue;
};

void receive(process::CatalogueSync &catalogue, const Message &message)
{
    if (message.content.has_catalogue_summary()) {
        catalogue.onSummary(message.sender, message.content.catalogue_summary());
    } else if (message.content.has_catalogue_offer()) {
        catalogue.onOffer(message.sender, message.content.catalogue_offer(), Start);
    } else if (message.content.has_catalogue_fetch()) {
        catalogue.onFetch(message.sender, message.content.catalogue_fetch());
    } else if (message.content.has_catalogue_push()) {
        catalogue.onPush(message.sender, message.content.catalogue_push(), Start);
    }
}

void measureChange(std::size_t size)
{
    std::deque<Message> queue;
    std::vector<std::unique_ptr<CatalogueInstance>> instances;
    std::vector<process::MemberInfo> members;
    for (std::size_t index = 0; index < size; ++index) {
        process::MemberInfo info;
        info.id = InstanceId(static_cast<std::uint32_t>(index + 1));
        info.incarnation = common::Incarnation(1);
        info.zone = common::ZoneId(static_cast<std::uint32_t>(index % ZoneCount));
        info.peerAddress = { 0x7f000001, static_cast<std::uint16_t>(index + 1) };
        members.push_back(info);
        instances.push_back(std::make_unique<CatalogueInstance>(info.id, info.zone, queue));
    }
    for (auto &instance : instances) {
        instance->membership().applyStoreList(members, Start);
        instance->catalogue().onStoreRead({ { "contracts/bench", contractValue(1) } }, Start);
    }
    queue.clear();
    instances.front()->catalogue().onStoreValue("contracts/bench", contractValue(2), Start);
    std::size_t bytes = 0;
    while (!queue.empty()) {
        const auto message = std::move(queue.front());
        queue.pop_front();
        bytes += message.bytes;
        receive(instances[message.receiver.value() - 1]->catalogue(), message);
    }
    const auto reached = std::ranges::count_if(instances, [](const auto &instance) {
        const auto *document = instance->catalogue().catalogue().find("contracts/bench");
        return document != nullptr && document->version() == 2;
    });
    std::cout << "capacity.change_bytes n=" << size
              << " value=" << static_cast<double>(bytes) / static_cast<double>(size) << '\n'
              << "change.reached n=" << size << " value=" << reached << '\n';
}

} // namespace

} // namespace banyanwall::benchmarks

int main()
{
    for (const std::size_t size : { 16U, 64U, 130U, 260U }) {
        banyanwall::benchmarks::measureChange(size);
    }
    std::cout << "change.document_bytes value=" << banyanwall::benchmarks::contractValue(2).size()
              << '\n';
    return 0;
}
