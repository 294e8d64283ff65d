#pragma once

#include "common/endpoint.h"
#include "ctl/cutover.h"
#include "version/tomldocument.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyanwall::ctl {

enum class Severity {
    /// A change that callers do not notice.
    Note,
    /// The contract would be accepted, but promises or does something that is hardly intended.
    Warning,
    /// The contract would be rejected.
    Error,
};

/// The text breaks a rule of contracts.
struct InvalidText
{
    std::string reason;
};

/// The contract of another customer uses the same address or id.
struct CustomerConflict
{
    std::string reason;
};

/// The text was edited from another version than the one in force.
struct StaleBase
{
    std::uint64_t baseVersion = 0;
    std::uint64_t versionInForce = 0;
};

/// A cutover share rises by more than one edit may raise it.
struct CutoverStepExceeded
{
    std::string reason;
};

/// A zone of the contract has no upstream.
struct UnusedZone
{
    std::string zone;
};

/// No host can have this address.
struct AddressNotUnicast
{
    common::Endpoint address;
};

/// A service has one upstream.
struct SingleUpstream
{
    std::string service;
};

/// A service has all upstreams in one of several zones.
struct SingleZone
{
    std::string service;
    std::string zone;
};

/// A group of a cutover gets no new flows, because its share is zero.
struct GroupWithoutFlows
{
    std::string service;
    std::string group;
};

/// All upstreams that the service would have are drained.
struct AllUpstreamsDrained
{
    std::string service;
};

/// The customer may send more requests than the upstreams answer at the usual latency.
struct RateAboveCapacity
{
    enum class When {
        Now,
        /// When the cutover has reached 100 %.
        AfterCutover,
    };

    std::string service;
    /// Group that gets the requests.
    std::string group;
    When when = When::Now;
    /// Requests per second.
    std::uint64_t rate = 0;
    std::uint64_t capacity = 0;
};

/// Two limits of a service cannot both be used.
struct LimitContradiction
{
    enum class Kind {
        ConnectionsBelowSlots,
        IdleLimitBelowLongestRequest,
        LongestRequestBelowAttemptTimeout,
    };

    Kind kind = Kind::ConnectionsBelowSlots;
    /// The lower value and the one that it should reach, in the unit of the lower one.
    std::uint64_t value = 0;
    std::uint64_t bound = 0;
};

enum class EntryKind {
    Zone,
    Service,
    Upstream,
};

struct EntryAdded
{
    EntryKind kind = EntryKind::Zone;
    std::string name;
};

struct EntryRemoved
{
    EntryKind kind = EntryKind::Zone;
    std::string name;
    /// A drained upstream, which gets no new flows already.
    bool isDrained = false;
};

/// The address of a service or an upstream differs from the one in force.
struct AddressChanged
{
    EntryKind kind = EntryKind::Service;
    std::string name;
    common::Endpoint former;
    common::Endpoint next;
};

struct UpstreamZoneChanged
{
    std::string name;
    std::string formerZone;
    std::string nextZone;
};

/// The number of upstreams of a service differs, and with it the share of each in new flows.
struct UpstreamCountChanged
{
    std::string service;
    std::size_t former = 0;
    std::size_t next = 0;
};

/// The cutover share of a service differs from the one in force.
struct ShareMoved
{
    ShareChange change;
};

/// A limit of a service differs from the one in force.
struct LimitChanged
{
    enum class Limit {
        Slots,
        Connections,
        RequestsPerSecond,
        LongestRequestMs,
        UsualLatencyMs,
        IdleLimitS,
    };

    Limit limit = Limit::Slots;
    std::uint64_t former = 0;
    std::uint64_t next = 0;
};

using FindingDetail =
        std::variant<InvalidText, CustomerConflict, StaleBase, CutoverStepExceeded, UnusedZone,
                     AddressNotUnicast, SingleUpstream, SingleZone, GroupWithoutFlows,
                     AllUpstreamsDrained, RateAboveCapacity, LimitContradiction, EntryAdded,
                     EntryRemoved, AddressChanged, UpstreamZoneChanged, UpstreamCountChanged,
                     ShareMoved, LimitChanged>;

/// Something that an operator should know before the contract is sent.
struct Finding
{
    Severity severity = Severity::Note;
    /// Path of the key, such as "service[1].idle_limit_s", or of the entry that would contain a
    /// removed one; empty for the whole text.
    std::string key;
    FindingDetail detail;
    /// Place of the key in the text.
    version::TextPlace place {};
};

} // namespace banyanwall::ctl
