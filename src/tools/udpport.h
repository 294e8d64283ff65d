#pragma once

#include "common/endpoint.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace banyanwall::tools {

/// A bound UDP socket that hands each received datagram to a handler on the thread of the
/// io_context. Closes the socket when destroyed.
class UdpPort
{
public:
    using Handler = std::function<void(std::string_view bytes, common::Endpoint sender)>;

    /// Port 0 in local picks a free port. Throws boost::system::system_error when local is in use.
    UdpPort(boost::asio::io_context &context, common::Endpoint local, Handler handler);
    ~UdpPort();
    UdpPort(const UdpPort &) = delete;
    UdpPort &operator=(const UdpPort &) = delete;

    /// Returns false when the kernel did not accept the datagram.
    bool send(std::string_view bytes, common::Endpoint receiver);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace banyanwall::tools
