#pragma once

#include "common/endpoint.h"
#include "tools/udpport.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>

namespace banyanwall::tools {

/// Forwards datagrams between two fixed endpoints without looking into them: the least that any
/// load balancer does with a packet, as the baseline of the relay benchmark.
class RelayLoop
{
public:
    struct Addresses
    {
        /// Listens for packets from the fabric, and sends answers from there.
        common::Endpoint fabricListen;
        common::Endpoint fabric;
        /// Sends to the upstream from there, and listens for its answers.
        common::Endpoint upstreamListen;
        common::Endpoint upstream;
    };

    RelayLoop(boost::asio::io_context &context, const Addresses &addresses);

private:
    UdpPort m_upstreamSide;
    UdpPort m_fabricSide;
};

} // namespace banyanwall::tools
