#pragma once

#include "common/hash.h"
#include "connection/openingpolicy.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

namespace banyanwall::tests {

inline constexpr common::ServiceId Bancada { 1 };
inline constexpr common::ServiceId Certidao { 2 };
inline constexpr common::ZoneId OwnZone { 10 };
inline constexpr common::ZoneId OtherZone { 20 };

/// An opening policy with the directory that it reads.
struct OpeningFixture : Utest
{
    version::Directory directory;
    connection::UpstreamTable upstreams { 1 };
    connection::OpeningPolicy policy { upstreams };
    common::TimePoint now { std::chrono::seconds(100) };
    std::uint64_t revision = 0;

    void setup() override
    {
        policy.setPosition({ .zone = OwnZone, .instance = 1, .members = { 1 } },
                           now - std::chrono::minutes(1));
        apply(true, {});
    }

    void apply(bool complete, std::vector<version::DirectoryChange> changes)
    {
        const common::StoreRevision from(revision);
        ++revision;
        std::ranges::for_each(
                changes, [&](auto &change) { change.position = common::StoreRevision(revision); });
        const auto changed = directory.apply(
                { from, common::StoreRevision(revision), complete, std::move(changes) }, now);
        upstreams.update(directory, changed, now);
    }

    void put(const version::UpstreamRecord &record)
    {
        apply(false, { { version::keyOf(record), {}, record } });
    }

    static version::UpstreamRecord upstream(std::uint64_t serial, common::ZoneId zone = OwnZone)
    {
        return { .serial = common::UpstreamSerial(serial),
                 .service = Bancada,
                 .endpoint = { 0x0a000000U + static_cast<std::uint32_t>(serial), 8080 },
                 .zone = zone,
                 .slots = 3 };
    }

    void putMany(std::uint64_t first, std::uint64_t count, common::ZoneId zone = OwnZone)
    {
        for (auto serial = first; serial < first + count; ++serial) {
            put(upstream(serial, zone));
        }
    }

    void remove(std::uint64_t serial)
    {
        apply(false, { { version::keyOf(upstream(serial)), {}, version::RemovedRecord {} } });
    }

    void withdraw(common::ZoneId zone, bool isWithdrawn)
    {
        const version::WithdrawalRecord record { zone };
        auto value = isWithdrawn ? version::DirectoryValue(record)
                                 : version::DirectoryValue(version::RemovedRecord {});
        apply(false, { { version::keyOf(record), {}, value } });
    }

    void putRules(double coldOpensPerSecond)
    {
        const version::RulesRecord rules { .version = revision + 1,
                                           .services = {
                                                   { .service = Bancada,
                                                     .coldPeriod = std::chrono::seconds(2),
                                                     .coldOpensPerSecond = coldOpensPerSecond } } };
        apply(false, { { version::keyOf(rules), {}, rules } });
    }

    /// Opens flows and returns the number of openings of each upstream.
    std::map<std::uint64_t, int> countOpenings(int flows)
    {
        std::map<std::uint64_t, int> openings;
        for (int flow = 0; flow < flows; ++flow) {
            const auto *chosen = policy.choose({ Bancada, common::mixBits(flow) }, now);
            if (chosen != nullptr) {
                ++openings[chosen->record.serial.value()];
            }
        }
        return openings;
    }

    connection::TrackedUpstream &tracked(std::uint64_t serial)
    {
        return *upstreams.find(connection::tokenOf(common::UpstreamSerial(serial)));
    }

    /// Sets the demands as those of the last minute.
    void knowDemands(connection::OpeningPolicy &chooser,
                     const std::vector<connection::ServiceDemand> &demands) const
    {
        chooser.setDemands(demands, now - std::chrono::minutes(1));
    }

    void suspect(std::uint64_t serial)
    {
        tracked(serial).health.onDataRetransmitted(1, now);
        tracked(serial).health.onDataRetransmitted(2, now);
    }
};

} // namespace banyanwall::tests
