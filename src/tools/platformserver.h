#pragma once

#include "common/endpoint.h"
#include "common/time.h"
#include "tools/platformapi.h"
#include "tools/platformstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace banyanwall::tools {

/// Faults that a test or a script switches on.
struct PlatformFaults
{
    /// Connections are closed without a response, watches included.
    bool down = false;
    /// A call takes effect at once; the response is sent after this time.
    std::chrono::milliseconds slow { 0 };
    /// Number of next calls that take effect, but whose connection is closed without a response.
    std::uint32_t loseNextAnswers = 0;
    /// Kind of call, as in GET /counts, to which loseNextAnswers applies; empty for every kind.
    std::string loseKind {};
    /// Calls per second beyond which a call gets status 429; 0 for no limit.
    std::uint32_t rateLimit = 0;
};

struct PlatformOptions
{
    /// Port 0 selects a free port.
    common::Endpoint listen;
    /// Age of the list of instances that GET /instances returns.
    std::chrono::milliseconds listLag { 0 };
};

class PlatformSession;

/// Stand-in for the platform's key-value service and list of instances, over HTTP.
///
/// Besides the calls of the store it serves GET /instances (the list as it was
/// PlatformOptions::listLag ago; ?lag=0 gives the present list), GET /counts (calls of each kind),
/// and GET and POST /faults.
class PlatformServer
{
public:
    using Clock = std::function<common::TimePoint()>;
    using Counts = std::map<std::string, std::uint64_t>;

    /// Throws boost::system::system_error when the address is in use.
    PlatformServer(boost::asio::io_context &context, const PlatformOptions &options, Clock clock);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    [[nodiscard]] common::Endpoint address() const;

    [[nodiscard]] const PlatformStore &store() const { return m_store; }

    [[nodiscard]] const Counts &counts() const { return m_counts; }

    [[nodiscard]] std::size_t openWatches() const { return m_watches.size(); }

    void setFaults(const PlatformFaults &faults);
    /// Open watches stay connected, but the server sends nothing more on them.
    void stallWatches();
    /// Expires leases and notifies the watches. A timer does so too, unless the server is down.
    void expireLeases();

private:
    friend class PlatformSession;

    /// Outcome of a call, which the session sends to the client.
    struct CallResult
    {
        ApiResponse response;
        /// The connection is closed without a response.
        bool isLost = false;
        /// Time until the response or the close.
        std::chrono::milliseconds delay { 0 };
    };

    void accept();
    void scheduleTick();
    void tick();
    CallResult handleCall(bool isGet, const std::string &target, const std::string &body);
    CallResult handleStoreCall(const std::string &kind, const std::string &target,
                               const std::string &body);
    ApiResponse handleControlCall(bool isGet, const std::string &target, const std::string &body);
    ApiResponse changeFaults(const std::string &body);
    [[nodiscard]] std::string countsJson() const;
    [[nodiscard]] std::string faultsJson() const;
    /// Returns false when the call exceeds the rate limit.
    bool countCall(const std::string &kind);
    /// Returns true, and counts down loseNextAnswers, when the call gets no response.
    bool takeLostAnswer(const std::string &kind);
    void notifyWatches();

    boost::asio::io_context &m_context;
    std::chrono::milliseconds m_listLag;
    Clock m_clock;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    PlatformStore m_store;
    PlatformApi m_api { m_store };
    PlatformFaults m_faults;
    Counts m_counts;
    common::TimePoint m_rateWindowStart;
    std::uint32_t m_callsInWindow = 0;
    std::uint32_t m_ticks = 0;
    std::set<std::shared_ptr<PlatformSession>> m_sessions;
    std::set<std::shared_ptr<PlatformSession>> m_watches;
};

} // namespace banyanwall::tools
