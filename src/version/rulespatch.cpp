#include "version/rulespatch.h"

#include "common/hash.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <numeric>

namespace banyanwall::version {

using common::hashPair;
using common::RoutesDigest;

namespace {

using RoutesByAddress = std::map<common::Endpoint, RouteRecord>;

void setRoutes(RoutesByAddress &routes, const std::vector<RouteRecord> &records)
{
    std::ranges::for_each(
            records, [&](const auto &route) { routes.insert_or_assign(route.address, route); });
}

/// Zero for a contract without terms, so that its digest is the same for programs that know none.
std::uint64_t hashOf(const RouteTerms &terms)
{
    if (terms == RouteTerms {}) {
        return 0;
    }
    const auto hashOfTime = [](const std::optional<common::Duration> &time) {
        return time ? static_cast<std::uint64_t>(time->count()) + 1 : 0;
    };
    const auto priority = terms.priority ? std::uint64_t { *terms.priority } + 1 : 0;
    return hashPair(hashPair(priority, hashOfTime(terms.responseAim)),
                    hashOfTime(terms.timeBudget));
}

std::uint64_t hashOf(const RouteRecord &route)
{
    const auto address = hashPair(route.address.address, route.address.port);
    return std::accumulate(route.shares.begin(), route.shares.end(),
                           hashPair(address, route.repeatable ? 1 : 0) ^ hashOf(route.terms),
                           [](std::uint64_t hash, const ServiceShare &share) {
                               return hashPair(hash, hashPair(share.service.value(), share.weight));
                           });
}

RoutesDigest digestOf(const RoutesByAddress &routes)
{
    return RoutesDigest(std::accumulate(
            routes.begin(), routes.end(), std::uint64_t { 0 },
            [](std::uint64_t sum, const auto &item) { return sum + hashOf(item.second); }));
}

} // namespace

RoutesDigest digestOf(const std::vector<RouteRecord> &routes)
{
    RoutesByAddress byAddress;
    setRoutes(byAddress, routes);
    return digestOf(byAddress);
}

std::optional<RulesRecord> patchedRules(const RulesRecord *earlier, const RulesPatch &patch)
{
    RoutesByAddress routes;
    if (earlier != nullptr && !patch.complete) {
        setRoutes(routes, earlier->routes);
    }
    std::ranges::for_each(patch.removedAddresses,
                          [&](const auto &address) { routes.erase(address); });
    setRoutes(routes, patch.routes);
    if (!patch.complete && patch.routesDigest && *patch.routesDigest != digestOf(routes)) {
        return std::nullopt;
    }
    RulesRecord record { .version = patch.version,
                         .services = patch.services,
                         .idleLimit = patch.idleLimit };
    std::ranges::transform(routes, std::back_inserter(record.routes),
                           [](const auto &item) { return item.second; });
    return record;
}

} // namespace banyanwall::version
