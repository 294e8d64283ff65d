"""Cost of each role of an instance and of each storm (many events within a short time) at the
target size, calculated from the fitted lines of the benchmark metrics."""

from dataclasses import dataclass
from typing import Callable

# Target size of the product: instances, upstreams, services and load of all regions together.
INSTANCES = 520
REGIONS = 2
ZONES_PER_REGION = 4
ZONES = REGIONS * ZONES_PER_REGION
UPSTREAMS = 6_000
# Each service has one address.
SERVICES = 1_300
OPEN_FLOWS = 10_000_000
NEW_FLOWS_PER_S = 43_000
CHANGES_PER_DAY = 2_200
# Failures and restarts of instances.
FAILURES_PER_DAY = 24
RESTARTS_PER_DAY = 620
SECONDS_PER_DAY = 86_400

INSTANCES_PER_REGION = INSTANCES // REGIONS
# Each customer of both current users has two services.
CUSTOMERS = SERVICES // 2
UPSTREAMS_PER_INSTANCE = UPSTREAMS / INSTANCES
NEW_FLOWS_PER_S_PER_INSTANCE = NEW_FLOWS_PER_S / INSTANCES
FLOWS_PER_INSTANCE = OPEN_FLOWS / INSTANCES
# Mean lifetime: with a constant number of open flows, new flows replace all open ones in this time.
FLOW_LIFETIME_S = OPEN_FLOWS / NEW_FLOWS_PER_S
UPSTREAMS_PER_SERVICE = UPSTREAMS / SERVICES
# Changes of one service per second.
CHANGES_PER_SERVICE_PER_S = CHANGES_PER_DAY / SERVICES / SECONDS_PER_DAY
# A bucket stays transitional until the flows at its default upstream have ended and the idle limit
# of 60 s has passed.
TRANSITION_S = FLOW_LIFETIME_S + 60
# A change of one upstream moves its share of the service's buckets (1 / UPSTREAMS_PER_SERVICE),
# which become transitional.
TRANSITIONAL_BUCKET_SHARE = min(
    1.0, CHANGES_PER_SERVICE_PER_S * TRANSITION_S) / UPSTREAMS_PER_SERVICE
PROBE_BYTES = 120

TARGET = {"budgets": {"bytes/s": 10_000.0, "MB": 32.0, "% of a core": 2.5}}


@dataclass
class Row:
    """One table row. value() calculates its figure, in the unit of the resource, from a dictionary
    of the fits by metric; basis is the text that explains the calculation."""

    role: str
    mechanism: str
    resource: str
    basis: str
    value: Callable


def metric_at(metric, size, factor=1.0):
    """Returns a function for Row.value: the metric at a size, times a factor."""
    return lambda fits: fits[metric].value_at(size) * factor


OVERRIDES_PER_INSTANCE = 2 * OPEN_FLOWS * TRANSITIONAL_BUCKET_SHARE / INSTANCES
# In one region. A restart counts as two events.
MEMBER_EVENTS_PER_S = (FAILURES_PER_DAY + 2 * RESTARTS_PER_DAY) / REGIONS / SECONDS_PER_DAY
CHANGES_PER_S = CHANGES_PER_DAY / SECONDS_PER_DAY
DOCUMENT_BYTES = 4_000

