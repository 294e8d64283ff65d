#include "tools/upstreamhost.h"

#include "common/hash.h"

#include <boost/json.hpp>

#include <iostream>
#include <numeric>
#include <sstream>

namespace banyanwall::tools {

namespace {

/// Resolution of the answer times.
constexpr std::chrono::milliseconds TickInterval { 2 };

/// The wall-clock time in ms, so that a later start has a higher incarnation.
common::Incarnation newIncarnation(ClockReading time)
{
    return common::Incarnation(static_cast<std::uint64_t>(time.wall.time_since_epoch().count()));
}

} // namespace

UpstreamHost::UpstreamHost(boost::asio::io_context &context, std::uint64_t seed)
    : m_context(context)
    , m_timer(context)
    , m_seed(seed)
{ }

void UpstreamHost::add(UpstreamSettings settings, common::Endpoint address)
{
    const auto name = settings.name;
    auto hosted = std::make_unique<HostedUpstream>(HostedUpstream {
            address,
            UpstreamModel(std::move(settings), newIncarnation(ClockReading::current()), m_ledger,
                          m_seed + m_upstreams.size()),
            nullptr });
    listen(*hosted);
    m_upstreams[name] = std::move(hosted);
}

void UpstreamHost::listen(HostedUpstream &hosted)
{
    hosted.port = std::make_unique<UdpPort>(
            m_context, hosted.address, [&hosted](std::string_view bytes, common::Endpoint sender) {
                send(hosted, hosted.model.onDatagram(bytes, sender, ClockReading::current()));
            });
}

void UpstreamHost::start()
{
    m_timer.expires_after(TickInterval);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
            start();
        }
    });
}

void UpstreamHost::tick()
{
    const auto time = ClockReading::current();
    for (const auto &[name, hosted] : m_upstreams) {
        send(*hosted, hosted->model.onTick(time));
        for (const auto &incident : hosted->model.takeIncidents()) {
            std::cout << "unix_ms=" << time.wall.time_since_epoch().count() << " " << incident
                      << std::endl;
        }
    }
}

void UpstreamHost::send(HostedUpstream &hosted,
                        const std::vector<UpstreamModel::Outgoing> &outgoing)
{
    if (!hosted.port) {
        return;
    }
    for (const auto &packet : outgoing) {
        hosted.port->send(wire::encode(packet.message), packet.receiver);
    }
}

HttpResponse UpstreamHost::control(const std::string &target)
{
    if (target == "/counters") {
        return { 200, countersJson() };
    }
    if (target == "/runs") {
        return { 200, boost::json::serialize(m_ledger.toJson()) };
    }
    static const std::string parameter = "?upstream=";
    const auto query = target.find(parameter);
    if (query == std::string::npos) {
        return { 404, "{}" };
    }
    const auto hosted = m_upstreams.find(target.substr(query + parameter.size()));
    const bool isApplied =
            hosted != m_upstreams.end() && applyCommand(target.substr(0, query), *hosted->second);
    return { isApplied ? 200U : 404U, "{}" };
}

bool UpstreamHost::applyCommand(const std::string &command, HostedUpstream &hosted)
{
    if (command == "/cold") {
        hosted.model.turnCold();
    } else if (command == "/stop") {
        hosted.port.reset();
        hosted.model.restart(hosted.model.incarnation());
    } else if (command == "/restart") {
        hosted.port.reset();
        hosted.model.restart(newIncarnation(ClockReading::current()));
        listen(hosted);
    } else if (command == "/drain") {
        hosted.model.setDraining(true);
    } else if (command == "/watch") {
        hosted.model.recordNewWork();
    } else if (command == "/silence") {
        hosted.model.stopAnsweringFlows();
    } else if (command == "/lie") {
        hosted.model.setHealthReporting(UpstreamModel::HealthReporting::AlwaysHealthy);
    } else if (command == "/sick") {
        hosted.model.setHealthReporting(UpstreamModel::HealthReporting::AlwaysUnhealthy);
    } else if (command == "/truth") {
        hosted.model.setHealthReporting(UpstreamModel::HealthReporting::Actual);
    } else {
        return false;
    }
    return true;
}

std::string UpstreamHost::countersJson() const
{
    boost::json::object upstreams;
    for (const auto &[name, hosted] : m_upstreams) {
        auto entry = hosted->model.counters().toJson();
        entry["id"] = common::idFromName<common::UpstreamId>(name).value();
        entry["flows"] = hosted->model.flows();
        entry["busy_slots"] = hosted->model.busySlots();
        entry["cold"] = hosted->model.isCold();
        entry["incarnation"] = hosted->model.incarnation().value();
        upstreams[name] = std::move(entry);
    }
    return boost::json::serialize(boost::json::object {
            { "duplicate_runs", m_ledger.duplicateRuns() }, { "upstreams", upstreams } });
}

std::string UpstreamHost::report() const
{
    const auto sum = [this](auto member) {
        return std::accumulate(m_upstreams.begin(), m_upstreams.end(), std::uint64_t { 0 },
                               [member](std::uint64_t total, const auto &entry) {
                                   return total + entry.second->model.counters().*member;
                               });
    };
    std::ostringstream line;
    line << "upstreams=" << m_upstreams.size() << " runs=" << sum(&UpstreamCounters::runs)
         << " answers=" << sum(&UpstreamCounters::answers)
         << " duplicate_runs=" << m_ledger.duplicateRuns()
         << " wrong_service=" << sum(&UpstreamCounters::wrongService)
         << " wrong_incarnation=" << sum(&UpstreamCounters::wrongIncarnation)
         << " unknown_flow=" << sum(&UpstreamCounters::unknownFlow)
         << " slots_over_limit=" << sum(&UpstreamCounters::slotsOverLimit)
         << " cold_overload=" << sum(&UpstreamCounters::coldOverload)
         << " turned_cold_overload=" << sum(&UpstreamCounters::turnedColdOverload)
         << " connections_over_limit=" << sum(&UpstreamCounters::connectionsOverLimit);
    return line.str();
}

} // namespace banyanwall::tools
