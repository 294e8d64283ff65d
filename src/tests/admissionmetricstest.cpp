#include "process/admissionmetrics.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using namespace std::chrono_literals;

TEST_GROUP(AdmissionMetrics) {};

// Operators read from the metrics which priority was refused, and whether room or demand has
// changed.
TEST(AdmissionMetrics, refusalsRoomAndShareAreShown)
{
    const common::ServiceId service { 7 };
    const common::TimePoint now { 100s };
    connection::OpeningAdmission admission;
    admission.update({ service, 240, 60, {}, now }, now);
    admission.recordRefusal({ .service = service, .priority = 1 });
    const auto text = process::admissionMetricsText(admission);
    STRCMP_CONTAINS("openings_refused_total{priority=\"0\"} 0\n", text.c_str());
    STRCMP_CONTAINS("openings_refused_total{priority=\"1\"} 1\n", text.c_str());
    STRCMP_CONTAINS("room_slots{service_id=\"7\"} 240\n", text.c_str());
    STRCMP_CONTAINS("demand_slots{service_id=\"7\"} 60\n", text.c_str());
    STRCMP_CONTAINS("admitted_share{service_id=\"7\",priority=\"1\"} 1\n", text.c_str());
}
