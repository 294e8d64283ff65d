#include "tools/relayloop.h"

namespace banyanwall::tools {

RelayLoop::RelayLoop(boost::asio::io_context &context, const Addresses &addresses)
    : m_upstreamSide(context, addresses.upstreamListen,
                     [this, fabric = addresses.fabric](std::string_view bytes, common::Endpoint) {
                         m_fabricSide.send(bytes, fabric);
                     })
    , m_fabricSide(context, addresses.fabricListen,
                   [this, upstream = addresses.upstream](std::string_view bytes, common::Endpoint) {
                       m_upstreamSide.send(bytes, upstream);
                   })
{ }

} // namespace banyanwall::tools
