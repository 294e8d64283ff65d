#include "process/loadmetrics.h"

#include <sstream>
#include <string_view>

namespace banyanwall::process {

namespace {

template<typename Items, typename Value>
void writeGauge(std::ostream &text, std::string_view name, const Items &items, Value value)
{
    text << "# TYPE " << name << " gauge\n";
    for (const auto &item : items) {
        text << name << "{service=\"" << item.service.value() << "\"} " << value(item) << "\n";
    }
}

} // namespace

std::string loadMetricsText(const connection::LoadPicture &picture, common::TimePoint now)
{
    std::ostringstream text;
    writeGauge(text, "banyanwall_zone_busy_slots", picture.demands(now),
               [](const auto &demand) { return demand.busySlots; });
    const auto loads = picture.serviceLoads();
    writeGauge(text, "banyanwall_mean_slowness", loads,
               [](const auto &load) { return load.meanSlowness; });
    writeGauge(text, "banyanwall_slow_upstreams", loads,
               [](const auto &load) { return load.slowUpstreams; });
    return text.str();
}

} // namespace banyanwall::process
