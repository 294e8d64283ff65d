#include "version/limits.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace banyanwall::version {

namespace {

std::uint64_t upstreamCount(const ServiceContract &service)
{
    return std::accumulate(service.groups.begin(), service.groups.end(), std::uint64_t { 0 },
                           [](std::uint64_t sum, const UpstreamGroup &group) {
                               return sum + group.upstreams.size();
                           });
}

std::string text(std::uint64_t value)
{
    return std::to_string(value);
}

std::vector<Limit> loadLimits(const ServiceContract &service)
{
    const auto upstreams = upstreamCount(service);
    const std::uint64_t slots = service.slotsPerUpstream;
    const std::uint64_t connections = service.connectionsPerUpstream;
    const std::uint64_t rate = service.requestsPerSecond;
    return {
        { "slots_per_upstream", slots, "slots_per_upstream",
          "requests that one upstream runs at the same time" },
        { "concurrent_requests", upstreams * slots, "slots_per_upstream, group.upstream",
          text(upstreams) + " upstreams x " + text(slots) + " slots" },
        { "connections_per_upstream", connections, "connections_per_upstream",
          "flows that one upstream holds at the same time" },
        { "connections", upstreams * connections, "connections_per_upstream, group.upstream",
          text(upstreams) + " upstreams x " + text(connections) + " connections" },
        { "requests_per_second", rate, "requests_per_second", "admitted from this customer" },
        { "retries_per_second", rate * RetryPercent / 100, "requests_per_second",
          text(RetryPercent) + " % of " + text(rate) + " requests/s" },
        { "retries_in_progress",
          std::min<std::uint64_t>(MaximumRetriesInProgress, upstreams * slots),
          "slots_per_upstream, group.upstream, design section 5",
          "at most " + text(MaximumRetriesInProgress) + " and at most the concurrent requests" },
    };
}

std::vector<Limit> timeLimits(const ServiceContract &service)
{
    const auto longest = static_cast<std::uint64_t>(service.longestRequest.count());
    const auto usual = static_cast<std::uint64_t>(service.usualLatency.count());
    return {
        { "request_deadline_ms", longest, "longest_request_ms", "from issue to whole answer" },
        { "drain_time_ms", longest, "longest_request_ms",
          "a graceful shutdown waits as long as the longest request" },
        { "idle_limit_s", static_cast<std::uint64_t>(service.idleLimit.count()), "idle_limit_s",
          "a flow without a packet for this long counts as ended" },
        { "slow_start_steps", service.slotsPerUpstream, "slots_per_upstream",
          "from 1 to " + text(service.slotsPerUpstream) + " slots, one after "
                  + text(AnswersPerSlowStartStep) + " answers in a row under " + text(2 * usual)
                  + " ms" },
        { "slow_start_fallback_ms", 4 * usual, "usual_latency_ms",
          "after 3 answers over 4 x " + text(usual)
                  + " ms the window returns to 1 slot and grows by " + text(AnswersPerFallbackStep)
                  + " answers a slot" },
    };
}

std::vector<Limit> changeLimits(const ServiceContract &service)
{
    const auto step = cutoverStepPercent(service);
    return {
        { "cutover_step_percent", step, "slots_per_upstream",
          "one edit raises the share by at most 1/" + text(service.slotsPerUpstream)
                  + ", the part that a cold upstream takes; a lower share needs one edit" },
        { "cutover_steps", (100 + step - 1) / step, "slots_per_upstream",
          "edits from 0 to 100 % at " + text(step) + " points each" },
        { "zone_return_steps", ZoneReturnSteps, "design section 4",
          text(ZoneReturnStepPercent) + " % each over " + text(ZoneReturnSeconds) + " s" },
    };
}

} // namespace

std::uint32_t cutoverStepPercent(const ServiceContract &service)
{
    const auto slots = std::max(service.slotsPerUpstream, 1U);
    return (100 + slots - 1) / slots;
}

std::vector<ServiceLimits> deriveLimits(const Contract &contract)
{
    std::vector<ServiceLimits> all;
    std::ranges::transform(
            contract.services, std::back_inserter(all), [](const ServiceContract &service) {
                ServiceLimits derived { service.name, loadLimits(service) };
                std::ranges::copy(timeLimits(service), std::back_inserter(derived.limits));
                std::ranges::copy(changeLimits(service), std::back_inserter(derived.limits));
                return derived;
            });
    return all;
}

} // namespace banyanwall::version
