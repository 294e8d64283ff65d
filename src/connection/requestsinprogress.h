#pragma once

#include "common/endpoint.h"
#include "common/ids.h"
#include "common/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace banyanwall::connection {

/// Kind of request: requests of one kind usually take about the same time.
struct RequestKind
{
    /// The value of sizeClass that stands for all sizes.
    static constexpr std::uint8_t AnySize = 0;

    common::Endpoint route;
    /// Size of the request in powers of two, coarse; see sizeClassOf().
    std::uint8_t sizeClass = AnySize;

    auto operator<=>(const RequestKind &) const = default;
};

/// Size class of a request by the bytes of its first packet; never RequestKind::AnySize.
[[nodiscard]] std::uint8_t sizeClassOf(std::uint16_t payloadBytes);

/// A request that waits for its answer.
struct RequestInProgress
{
    /// Hash of the flow; zero when there is no request.
    std::uint64_t flow = 0;
    common::TimePoint startedAt;
    RequestKind kind;
    common::FlowToken upstream;
    /// Start of the upstream that got the request.
    common::Incarnation incarnation;
    /// A report to the zone has held its work.
    bool isReported = false;
};

/// Requests that wait for their answers, at most one a flow. Bounded: a new request may displace an
/// older one. Memory is allocated at the first request. Not thread-safe.
class RequestsInProgress
{
public:
    static constexpr std::size_t Capacity = 4'096;

    /// Replaces the earlier request of the flow.
    void add(const RequestInProgress &request);
    /// Does nothing when the flow has no request.
    void remove(std::uint64_t flow);

    /// Calls visitor(RequestInProgress &) for each request; a request is removed when it returns
    /// false.
    template<typename Visitor>
    void retain(const Visitor &visitor)
    {
        for (auto &request : m_requests) {
            if (request.flow != 0 && !visitor(request)) {
                request = {};
            }
        }
    }

private:
    static constexpr std::size_t Ways = 4;

    std::vector<RequestInProgress> m_requests;
};

} // namespace banyanwall::connection

template<>
struct std::hash<banyanwall::connection::RequestKind>
{
    static constexpr unsigned SizeClassShift = 56;

    std::size_t operator()(const banyanwall::connection::RequestKind &kind) const noexcept
    {
        return std::hash<banyanwall::common::Endpoint> {}(kind.route)
                ^ (std::size_t { kind.sizeClass } << SizeClassShift);
    }
};
