#pragma once

#include "common/endpoint.h"
#include "tools/udpport.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>

namespace banyanwall::tools {

/// Forwards datagrams between two fixed endpoints without parsing them. Every load balancer does at
/// least this work for a packet, so the relay benchmark uses it as its baseline.
class RelayLoop
{
public:
    struct Addresses
    {
        /// Local endpoint that receives packets from the fabric and sends answers to the fabric.
        common::Endpoint fabricListen;
        common::Endpoint fabric;
        /// Local endpoint that sends packets to the upstream and receives its answers.
        common::Endpoint upstreamListen;
        common::Endpoint upstream;
    };

    RelayLoop(boost::asio::io_context &context, const Addresses &addresses);

private:
    UdpPort m_upstreamSide;
    UdpPort m_fabricSide;
};

} // namespace banyanwall::tools
