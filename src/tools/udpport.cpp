#include "tools/udpport.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include <vector>

namespace banyanwall::tools {

using boost::asio::ip::udp;

namespace {

/// Bursts of answer fragments overflow the default receive buffer of 208 KB.
constexpr int SocketBufferBytes = 4 << 20;
constexpr std::size_t MaxDatagramBytes = 65536;
/// Datagrams read in a row before the io_context handles other events.
constexpr int MaxBatchDatagrams = 64;

udp::endpoint toAsio(common::Endpoint endpoint)
{
    return { boost::asio::ip::address_v4(endpoint.address), endpoint.port };
}

common::Endpoint fromAsio(const udp::endpoint &endpoint)
{
    return { endpoint.address().to_v4().to_uint(), endpoint.port() };
}

} // namespace

struct UdpPort::State : std::enable_shared_from_this<State>
{
    State(boost::asio::io_context &context, common::Endpoint local, Handler receiver)
        : socket(context, udp::v4())
        , handler(std::move(receiver))
        , buffer(MaxDatagramBytes)
    {
        socket.set_option(udp::socket::receive_buffer_size(SocketBufferBytes));
        socket.set_option(udp::socket::send_buffer_size(SocketBufferBytes));
        socket.bind(toAsio(local));
        socket.non_blocking(true);
    }

    void wait()
    {
        socket.async_wait(udp::socket::wait_read,
                          [self = shared_from_this()](boost::system::error_code error) {
                              if (!error && self->socket.is_open()) {
                                  self->readBatch();
                              }
                          });
    }

    void readBatch()
    {
        for (int count = 0; count < MaxBatchDatagrams && socket.is_open(); ++count) {
            boost::system::error_code error;
            udp::endpoint sender;
            const auto size = socket.receive_from(boost::asio::buffer(buffer), sender, 0, error);
            if (error == boost::asio::error::would_block) {
                break;
            }
            // connection_refused means that an earlier datagram was sent to a closed port. It does
            // not concern the datagrams received here.
            if (!error) {
                handler({ buffer.data(), size }, fromAsio(sender));
            }
        }
        if (socket.is_open()) {
            wait();
        }
    }

    udp::socket socket;
    Handler handler;
    std::vector<char> buffer;
};

UdpPort::UdpPort(boost::asio::io_context &context, common::Endpoint local, Handler handler)
    : m_state(std::make_shared<State>(context, local, std::move(handler)))
{
    m_state->wait();
}

UdpPort::~UdpPort()
{
    boost::system::error_code ignored;
    m_state->socket.close(ignored);
}

bool UdpPort::send(std::string_view bytes, common::Endpoint receiver)
{
    boost::system::error_code error;
    m_state->socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), toAsio(receiver), 0,
                            error);
    return !error;
}

} // namespace banyanwall::tools
