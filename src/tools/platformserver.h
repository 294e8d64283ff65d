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

/// Faults that the stand-in shows on request.
struct PlatformFaults
{
    /// Connections are closed without an answer, watches included.
    bool down = false;
    /// Calls take effect at once and are answered after this time.
    std::chrono::milliseconds slow { 0 };
    /// So many of the next calls take effect and lose their answer.
    std::uint32_t loseNextAnswers = 0;
    /// Kind of call, as in the counts, that loses answers; empty for every kind.
    std::string loseKind {};
    /// Calls a second beyond which the answer is 429; 0 for no limit.
    std::uint32_t rateLimit = 0;
};

struct PlatformOptions
{
    /// Port 0 takes a free one.
    common::Endpoint listen;
    /// Age of the list of instances.
    std::chrono::milliseconds listLag { 0 };
};

class PlatformSession;

/// Stand-in for the platform's key-value service and list of instances, over HTTP.
///
/// Besides the calls of the store: GET /instances (the lagging list; ?lag=0 gives the present one),
/// GET /counts (calls of each kind), GET and POST /faults.
class PlatformServer
{
public:
    using Clock = std::function<common::TimePoint()>;
    using Counts = std::map<std::string, std::uint64_t>;

    PlatformServer(boost::asio::io_context &context, const PlatformOptions &options, Clock clock);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    [[nodiscard]] common::Endpoint address() const;

    [[nodiscard]] const PlatformStore &store() const { return m_store; }

    [[nodiscard]] const Counts &counts() const { return m_counts; }

    [[nodiscard]] std::size_t openWatches() const { return m_watches.size(); }

    void setFaults(const PlatformFaults &faults);
    /// Open watches stay connected and send nothing more.
    void silenceWatches();
    /// Expires leases and informs watches; also done by a timer.
    void expireLeases();

private:
    friend class PlatformSession;

    /// What a session does with a call.
    struct Ruling
    {
        ApiAnswer answer;
        /// The connection is closed instead of the answer.
        bool lost = false;
        std::chrono::milliseconds delay { 0 };
    };

    void accept();
    void scheduleTick();
    void tick();
    Ruling rule(bool isGet, const std::string &target, const std::string &body);
    Ruling ruleStoreCall(const std::string &kind, const std::string &target,
                         const std::string &body);
    ApiAnswer control(bool isGet, const std::string &target, const std::string &body);
    ApiAnswer changeFaults(const std::string &body);
    [[nodiscard]] std::string countsText() const;
    [[nodiscard]] std::string faultsText() const;
    bool countCall(const std::string &kind);
    bool losesAnswer(const std::string &kind);
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
    common::TimePoint m_rateWindow;
    std::uint32_t m_callsInWindow = 0;
    std::uint32_t m_ticks = 0;
    std::set<std::shared_ptr<PlatformSession>> m_sessions;
    std::set<std::shared_ptr<PlatformSession>> m_watches;
};

} // namespace banyanwall::tools
