// Faults that a simulated load is subjected to.
#include "benchmarks/flowload.h"

namespace banyanwall::benchmarks {

namespace {

// The platform removes the entry of an upstream that has crashed after this time.
constexpr std::chrono::milliseconds CrashedEntryLifetime { 2'600 };

} // namespace

void FlowLoad::setSlowness(int upstream, double factor)
{
    m_upstreams.at(static_cast<std::size_t>(upstream))->setSlowness(factor);
}

void FlowLoad::dropAnswerEvery(int upstream, std::uint32_t count)
{
    m_upstreams.at(static_cast<std::size_t>(upstream))->dropAnswerEvery(count);
}

void FlowLoad::crash(int upstream)
{
    auto &fake = *m_upstreams.at(static_cast<std::size_t>(upstream));
    fake.setCrashed(true);
    m_events.after(CrashedEntryLifetime, [this, &fake] {
        if (fake.isCrashed()) {
            publish({ version::keyOf(fake.record()), {}, version::RemovedRecord {} });
        }
    });
}

void FlowLoad::restart(int upstream)
{
    auto &fake = *m_upstreams.at(static_cast<std::size_t>(upstream));
    fake.setCrashed(false);
    publish({ version::keyOf(fake.record()), {}, fake.record() });
}

void FlowLoad::cutZone(int zone, bool isCut)
{
    m_cutZones.at(static_cast<std::size_t>(zone)) = isCut;
}

} // namespace banyanwall::benchmarks
