#include "ctl/contractcheck.h"

#include "ctl/contractchanges.h"
#include "ctl/contractfile.h"
#include "ctl/contractlookup.h"
#include "version/contractparser.h"
#include "version/limits.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace banyanwall::ctl {

using common::errorOf;
using common::isOk;
using common::valueOf;
using version::Contract;
using version::ServiceContract;
using version::UpstreamGroup;

namespace {

/// First address after those of single hosts: multicast and reserved addresses follow.
constexpr std::uint32_t FirstAddressAfterUnicast = 0xe0000000;
constexpr std::uint32_t MillisecondsPerSecond = 1'000;
constexpr std::uint32_t WholePercent = 100;

/// Requests per second that a group answers when all its slots are in use.
std::uint64_t capacityOf(const ServiceContract &service, const UpstreamGroup &group)
{
    const auto slots = group.upstreams.size() * std::uint64_t { service.slotsPerUpstream };
    return slots * MillisecondsPerSecond / static_cast<std::uint64_t>(service.usualLatency.count());
}

/// Checks one service of a valid contract.
class ServiceCheck
{
public:
    ServiceCheck(const Contract &contract, std::size_t index, const ContractInForce *inForce)
        : m_contract(contract)
        , m_service(contract.services[index])
        , m_key(version::elementKey("service", index))
        , m_inForce(inForce)
        , m_former(inForce == nullptr ? nullptr : findService(inForce->contract, m_service.name))
    { }

    std::vector<Finding> run()
    {
        checkAddresses();
        checkSpread();
        checkDrains();
        checkLimits();
        std::ranges::for_each(m_service.groups,
                              [this](const UpstreamGroup &group) { checkGroup(group); });
        return std::move(m_findings);
    }

private:
    void add(const std::string &key, FindingDetail detail, Severity severity = Severity::Warning)
    {
        m_findings.push_back({ severity, m_key + "." + key, std::move(detail) });
    }

    void checkAddress(const std::string &key, const common::Endpoint &address)
    {
        if (address.address >= FirstAddressAfterUnicast) {
            add(key, AddressNotUnicast { address });
        }
    }

    void checkAddresses()
    {
        checkAddress("address", m_service.address);
        for (std::size_t group = 0; group < m_service.groups.size(); ++group) {
            const auto &upstreams = m_service.groups[group].upstreams;
            for (std::size_t index = 0; index < upstreams.size(); ++index) {
                checkAddress(version::elementKey("group", group) + "."
                                     + version::elementKey("upstream", index) + ".address",
                             upstreams[index].address);
            }
        }
    }

    void checkSpread()
    {
        const auto upstreams = upstreamsOf(m_service);
        if (upstreams.size() == 1) {
            add("group", SingleUpstream { m_service.name });
            return;
        }
        const auto &firstZone = upstreams.front()->zone;
        const bool isInOneZone = std::ranges::all_of(
                upstreams, [&](const auto *upstream) { return upstream->zone == firstZone; });
        if (isInOneZone && m_contract.zones.size() > 1) {
            add("group", SingleZone { m_service.name, firstZone });
        }
    }

    void checkDrains()
    {
        if (m_inForce == nullptr) {
            return;
        }
        const auto &drained = m_inForce->drainedUpstreams;
        const bool isDrained =
                std::ranges::all_of(upstreamsOf(m_service), [&](const auto *upstream) {
                    return std::ranges::find(drained, qualifiedName(m_service, *upstream))
                            != drained.end();
                });
        if (isDrained) {
            add("group", AllUpstreamsDrained { m_service.name });
        }
    }

    void checkLimits()
    {
        using Kind = LimitContradiction::Kind;
        checkBound("connections_per_upstream", Kind::ConnectionsBelowSlots,
                   m_service.connectionsPerUpstream, m_service.slotsPerUpstream);
        const auto longestMs = static_cast<std::uint64_t>(m_service.longestRequest.count());
        checkBound("idle_limit_s", Kind::IdleLimitBelowLongestRequest,
                   static_cast<std::uint64_t>(m_service.idleLimit.count()),
                   (longestMs + MillisecondsPerSecond - 1) / MillisecondsPerSecond);
        const auto timeout = version::attemptTimeout(m_service.usualLatency);
        checkBound("longest_request_ms", Kind::LongestRequestBelowAttemptTimeout, longestMs,
                   static_cast<std::uint64_t>(timeout.count()) + 1);
    }

    void checkBound(const std::string &key, LimitContradiction::Kind kind, std::uint64_t value,
                    std::uint64_t bound)
    {
        if (value < bound) {
            add(key, LimitContradiction { kind, value, bound });
        }
    }

