#include "ctl/findingtext.h"

#include "common/result.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <sstream>

namespace banyanwall::ctl {

namespace json = boost::json;
using common::Overloaded;

namespace {

std::string_view nameOf(Severity severity)
{
    switch (severity) {
    case Severity::Note:
        return "note";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        break;
    }
    return "error";
}

std::string_view nameOf(EntryKind kind)
{
    switch (kind) {
    case EntryKind::Zone:
        return "zone";
    case EntryKind::Service:
        return "service";
    case EntryKind::Upstream:
        break;
    }
    return "upstream";
}

std::string_view codeOfContradiction(LimitContradiction::Kind kind)
{
    switch (kind) {
    case LimitContradiction::Kind::ConnectionsBelowSlots:
        return "connections_below_slots";
    case LimitContradiction::Kind::IdleLimitBelowLongestRequest:
        return "idle_limit_below_longest_request";
    case LimitContradiction::Kind::LongestRequestBelowAttemptTimeout:
        break;
    }
    return "longest_request_below_attempt_timeout";
}

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

std::string reasonOfContradiction(const LimitContradiction &found)
{
    const auto values = number(found.value) + " is below " + number(found.bound);
    switch (found.kind) {
    case LimitContradiction::Kind::ConnectionsBelowSlots:
        return values + " slots: an upstream may not hold a flow for each request that it may run";
    case LimitContradiction::Kind::IdleLimitBelowLongestRequest:
        return values
                + " s, the longest request: a flow that waits for its answer may count as ended";
    case LimitContradiction::Kind::LongestRequestBelowAttemptTimeout:
        break;
    }
    return values
            + " ms: a request that gets no answer reaches its deadline before it is sent to "
              "another upstream";
}

std::string reasonOfCapacity(const RateAboveCapacity &found)
{
    const std::string when =
            found.when == RateAboveCapacity::When::Now ? "" : " when the cutover ends";
    return "group '" + found.group + "' of service '" + found.service + "' gets up to "
            + number(found.rate) + " requests/s" + when + ", its slots answer "
            + number(found.capacity) + " requests/s at usual_latency_ms";
}

std::string reasonOfAddition(const EntryAdded &added)
{
    return std::string(nameOf(added.kind)) + " '" + added.name + "' is added"
            + (added.kind == EntryKind::Upstream ? "; it is cold and starts with one slot" : "");
}

std::string_view effectOf(const EntryRemoved &removed)
{
    switch (removed.kind) {
    case EntryKind::Zone:
        return "";
    case EntryKind::Service:
        return "; its open flows are closed and new ones are rejected";
    case EntryKind::Upstream:
        break;
    }
    return removed.isDrained ? "; it is drained, and flows that it still holds are lost"
                             : "; its open flows are lost, drain it first to keep them";
}

std::string reasonOfRemoval(const EntryRemoved &removed)
{
    return std::string(nameOf(removed.kind)) + " '" + removed.name + "' is removed"
            + std::string(effectOf(removed));
}

std::string reasonOfAddress(const AddressChanged &changed)
{
    const auto subject = std::string(nameOf(changed.kind)) + " '" + changed.name + "' moves from "
            + common::toString(changed.former) + " to " + common::toString(changed.next);
    return subject
            + (changed.kind == EntryKind::Service
                       ? "; callers of the former address are rejected"
                       : "; its open flows are lost unless the same process has both addresses");
}

/// What a limit does; the reason names both values before it.
std::string_view effectOf(LimitChanged::Limit limit)
{
    switch (limit) {
    case LimitChanged::Limit::Slots:
        return "requests that an upstream runs at the same time";
    case LimitChanged::Limit::Connections:
        return "flows that an upstream holds at the same time";
    case LimitChanged::Limit::RequestsPerSecond:
        return "requests beyond it are refused";
    case LimitChanged::Limit::LongestRequestMs:
        return "requests that take longer end without an answer";
    case LimitChanged::Limit::UsualLatencyMs:
        return "slow start and retries compare answer times with it";
    case LimitChanged::Limit::IdleLimitS:
        break;
    }
    return "flows without a packet for this long count as ended";
}

std::string reasonOfLimit(const LimitChanged &changed)
{
    return std::string(changed.next < changed.former ? "lowered" : "raised") + " from "
            + number(changed.former) + " to " + number(changed.next) + ": "
            + std::string(effectOf(changed.limit));
}

std::string reasonOfShare(const ShareChange &change)
{
    return "service '" + change.service + "': new flows and requests of group '" + change.toGroup
            + "' go from " + number(change.formerPercent) + " to " + number(change.nextPercent)
            + " %; a notice is sent to " + change.noticeUrl;
}

/// Replaces control characters, which a terminal would interpret.
std::string printable(std::string text)
{
    std::ranges::replace_if(
            text,
            [](char c) {
                const auto byte = static_cast<unsigned char>(c);
                return byte < 0x20 || byte == 0x7f;
            },
            '?');
    return text;
}

std::string_view resultOf(const CheckReport &report)
{
    if (report.count(Severity::Error) > 0) {
        return "invalid";
    }
    return report.count(Severity::Warning) > 0 ? "warnings" : "valid";
}

std::string counted(std::size_t count, const std::string &noun)
{
    return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

std::string summaryOf(const CheckReport &report)
{
    const auto counts = counted(report.count(Severity::Error), "error") + ", "
            + counted(report.count(Severity::Warning), "warning") + ", "
            + counted(report.count(Severity::Note), "note");
    return resultOf(report) == "invalid"
            ? "the contract is invalid: " + counts
            : "the contract of customer '" + report.customer + "' is valid: " + counts;
}

} // namespace

std::string_view codeOf(const FindingDetail &detail)
{
    using Code = std::string_view;
    return std::visit(
            Overloaded {
                    [](const InvalidText &) -> Code { return "invalid_text"; },
                    [](const CustomerConflict &) -> Code { return "customer_conflict"; },
                    [](const StaleBase &) -> Code { return "stale_base"; },
                    [](const CutoverStepExceeded &) -> Code { return "cutover_step"; },
                    [](const UnusedZone &) -> Code { return "unused_zone"; },
                    [](const AddressNotUnicast &) -> Code { return "address_not_unicast"; },
                    [](const SingleUpstream &) -> Code { return "single_upstream"; },
                    [](const SingleZone &) -> Code { return "single_zone"; },
                    [](const GroupWithoutFlows &) -> Code { return "group_without_flows"; },
                    [](const AllUpstreamsDrained &) -> Code { return "all_upstreams_drained"; },
                    [](const RateAboveCapacity &) -> Code { return "rate_above_capacity"; },
                    [](const LimitContradiction &found) { return codeOfContradiction(found.kind); },
                    [](const EntryAdded &) -> Code { return "entry_added"; },
                    [](const EntryRemoved &) -> Code { return "entry_removed"; },
                    [](const AddressChanged &) -> Code { return "address_changed"; },
                    [](const UpstreamZoneChanged &) -> Code { return "upstream_zone_changed"; },
                    [](const UpstreamCountChanged &) -> Code { return "upstream_count_changed"; },
                    [](const ShareMoved &) -> Code { return "share_moved"; },
                    [](const LimitChanged &) -> Code { return "limit_changed"; },
            },
            detail);
}

std::string reasonOf(const FindingDetail &detail)
{
    return std::visit(
            Overloaded {
                    [](const InvalidText &found) { return found.reason; },
                    [](const CustomerConflict &found) { return found.reason; },
                    [](const StaleBase &found) {
                        return "the text was edited from version " + number(found.baseVersion)
                                + ", version " + number(found.versionInForce) + " is in force";
                    },
                    [](const CutoverStepExceeded &found) { return found.reason; },
                    [](const UnusedZone &found) {
                        return "zone '" + found.zone + "' has no upstream";
                    },
                    [](const AddressNotUnicast &found) {
                        return common::toString(found.address)
                                + " is a multicast or reserved address: no packet can reach it";
                    },
                    [](const SingleUpstream &found) {
                        return "service '" + found.service
                                + "' has one upstream: nothing serves it while that one is away";
                    },
                    [](const SingleZone &found) {
                        return "service '" + found.service + "' has all upstreams in zone '"
                                + found.zone + "': nothing serves it while the zone is withdrawn";
                    },
                    [](const GroupWithoutFlows &found) {
                        return "group '" + found.group + "' of service '" + found.service
                                + "' has a share of 0 %: it gets no new flows or requests";
                    },
                    [](const AllUpstreamsDrained &found) {
                        return "all upstreams of service '" + found.service
                                + "' are drained: new flows and requests are refused";
                    },
                    [](const RateAboveCapacity &found) { return reasonOfCapacity(found); },
                    [](const LimitContradiction &found) { return reasonOfContradiction(found); },
                    [](const EntryAdded &found) { return reasonOfAddition(found); },
                    [](const EntryRemoved &found) { return reasonOfRemoval(found); },
                    [](const AddressChanged &found) { return reasonOfAddress(found); },
                    [](const UpstreamZoneChanged &found) {
                        return "upstream '" + found.name + "' moves from zone '" + found.formerZone
                                + "' to '" + found.nextZone
                                + "' and is withdrawn and returned with that one";
                    },
                    [](const UpstreamCountChanged &found) {
                        return "service '" + found.service + "' goes from " + number(found.former)
                                + " to " + number(found.next)
                                + " upstreams, which divide its new flows and requests";
                    },
                    [](const ShareMoved &found) { return reasonOfShare(found.change); },
                    [](const LimitChanged &found) { return reasonOfLimit(found); },
            },
            detail);
}

std::string renderText(const CheckReport &report, const std::string &path)
{
    std::ostringstream text;
    for (const auto &finding : report.findings) {
        text << path << ':' << finding.place.line << ':' << finding.place.column << ": "
             << nameOf(finding.severity) << ": " << printable(finding.key)
             << (finding.key.empty() ? "" : ": ") << printable(reasonOf(finding.detail)) << " ["
             << codeOf(finding.detail) << "]\n";
    }
    text << path << ": " << summaryOf(report) << '\n';
    return text.str();
}

std::string renderJson(const CheckReport &report, const std::string &path)
{
    json::array findings;
    for (const auto &finding : report.findings) {
        findings.push_back(json::object { { "severity", nameOf(finding.severity) },
                                          { "code", codeOf(finding.detail) },
                                          { "key", finding.key },
                                          { "line", finding.place.line },
                                          { "column", finding.place.column },
                                          { "reason", reasonOf(finding.detail) } });
    }
    const json::object data { { "result", resultOf(report) },
                              { "file", path },
                              { "customer", report.customer },
                              { "errors", report.count(Severity::Error) },
                              { "warnings", report.count(Severity::Warning) },
                              { "notes", report.count(Severity::Note) },
                              { "findings", std::move(findings) } };
    return json::serialize(data) + "\n";
}

} // namespace banyanwall::ctl
