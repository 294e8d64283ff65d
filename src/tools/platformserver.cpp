#include "tools/platformserver.h"

#include "tools/platformsession.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace banyanwall::tools {

namespace json = boost::json;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds TickInterval { 100 };
// Watches that request progress notifications get one per second.
constexpr std::uint32_t TicksPerProgress = 10;

const std::map<std::string, std::string> KindOfTarget {
    { "/v3/kv/range", "range" },
    { "/v3/kv/txn", "txn" },
    { "/v3/lease/grant", "lease_grant" },
    { "/v3/lease/keepalive", "lease_keepalive" },
    { "/v3/lease/revoke", "lease_revoke" },
    { "/v3/watch", "watch" },
};

} // namespace

PlatformServer::PlatformServer(boost::asio::io_context &context, const PlatformOptions &options,
                               Clock clock)
    : m_context(context)
    , m_listLag(options.listLag)
    , m_clock(std::move(clock))
    , m_acceptor(context,
                 tcp::endpoint(boost::asio::ip::address_v4(options.listen.address),
                               options.listen.port))
    , m_timer(context)
{
    for (const auto &[target, kind] : KindOfTarget) {
        m_counts[kind] = 0;
    }
    accept();
    scheduleTick();
}

PlatformServer::~PlatformServer()
{
    // Iterates over a copy, because close() removes the session from m_sessions.
    const auto sessions = m_sessions;
    std::ranges::for_each(sessions, [](const auto &session) { session->close(); });
}

common::Endpoint PlatformServer::address() const
{
    const auto local = m_acceptor.local_endpoint();
    return { local.address().to_v4().to_uint(), local.port() };
}

void PlatformServer::setFaults(const PlatformFaults &faults)
{
    if (m_faults.down && !faults.down) {
        m_store.renewLeases(m_clock());
    }
    m_faults = faults;
    if (m_faults.down) {
        const auto watches = m_watches;
        std::ranges::for_each(watches, [](const auto &watch) { watch->close(); });
    }
}

void PlatformServer::stallWatches()
{
    std::ranges::for_each(m_watches, [](const auto &watch) { watch->stall(); });
}

void PlatformServer::expireLeases()
{
    m_store.expire(m_clock());
    notifyWatches();
}

void PlatformServer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        // Only the destructor of the server aborts the accept, so the server no longer exists.
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            socket.set_option(tcp::no_delay(true));
            auto session = std::make_shared<PlatformSession>(*this, std::move(socket));
            m_sessions.insert(session);
            session->start();
        }
        accept();
    });
}

void PlatformServer::scheduleTick()
{
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
            scheduleTick();
        }
    });
}

void PlatformServer::tick()
{
    if (!m_faults.down) {
        expireLeases();
    }
    if (++m_ticks % TicksPerProgress == 0) {
        const auto watches = m_watches;
        std::ranges::for_each(watches, [](const auto &watch) { watch->sendProgress(); });
    }
}

PlatformServer::CallResult PlatformServer::handleCall(bool isGet, const std::string &target,
                                                      const std::string &body)
{
    const auto kind = KindOfTarget.find(target);
    if (kind == KindOfTarget.end()) {
        return { handleControlCall(isGet, target, body) };
    }
    if (isGet) {
        return { { 405, "{\"error\":\"POST is required\"}" } };
    }
    return handleStoreCall(kind->second, target, body);
}

PlatformServer::CallResult PlatformServer::handleStoreCall(const std::string &kind,
                                                           const std::string &target,
                                                           const std::string &body)
{
    if (m_faults.down) {
        return { {}, true };
    }
    if (!countCall(kind)) {
        return { { 429, "{\"error\":\"rate limit\"}" } };
    }
    if (kind == "watch") {
        return {};
    }
    CallResult result { m_api.handle(target, body, m_clock()), takeLostAnswer(kind),
                        m_faults.slow };
    notifyWatches();
    return result;
}

bool PlatformServer::countCall(const std::string &kind)
{
    ++m_counts[kind];
    const auto now = m_clock();
    if (now - m_rateWindowStart >= std::chrono::seconds(1)) {
        m_rateWindowStart = now;
        m_callsInWindow = 0;
    }
    ++m_callsInWindow;
    return m_faults.rateLimit == 0 || m_callsInWindow <= m_faults.rateLimit;
}

bool PlatformServer::takeLostAnswer(const std::string &kind)
{
    const bool matches = m_faults.loseKind.empty() || m_faults.loseKind == kind;
    if (!matches || m_faults.loseNextAnswers == 0) {
        return false;
    }
    --m_faults.loseNextAnswers;
    return true;
}

void PlatformServer::notifyWatches()
{
    // Iterates over a copy, because notify() closes a watch with too many queued lines, which
    // removes the watch from m_watches.
    const auto watches = m_watches;
    std::ranges::for_each(watches, [](const auto &watch) { watch->notify(); });
}

ApiResponse PlatformServer::handleControlCall(bool isGet, const std::string &target,
                                              const std::string &body)
{
    const KeyRange instances { "instances/", "instances0" };
    if (isGet && target == "/counts") {
        return { 200, countsJson() };
    }
    if (target == "/faults") {
        return isGet ? ApiResponse { 200, faultsJson() } : changeFaults(body);
    }
    if (isGet && target == "/instances") {
        const auto listTime = m_clock() - m_listLag;
        return { 200, PlatformApi::instanceList(m_store.rangeAt(instances, listTime)) };
    }
    if (isGet && target == "/instances?lag=0") {
        return { 200, PlatformApi::instanceList(m_store.range(instances)) };
    }
    return { 404, "{\"error\":\"Not Found\"}" };
}

ApiResponse PlatformServer::changeFaults(const std::string &body)
{
    boost::system::error_code error;
    const auto value = json::parse(body, error);
    const auto *object = error ? nullptr : value.if_object();
    if (object == nullptr) {
        return { 400, "{\"error\":\"an object was expected\"}" };
    }
    try {
        auto faults = m_faults;
        for (const auto &[key, field] : *object) {
            if (key == "down") {
                faults.down = field.as_bool();
            } else if (key == "slow_ms") {
                faults.slow = std::chrono::milliseconds(field.to_number<std::uint32_t>());
            } else if (key == "lose_next_answers") {
                faults.loseNextAnswers = field.to_number<std::uint32_t>();
            } else if (key == "lose_kind") {
                faults.loseKind = std::string(field.as_string());
            } else if (key == "rate_limit") {
                faults.rateLimit = field.to_number<std::uint32_t>();
            } else if (key == "silence_watches") {
                stallWatches();
            } else {
                return { 400, "{\"error\":\"unknown field\"}" };
            }
        }
        setFaults(faults);
    } catch (const std::exception &exception) {
        return { 400, json::serialize(json::object { { "error", exception.what() } }) };
    }
    return { 200, faultsJson() };
}

std::string PlatformServer::countsJson() const
{
    json::object object;
    for (const auto &[kind, count] : m_counts) {
        object[kind] = count;
    }
    object["watches_open"] = m_watches.size();
    return json::serialize(object);
}

std::string PlatformServer::faultsJson() const
{
    return json::serialize(json::object { { "down", m_faults.down },
                                          { "slow_ms", m_faults.slow.count() },
                                          { "lose_next_answers", m_faults.loseNextAnswers },
                                          { "lose_kind", m_faults.loseKind },
                                          { "rate_limit", m_faults.rateLimit } });
}

} // namespace banyanwall::tools
