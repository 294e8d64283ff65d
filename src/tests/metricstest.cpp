#include "process/metrics.h"

#include <CppUTest/TestHarness.h>

using namespace banyanwall;
using common::Reason;
using common::ServiceId;
using common::UpstreamId;
using process::Counter;
using process::Metrics;

TEST_GROUP(Metrics)
{
    Metrics metrics;

    void checkLine(const std::string &line) const
    {
        STRCMP_CONTAINS((line + "\n").c_str(), metrics.prometheusText().c_str());
    }
};

// Guards against refusals that are counted as retries or under another reason.
TEST(Metrics, countsRefusalsAndRetriesApart)
{
    metrics.countRefusal(Reason::UnknownFlow);
    metrics.countRetry(Reason::UpstreamShed);
    metrics.countRetry(Reason::UpstreamShed);
    LONGS_EQUAL(1, metrics.refusals(Reason::UnknownFlow));
    LONGS_EQUAL(0, metrics.refusals(Reason::UpstreamShed));
    checkLine("banyanwall_refusals_total{reason=\"unknown_flow\"} 1");
    checkLine("banyanwall_retries_total{reason=\"upstream_shed\"} 2");
    checkLine("banyanwall_retries_total{reason=\"unknown_flow\"} 0");
}

// Guards against a list of names whose order differs from enum Counter, so that counters are
// exported under the names of others.
TEST(Metrics, namesCountersInOrder)
{
    metrics.count(Counter::FabricDatagrams, 3);
    metrics.count(Counter::ControlBytesSent, 70);
    metrics.count(Counter::RelayBytesReceived, 9);
    checkLine("banyanwall_fabric_datagrams_total 3");
    checkLine("banyanwall_control_bytes_sent_total 70");
    checkLine("banyanwall_relay_bytes_received_total 9");
}

// Guards against buckets that are not cumulative: Prometheus would compute wrong quantiles.
TEST(Metrics, latencyBucketsAreCumulative)
{
    metrics.observeLatency(std::chrono::milliseconds(4));
    metrics.observeLatency(std::chrono::milliseconds(40));
    metrics.observeLatency(std::chrono::seconds(60));
    checkLine("banyanwall_request_latency_seconds_bucket{le=\"0.005\"} 1");
    checkLine("banyanwall_request_latency_seconds_bucket{le=\"0.05\"} 2");
    checkLine("banyanwall_request_latency_seconds_bucket{le=\"10\"} 2");
    checkLine("banyanwall_request_latency_seconds_bucket{le=\"+Inf\"} 3");
    checkLine("banyanwall_request_latency_seconds_count 3");
}

// Guards against an imbalance that mixes services or includes the load of earlier intervals.
TEST(Metrics, imbalanceIsLargestLoadOverMean)
{
    for (int count = 0; count < 3; ++count) {
        metrics.countLoad(ServiceId(1), UpstreamId(10));
    }
    metrics.countLoad(ServiceId(1), UpstreamId(11));
    metrics.countLoad(ServiceId(2), UpstreamId(20));
    metrics.sampleImbalance();
    metrics.sampleImbalance();
    checkLine("banyanwall_load_imbalance_ratio_bucket{le=\"1.01\"} 1");
    checkLine("banyanwall_load_imbalance_ratio_bucket{le=\"2\"} 2");
    checkLine("banyanwall_load_imbalance_ratio_count 2");
    checkLine("banyanwall_load_imbalance_ratio_sum 2.5");
}
