#include "process/admissionmetrics.h"

#include <functional>
#include <sstream>
#include <string_view>

namespace banyanwall::process {

using connection::OpeningAdmission;
using connection::ServiceAdmission;

namespace {

using ServiceValue = std::function<double(const ServiceAdmission &)>;

void writeGauge(std::ostringstream &text, const OpeningAdmission &admission, std::string_view name,
                const ServiceValue &valueOf)
{
    text << "# TYPE banyanwall_" << name << " gauge\n";
    for (const auto service : admission.services()) {
        text << "banyanwall_" << name << "{service_id=\"" << service.value() << "\"} "
             << valueOf(*admission.find(service)) << "\n";
    }
}

void writeRefusals(std::ostringstream &text, const OpeningAdmission &admission)
{
    text << "# TYPE banyanwall_openings_refused_total counter\n";
    for (std::size_t priority = 0; priority < OpeningAdmission::PriorityCount; ++priority) {
        text << "banyanwall_openings_refused_total{priority=\"" << priority << "\"} "
             << admission.refusals()[priority] << "\n";
    }
}

void writeShares(std::ostringstream &text, const OpeningAdmission &admission)
{
    text << "# TYPE banyanwall_admitted_share gauge\n";
    for (const auto service : admission.services()) {
        for (std::size_t priority = 0; priority < OpeningAdmission::PriorityCount; ++priority) {
            text << "banyanwall_admitted_share{service_id=\"" << service.value() << "\",priority=\""
                 << priority << "\"} " << admission.find(service)->shareOf(priority) << "\n";
        }
    }
}

} // namespace

std::string admissionMetricsText(const OpeningAdmission &admission)
{
    std::ostringstream text;
    writeRefusals(text, admission);
    writeGauge(text, admission, "room_slots",
               [](const ServiceAdmission &service) { return service.observation().room; });
    writeGauge(text, admission, "demand_slots",
               [](const ServiceAdmission &service) { return service.observation().demand; });
    writeGauge(text, admission, "late_share",
               [](const ServiceAdmission &service) { return service.lateShare(); });
    writeShares(text, admission);
    return text.str();
}

} // namespace banyanwall::process