ROLES = [
    Row("packet forwarding", "bucket maps of all services", "MB", "`router_memory_bytes` at 1,300 services",
        metric_at("router_memory_bytes", SERVICES, 1e-6)),
    Row("catalogue", "newest document of each contract", "MB", "`catalogue_memory_bytes` at 650 customers",
        metric_at("catalogue_memory_bytes", CUSTOMERS, 1e-6)),
    Row("settled maps", "one document a customer", "MB",
        "`catalogue_memory_bytes` at 1,300: a settled service is 4.1 KB, as a contract in the benchmark",
        metric_at("catalogue_memory_bytes", SERVICES, 1e-6)),
    Row("bucket ownership", "overrides in the transitional share of buckets", "MB",
        f"`override_bytes_per_record` x {OVERRIDES_PER_INSTANCE:,.0f} records",
        lambda fits: fits["override_bytes_per_record"].value_at(1e5) * OVERRIDES_PER_INSTANCE / 1e6),
    Row("membership", "view of the region", "MB", "`membership_memory_bytes` at 260",
        metric_at("membership_memory_bytes", INSTANCES_PER_REGION, 1e-6)),
    Row("request coordination", "requests in progress and markers for 60 s", "MB",
        f"`bytes_per_request_marker` x {60 * NEW_FLOWS_PER_S_PER_INSTANCE:,.0f}, "
        "as many requests as new flows",
        lambda fits: fits["bytes_per_request_marker"].value_at(4_000)
        * 60 * NEW_FLOWS_PER_S_PER_INSTANCE / 1e6),
    Row("upstream ownership", "slots and slow start", "MB", "`upstream_owner_memory_bytes` at 12",
        metric_at("upstream_owner_memory_bytes", 12, 1e-6)),
    Row("membership", "heartbeats and acknowledgements to 8 neighbours", "bytes/s", "`heartbeat_bytes_per_s` at 260",
        metric_at("heartbeat_bytes_per_s", INSTANCES_PER_REGION)),
    Row("membership", "flooded updates of failures and restarts", "bytes/s",
        f"`member_failure_bytes` at 260 x {MEMBER_EVENTS_PER_S:.4f} events/s",
        metric_at("member_failure_bytes", INSTANCES_PER_REGION, MEMBER_EVENTS_PER_S)),
    Row("dissemination of revisions", "offer to neighbours, one fetch", "bytes/s",
        f"`change_bytes` at 260 x {CHANGES_PER_S:.4f} changes/s x 2 (contract and settled map)",
        metric_at("change_bytes", INSTANCES_PER_REGION, 2 * CHANGES_PER_S)),
    Row("bucket ownership", "handover after a restart", "bytes/s",
        "`handover_bytes` for the records of one instance x restarts, spread over its region",
        lambda fits: fits["handover_bytes"].value_at(1e5) / 1e5 * OVERRIDES_PER_INSTANCE
        * RESTARTS_PER_DAY / REGIONS / SECONDS_PER_DAY / INSTANCES_PER_REGION * 2),
    Row("upstream ownership", "probes twice a second", "bytes/s",
        f"2 x {PROBE_BYTES} bytes x {UPSTREAMS_PER_INSTANCE:.1f} upstreams",
        lambda fits: 2 * PROBE_BYTES * UPSTREAMS_PER_INSTANCE),
    Row("membership", "heartbeats", "% of a core", "`heartbeat_cpu_us_per_s` at 260",
        metric_at("heartbeat_cpu_us_per_s", INSTANCES_PER_REGION, 1e-4)),
    Row("packet forwarding", "rebuild of maps after a change of members", "% of a core",
        f"`member_change_ms` at 260 (one service in transition) x {MEMBER_EVENTS_PER_S:.4f} events/s "
        "x services in transition",
        lambda fits: fits["member_change_ms"].value_at(INSTANCES_PER_REGION) * MEMBER_EVENTS_PER_S * 0.1
        * SERVICES * min(1.0, CHANGES_PER_SERVICE_PER_S * TRANSITION_S)),
    Row("packet forwarding", "rebuild of one map after a contract change", "% of a core",
        f"`roster_change_ms` at 260 x {CHANGES_PER_S:.4f} changes/s x 2 (roster and settled map)",
        metric_at("roster_change_ms", INSTANCES_PER_REGION, CHANGES_PER_S * 2 * 0.1)),
    Row("catalogue", "update and digest", "% of a core", "`catalogue_update_us` at 1,300",
        metric_at("catalogue_update_us", SERVICES, CHANGES_PER_S * 1e-4)),
    Row("upstream ownership", "grant and release of slots", "% of a core",
        "`slot_cycle_us` and two signed messages (`peer_message_us` at 64 bytes), one request a new flow",
        lambda fits: (fits["slot_cycle_us"].value_at(12) + 3 * fits["peer_message_us"].value_at(64))
        * NEW_FLOWS_PER_S_PER_INSTANCE * 1e-4),
    Row("store client", "lease renewals and watches, whole fleet", "store calls/s",
        "520 renewals each 10 s, 2 watches a zone, 2 calls a change",
        lambda fits: INSTANCES / 10 + 2 * ZONES + 2 * CHANGES_PER_S),
    Row("operator interface", "`/status` polled by `--wait` on each instance", "requests a change",
        "one each second and instance while a change is rolled out", lambda fits: INSTANCES),
]