    void checkGroup(const UpstreamGroup &group)
    {
        const auto share = sharePercentOf(m_service, group.name);
        const auto capacity = capacityOf(m_service, group);
        const std::uint64_t rate = m_service.requestsPerSecond;
        const auto rateNow = rate * share / WholePercent;
        using When = RateAboveCapacity::When;
        if (rateNow > capacity) {
            add("requests_per_second",
                RateAboveCapacity { m_service.name, group.name, When::Now, rateNow, capacity });
        } else if (m_service.cutover && m_service.cutover->toGroup == group.name
                   && rate > capacity) {
            add("cutover.to",
                RateAboveCapacity { m_service.name, group.name, When::AfterCutover, rate,
                                    capacity });
        }
        if (share == 0) {
            add("cutover.share_percent", GroupWithoutFlows { m_service.name, group.name },
                isShareNew(group) ? Severity::Note : Severity::Warning);
        }
    }

    /// Whether this edit gives the group its share: a cutover starts at 0 % and ends at 100 %.
    bool isShareNew(const UpstreamGroup &group) const
    {
        return m_former != nullptr
                && (!m_former->cutover || sharePercentOf(*m_former, group.name) > 0);
    }

    const Contract &m_contract;
    const ServiceContract &m_service;
    std::string m_key;
    const ContractInForce *m_inForce;
    /// The service in the version in force; null if it is new or no version is known.
    const ServiceContract *m_former;
    std::vector<Finding> m_findings;
};

void append(std::vector<Finding> &findings, std::vector<Finding> more)
{
    std::ranges::move(more, std::back_inserter(findings));
}

/// Sorts by severity, most severe first, and then by place.
void sortFindings(std::vector<Finding> &findings)
{
    std::ranges::stable_sort(findings, [](const Finding &left, const Finding &right) {
        return std::tuple(right.severity, left.place) < std::tuple(left.severity, right.place);
    });
}

std::vector<Finding> invalidText(const std::vector<version::TomlProblem> &problems)
{
    std::vector<Finding> findings;
    std::ranges::transform(problems, std::back_inserter(findings),
                           [](const version::TomlProblem &problem) {
                               return Finding { Severity::Error, problem.key,
                                                InvalidText { problem.reason }, problem.place };
                           });
    sortFindings(findings);
    return findings;
}

/// Findings from the comparison with one contract in force, of the same customer or another one.
std::vector<Finding> compare(const Contract &contract, const ContractInForce &other,
                             std::optional<std::uint64_t> baseVersion)
{
    if (other.contract.customer != contract.customer) {
        const auto conflict = version::findConflict(contract, other.contract);
        return conflict ? std::vector { Finding { Severity::Error, "",
                                                  CustomerConflict { conflict->message } } }
                        : std::vector<Finding> {};
    }
    auto findings = findChanges(other, contract);
    if (baseVersion && other.version && baseVersion != other.version) {
        findings.push_back({ Severity::Error, "", StaleBase { *baseVersion, *other.version } });
    }
    return findings;
}

} // namespace

std::size_t CheckReport::count(Severity severity) const
{
    return static_cast<std::size_t>(std::ranges::count(findings, severity, &Finding::severity));
}

std::vector<Finding> checkTerms(const Contract &contract, const ContractInForce *inForce)
{
    std::vector<Finding> findings;
    for (const auto &zone : contract.zones) {
        const bool isUsed = std::ranges::any_of(contract.services, [&](const auto &service) {
            return std::ranges::any_of(upstreamsOf(service), [&](const auto *upstream) {
                return upstream->zone == zone;
            });
        });
        if (!isUsed) {
            findings.push_back({ Severity::Warning, "zones", UnusedZone { zone } });
        }
    }
    for (std::size_t index = 0; index < contract.services.size(); ++index) {
        append(findings, ServiceCheck(contract, index, inForce).run());
    }
    return findings;
}

CheckReport checkContractText(std::string_view text, const ContractsInForce &contractsInForce)
{
    const auto parsed = version::parseContractWithPlaces(text, "");
    if (!isOk(parsed)) {
        return { "", invalidText(errorOf(parsed)) };
    }
    const auto &contract = valueOf(parsed).contract;
    const auto inForce = std::ranges::find_if(contractsInForce, [&](const auto &candidate) {
        return candidate.contract.customer == contract.customer;
    });
    CheckReport report { contract.customer,
                         checkTerms(contract,
                                    inForce == contractsInForce.end() ? nullptr : &*inForce) };
    const auto baseVersion = baseVersionOf(text, contract.customer);
    for (const auto &other : contractsInForce) {
        append(report.findings, compare(contract, other, baseVersion));
    }
    for (auto &finding : report.findings) {
        finding.place = valueOf(parsed).document.placeOf(finding.key);
    }
    sortFindings(report.findings);
    return report;
}

} // namespace banyanwall::ctl
