#include "ctl/contractlookup.h"

#include <algorithm>
#include <iterator>

namespace banyanwall::ctl {

using version::Contract;
using version::ServiceContract;
using version::UpstreamSpec;

const ServiceContract *findService(const Contract &contract, const std::string &name)
{
    const auto found = std::ranges::find(contract.services, name, &ServiceContract::name);
    return found == contract.services.end() ? nullptr : &*found;
}

std::vector<const UpstreamSpec *> upstreamsOf(const ServiceContract &service)
{
    std::vector<const UpstreamSpec *> upstreams;
    for (const auto &group : service.groups) {
        std::ranges::transform(group.upstreams, std::back_inserter(upstreams),
                               [](const UpstreamSpec &upstream) { return &upstream; });
    }
    return upstreams;
}

std::string qualifiedName(const ServiceContract &service, const UpstreamSpec &upstream)
{
    return service.name + "/" + upstream.name;
}

bool hasUpstream(const Contract &contract, const std::string &name)
{
    return std::ranges::any_of(contract.services, [&](const ServiceContract &service) {
        return std::ranges::any_of(upstreamsOf(service), [&](const UpstreamSpec *upstream) {
            return qualifiedName(service, *upstream) == name;
        });
    });
}

} // namespace banyanwall::ctl