STORMS = [
    Row("rack of 20 instances back at once", "flooded updates", "bytes an instance",
        "20 x 2 events x `member_failure_bytes` at 260",
        metric_at("member_failure_bytes", INSTANCES_PER_REGION, 40)),
    Row("rack of 20 instances back at once", "rebuild of maps", "ms of a core",
        "20 x `member_change_ms` at 260 for each service in transition",
        lambda fits: 20 * fits["member_change_ms"].value_at(INSTANCES_PER_REGION) * SERVICES
        * min(1.0, CHANGES_PER_SERVICE_PER_S * TRANSITION_S)),
    Row("zone returns with 750 cold upstreams", "slow start from one slot, opens in 5 steps", "s to full share",
        "5 steps over 30 s by contract", lambda fits: 30.0),
    Row("zone returns with 750 cold upstreams", "overrides: 1/4 of a region's buckets in transition", "MB",
        "`override_bytes_per_record` x 2 x open flows of a region x 1/4, by instance",
        lambda fits: fits["override_bytes_per_record"].value_at(1e5) * 2
        * (OPEN_FLOWS / REGIONS / ZONES_PER_REGION) / INSTANCES_PER_REGION / 1e6),
    Row("zone withdrawn, all services in transition", "bucket maps with owners of transitional buckets", "MB",
        "`router_bytes_zone_withdrawn` at 1,300 services",
        metric_at("router_bytes_zone_withdrawn", SERVICES, 1e-6)),
    Row("zone withdrawn, all services in transition", "rebuild of maps for each change of members", "ms of a core",
        "`member_change_zone_withdrawn_ms` at 1,300 services",
        metric_at("member_change_zone_withdrawn_ms", SERVICES)),
    Row("store down for an hour", "heartbeats to all members each 1.5 s", "bytes/s",
        "`heartbeat_bytes_per_s_store_down` at 260",
        metric_at("heartbeat_bytes_per_s_store_down", INSTANCES_PER_REGION)),
    Row("store back after an hour", "lease renewals with back-off and jitter", "calls",
        "one grant and one read an instance, 2 watches a zone", lambda fits: 2 * INSTANCES + 2 * ZONES),
    Row("100 changes in a minute", "offer to neighbours, one fetch", "bytes/s",
        "100/60 s x 2 x `change_bytes` at 260 (contract and settled map)",
        metric_at("change_bytes", INSTANCES_PER_REGION, 100 / 60 * 2)),
    Row("100 changes in a minute", "rebuild of maps", "% of a core", "100/60 s x `roster_change_ms` at 260",
        metric_at("roster_change_ms", INSTANCES_PER_REGION, 100 / 60 * 0.1)),
    Row("regions join after an hour", "summary of versions, then the documents that differ", "bytes an instance",
        "`catalogue_summary_bytes` at 1,300 + changes of an hour x 4,000 bytes",
        lambda fits: fits["catalogue_summary_bytes"].value_at(SERVICES)
        + CHANGES_PER_DAY / 24 * DOCUMENT_BYTES),
]
