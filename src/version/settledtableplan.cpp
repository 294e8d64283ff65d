#include "version/settledtableplan.h"

#include <algorithm>
#include <map>
#include <string>

namespace banyanwall::version {

using common::BucketIndex;
using common::SettledRevision;
using common::UpstreamId;
using wire::proto::SettledService;

namespace {

constexpr std::size_t BytesPerBucket = 2;
constexpr std::size_t BitsPerByte = 8;
constexpr unsigned ByteMask = 0xff;

/// Computes the next table of one service from the table of its map.
class SettledTablePlan
{
public:
    explicit SettledTablePlan(const SettledTableInput &input)
        : m_input(input)
        , m_table(input.map.settledTable())
    {
        for (const auto &upstream : input.roster.upstreams) {
            m_states.emplace(upstream.id, upstream.state);
        }
    }

    SettledTable run()
    {
        for (std::uint32_t bucket = 0; bucket < BucketCount; ++bucket) {
            replaceUnusable(bucket);
        }
        for (const auto &report : m_input.reports) {
            if (report.revision == m_input.map.settledRevision()
                && report.rosterVersion == m_input.map.rosterVersion()) {
                apply(report);
            }
        }
        return m_table;
    }

private:
    [[nodiscard]] UpstreamId openOf(std::uint32_t bucket) const
    {
        return m_input.map.entry(BucketIndex(bucket)).openUpstream;
    }

    /// Returns true if no flow of the upstream can continue: the upstream has failed, or is
    /// withdrawn or not in the roster.
    [[nodiscard]] bool hasLostAllFlows(UpstreamId upstream) const
    {
        const auto state = m_states.find(upstream);
        return state == m_states.end() || state->second == UpstreamState::Withdrawn
                || m_input.lost.contains(upstream);
    }

    [[nodiscard]] bool isUsable(UpstreamId upstream) const
    {
        return !hasLostAllFlows(upstream) && !m_input.unreachable.contains(upstream);
    }

    void replaceUnusable(std::uint32_t bucket)
    {
        auto &current = m_table.defaults[bucket];
        if (isUsable(current)) {
            return;
        }
        const auto open = openOf(bucket);
        if (hasLostAllFlows(current) && isUsable(open)) {
            current = open;
        }
        if (current != UpstreamId(0) || open != UpstreamId(0)) {
            m_table.transitional.set(bucket);
        }
    }

    void apply(const TransitionReport &report)
    {
        for (const auto bucket : report.idle) {
            const auto index = bucket.value();
            if (index < BucketCount && isUsable(openOf(index))) {
                m_table.defaults[index] = openOf(index);
            }
        }
        for (const auto bucket : report.clean) {
            const auto index = bucket.value();
            if (index < BucketCount && m_table.defaults[index] == openOf(index)
                && isUsable(openOf(index))) {
                m_table.transitional.reset(index);
            }
        }
    }

    const SettledTableInput &m_input;
    SettledTable m_table;
    std::map<UpstreamId, UpstreamState> m_states;
};

} // namespace

std::optional<SettledTable> planSettled(const SettledTableInput &input,
                                        const std::optional<SettledTable> &current)
{
    if (current && current->revision != input.map.settledRevision()) {
        return std::nullopt;
    }
    auto next = SettledTablePlan(input).run();
    if (current && current->basedOnRoster >= next.basedOnRoster
        && current->defaults == next.defaults && current->transitional == next.transitional) {
        return std::nullopt;
    }
    next.revision = SettledRevision(next.revision.value() + 1);
    return next;
}

std::optional<wire::proto::SettledMap>
planSettledMap(const std::vector<SettledTableInput> &services,
               const wire::proto::SettledMap &current)
{
    wire::proto::SettledMap next;
    next.set_revision(current.revision() + 1);
    bool isChanged = current.services_size() != static_cast<int>(services.size());
    for (const auto &input : services) {
        const auto known = findSettled(current, input.roster.service);
        const auto planned = planSettled(input, known);
        isChanged = isChanged || planned.has_value();
        *next.add_services() = toProto(input.roster.service, planned ? *planned : *known);
    }
    return isChanged ? std::optional(next) : std::nullopt;
}

SettledService toProto(common::ServiceId service, const SettledTable &table)
{
    SettledService message;
    message.set_service(service.value());
    message.set_roster_version(table.basedOnRoster.value());
    std::map<UpstreamId, std::size_t> positions;
    std::string buckets;
    for (const auto upstream : table.defaults) {
        const auto [known, added] = positions.emplace(upstream, positions.size());
        if (added) {
            message.add_upstreams(upstream.value());
        }
        buckets.push_back(static_cast<char>(known->second & ByteMask));
        buckets.push_back(static_cast<char>((known->second >> BitsPerByte) & ByteMask));
    }
    message.set_buckets(std::move(buckets));
    std::string transitional(BucketCount / BitsPerByte, '\0');
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        if (table.transitional[bucket]) {
            auto &byte = transitional[bucket / BitsPerByte];
            byte = static_cast<char>(static_cast<unsigned char>(byte)
                                     | (1U << (bucket % BitsPerByte)));
        }
    }
    message.set_transitional(std::move(transitional));
    return message;
}

std::optional<SettledTable> fromProto(const SettledService &service, SettledRevision revision)
{
    const auto &buckets = service.buckets();
    const auto &transitional = service.transitional();
    if (buckets.size() != BytesPerBucket * BucketCount
        || transitional.size() != BucketCount / BitsPerByte) {
        return std::nullopt;
    }
    SettledTable table { revision, {}, {}, common::RosterVersion(service.roster_version()) };
    table.defaults.reserve(BucketCount);
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        const auto low = static_cast<unsigned char>(buckets[BytesPerBucket * bucket]);
        const auto high = static_cast<unsigned char>(buckets[BytesPerBucket * bucket + 1]);
        const int position = low + (high << BitsPerByte);
        if (position >= service.upstreams_size()) {
            return std::nullopt;
        }
        table.defaults.emplace_back(service.upstreams(position));
        const auto byte = static_cast<unsigned char>(transitional[bucket / BitsPerByte]);
        table.transitional[bucket] = ((byte >> (bucket % BitsPerByte)) & 1U) != 0;
    }
    return table;
}

std::optional<SettledTable> findSettled(const wire::proto::SettledMap &map,
                                        common::ServiceId service)
{
    const auto &services = map.services();
    const auto found = std::ranges::find_if(services, [&](const SettledService &entry) {
        return entry.service() == service.value();
    });
    return found == services.end() ? std::nullopt
                                   : fromProto(*found, SettledRevision(map.revision()));
}

} // namespace banyanwall::version
