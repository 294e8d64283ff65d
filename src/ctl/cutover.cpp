#include "ctl/cutover.h"

#include "ctl/contractlookup.h"
#include "version/limits.h"

#include <algorithm>

namespace banyanwall::ctl {

using version::Contract;
using version::CutoverSpec;
using version::ServiceContract;

std::uint32_t sharePercentOf(const ServiceContract &service, const std::string &group)
{
    if (std::ranges::find(service.groups, group, &version::UpstreamGroup::name)
        == service.groups.end()) {
        return 0;
    }
    if (!service.cutover) {
        return 100;
    }
    return group == service.cutover->toGroup ? service.cutover->sharePercent
                                             : 100 - service.cutover->sharePercent;
}

std::optional<ShareChange> shareChangeOf(const ServiceContract &former, const ServiceContract &next)
{
    const auto &cutover = next.cutover ? next.cutover : former.cutover;
    if (!cutover) {
        return std::nullopt;
    }
    const ShareChange change { next.name,
                               cutover->fromGroup,
                               cutover->toGroup,
                               sharePercentOf(former, cutover->toGroup),
                               sharePercentOf(next, cutover->toGroup),
                               cutover->noticeUrl };
    return change.formerPercent == change.nextPercent ? std::nullopt : std::optional(change);
}

std::optional<common::Error> checkCutoverStep(const ServiceContract &former,
                                              const ServiceContract &next)
{
    const auto stepPercent = version::cutoverStepPercent(next);
    for (const auto &group : next.groups) {
        const auto formerPercent = sharePercentOf(former, group.name);
        const auto nextPercent = sharePercentOf(next, group.name);
        const bool isRollBack = former.cutover && former.cutover->fromGroup == group.name;
        if (!isRollBack && nextPercent > formerPercent + stepPercent) {
            return common::Error { "cutover_step",
                                   "service '" + next.name + "': the share of group '" + group.name
                                           + "' would rise from " + std::to_string(formerPercent)
                                           + " to " + std::to_string(nextPercent)
                                           + " %, one edit may raise it by "
                                           + std::to_string(stepPercent)
                                           + " points (1/slots_per_upstream)" };
        }
    }
    return std::nullopt;
}

std::vector<ShareChange> shareChanges(const Contract &former, const Contract &next)
{
    std::vector<ShareChange> changes;
    for (const auto &service : next.services) {
        const auto *formerService = findService(former, service.name);
        if (const auto change = formerService == nullptr ? std::nullopt
                                                         : shareChangeOf(*formerService, service)) {
            changes.push_back(*change);
        }
    }
    return changes;
}

std::optional<common::Error> checkCutoverSteps(const Contract &former, const Contract &next)
{
    for (const auto &service : next.services) {
        const auto *formerService = findService(former, service.name);
        if (auto error = formerService == nullptr ? std::nullopt
                                                  : checkCutoverStep(*formerService, service)) {
            return error;
        }
    }
    return std::nullopt;
}

} // namespace banyanwall::ctl
