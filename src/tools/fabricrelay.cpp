#include "tools/fabricrelay.h"

#include "wire/datagram.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <sstream>

namespace banyanwall::tools {

FabricRelay::FabricRelay(boost::asio::io_context &context,
                         const std::vector<common::Endpoint> &services, common::Endpoint reply,
                         FaultRates rates, std::uint64_t seed)
    : m_context(context)
    , m_faults(rates, seed)
{
    for (const auto service : services) {
        m_services[service] = std::make_unique<UdpPort>(
                context, service, [this, service](std::string_view bytes, common::Endpoint caller) {
                    onCallerDatagram(bytes, caller, service);
                });
    }
    m_reply = std::make_unique<UdpPort>(
            context, reply, [this](std::string_view bytes, common::Endpoint) { onReply(bytes); });
}

void FabricRelay::setInstances(std::vector<common::Endpoint> instances)
{
    m_instances = std::move(instances);
}

void FabricRelay::onCallerDatagram(std::string_view bytes, common::Endpoint caller,
                                   common::Endpoint service)
{
    ++m_counters.fromCallers;
    if (m_instances.empty()) {
        ++m_counters.noInstance;
        return;
    }
    wire::proto::FabricFrame frame;
    frame.set_caller_address(caller.address);
    frame.set_caller_port(caller.port);
    frame.set_service_address(service.address);
    frame.set_service_port(service.port);
    frame.set_payload(bytes.data(), bytes.size());
    const auto receiver = m_instances[m_faults.pickIndex(m_instances.size())];
    sendWithFaults(*m_reply, wire::encode(std::move(frame)), receiver, m_counters.toInstances);
}

void FabricRelay::onReply(std::string_view bytes)
{
    ++m_counters.fromInstances;
    const auto decoded = wire::decodeFabricFrame(bytes);
    if (!common::isOk(decoded)) {
        ++m_counters.malformedReplies;
        return;
    }
    const auto &frame = common::valueOf(decoded);
    const auto service = m_services.find(wire::serviceAddressOf(frame));
    if (service == m_services.end()) {
        ++m_counters.unknownService;
        return;
    }
    sendWithFaults(*service->second, frame.payload(), wire::callerOf(frame), m_counters.toCallers);
}

void FabricRelay::sendWithFaults(UdpPort &port, const std::string &bytes, common::Endpoint receiver,
                                 std::uint64_t &counter)
{
    for (const auto delay : m_faults.nextDelays()) {
        if (delay == common::Duration::zero()) {
            sendNow(port, bytes, receiver, counter);
            continue;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
        timer->async_wait(
                [this, timer, &port, bytes, receiver, &counter](boost::system::error_code error) {
                    if (!error) {
                        sendNow(port, bytes, receiver, counter);
                    }
                });
    }
}

void FabricRelay::sendNow(UdpPort &port, const std::string &bytes, common::Endpoint receiver,
                          std::uint64_t &counter)
{
    ++(port.send(bytes, receiver) ? counter : m_counters.sendFailures);
}

std::string FabricRelay::report() const
{
    const auto &faults = m_faults.counters();
    std::ostringstream line;
    line << "from_callers=" << m_counters.fromCallers << " to_instances=" << m_counters.toInstances
         << " from_instances=" << m_counters.fromInstances << " to_callers=" << m_counters.toCallers
         << " no_instance=" << m_counters.noInstance
         << " malformed_replies=" << m_counters.malformedReplies
         << " unknown_service=" << m_counters.unknownService
         << " send_failures=" << m_counters.sendFailures << " dropped=" << faults.dropped
         << " duplicated=" << faults.duplicated << " delayed=" << faults.delayed
         << " reordered=" << faults.reordered;
    return line.str();
}

std::vector<common::Endpoint> fabricEndpoints(std::string_view json)
{
    boost::system::error_code error;
    const auto parsed = boost::json::parse(json, error);
    std::vector<common::Endpoint> endpoints;
    const auto *object = error ? nullptr : parsed.if_object();
    const auto *list = object == nullptr ? nullptr : object->if_contains("instances");
    if (list == nullptr || !list->is_array()) {
        return endpoints;
    }
    for (const auto &entry : list->get_array()) {
        const auto *instance = entry.if_object();
        const auto *fabric = instance == nullptr ? nullptr : instance->if_contains("fabric");
        const auto *leaving = instance == nullptr ? nullptr : instance->if_contains("leaving");
        if (fabric == nullptr || !fabric->is_string()
            || (leaving != nullptr && leaving->is_bool() && leaving->get_bool())) {
            continue;
        }
        if (const auto endpoint = common::parseEndpoint(fabric->get_string())) {
            endpoints.push_back(*endpoint);
        }
    }
    return endpoints;
}

} // namespace banyanwall::tools
