"""What each role of an instance and each storm costs at the target size, from the fitted slopes."""

from dataclasses import dataclass
from typing import Callable

# The target of the product. Each region has four availability zones.
INSTANCES = 520
REGIONS = 2
ZONES_A_REGION = 4
ZONES = REGIONS * ZONES_A_REGION
UPSTREAMS = 6_000
ADDRESSES = 1_300
OPEN_FLOWS = 10_000_000
NEW_FLOWS = 43_000
CHANGES_A_DAY = 2_200
FAILURES_A_DAY = 24
RESTARTS_A_DAY = 620
DAY_SECONDS = 86_400

REGION_INSTANCES = INSTANCES // REGIONS
# Two services a customer, as both of today's users have.
CUSTOMERS = ADDRESSES // 2
UPSTREAMS_AN_INSTANCE = UPSTREAMS / INSTANCES
NEW_FLOWS_AN_INSTANCE = NEW_FLOWS / INSTANCES
FLOWS_AN_INSTANCE = OPEN_FLOWS / INSTANCES
# A flow lives as long as the open flows take to be replaced by new ones.
FLOW_SECONDS = OPEN_FLOWS / NEW_FLOWS
UPSTREAMS_A_SERVICE = UPSTREAMS / ADDRESSES
# An address changes this often; a change of one upstream moves its share of the buckets.
CHANGES_AN_ADDRESS = CHANGES_A_DAY / ADDRESSES / DAY_SECONDS
# Buckets stay in transition until the flows at the default have ended and the idle limit of 60 s has passed.
TRANSITION_SECONDS = FLOW_SECONDS + 60
SHARE_IN_TRANSITION = min(1.0, CHANGES_AN_ADDRESS * TRANSITION_SECONDS) / UPSTREAMS_A_SERVICE
PROBE_BYTES = 120

TARGET = {"budgets": {"bytes/s": 10_000.0, "MB": 32.0, "% of a core": 2.5}}


@dataclass
class Row:
    """One figure: value() takes the fits by metric."""

    role: str
    mechanism: str
    resource: str
    basis: str
    value: Callable


def at(metric, size, factor=1.0):
    return lambda fits: fits[metric].at(size) * factor


OVERRIDES_AN_INSTANCE = 2 * OPEN_FLOWS * SHARE_IN_TRANSITION / INSTANCES
MEMBER_EVENTS_A_SECOND = (FAILURES_A_DAY + 2 * RESTARTS_A_DAY) / REGIONS / DAY_SECONDS
CHANGES_A_SECOND = CHANGES_A_DAY / DAY_SECONDS
DOCUMENT_BYTES = 4_000

ROLES = [
    Row("packet forwarding", "bucket maps of all services", "MB", "`router_memory_bytes` at 1,300 services",
        at("router_memory_bytes", ADDRESSES, 1e-6)),
    Row("catalogue", "newest document of each contract", "MB", "`catalogue_memory_bytes` at 650 customers",
        at("catalogue_memory_bytes", CUSTOMERS, 1e-6)),
    Row("settled maps", "one document a customer", "MB",
        "`catalogue_memory_bytes` at 1,300: a settled service is 4.1 KB, as a contract in the benchmark",
        at("catalogue_memory_bytes", ADDRESSES, 1e-6)),
    Row("bucket ownership", "overrides in the transitional share of buckets", "MB",
        f"`override_bytes_per_record` x {OVERRIDES_AN_INSTANCE:,.0f} records",
        lambda fits: fits["override_bytes_per_record"].at(1e5) * OVERRIDES_AN_INSTANCE / 1e6),
    Row("membership", "view of the region", "MB", "`membership_memory_bytes` at 260",
        at("membership_memory_bytes", REGION_INSTANCES, 1e-6)),
    Row("request coordination", "requests in progress and markers for 60 s", "MB",
        f"`bytes_per_request_marker` x {60 * NEW_FLOWS_AN_INSTANCE:,.0f}, as many requests as new flows",
        lambda fits: fits["bytes_per_request_marker"].at(4_000) * 60 * NEW_FLOWS_AN_INSTANCE / 1e6),
    Row("upstream ownership", "slots and slow start", "MB", "`upstream_owner_memory_bytes` at 12",
        at("upstream_owner_memory_bytes", 12, 1e-6)),
    Row("membership", "heartbeats and acknowledgements to 8 neighbours", "bytes/s", "`heartbeat_bytes_per_s` at 260",
        at("heartbeat_bytes_per_s", REGION_INSTANCES)),
    Row("membership", "flooded news of failures and restarts", "bytes/s",
        f"`member_failure_bytes` at 260 x {MEMBER_EVENTS_A_SECOND:.4f} events/s",
        at("member_failure_bytes", REGION_INSTANCES, MEMBER_EVENTS_A_SECOND)),
    Row("spreading revisions", "offer to neighbours, one fetch", "bytes/s",
        f"`change_bytes` at 260 x {CHANGES_A_SECOND:.4f} changes/s x 2 (contract and settled map)",
        at("change_bytes", REGION_INSTANCES, 2 * CHANGES_A_SECOND)),
    Row("bucket ownership", "handover after a restart", "bytes/s",
        "`handover_bytes` for the records of one instance x restarts, spread over its region",
        lambda fits: fits["handover_bytes"].at(1e5) / 1e5 * OVERRIDES_AN_INSTANCE
        * RESTARTS_A_DAY / REGIONS / DAY_SECONDS / REGION_INSTANCES * 2),
    Row("upstream ownership", "probes twice a second", "bytes/s",
        f"2 x {PROBE_BYTES} bytes x {UPSTREAMS_AN_INSTANCE:.1f} upstreams",
        lambda fits: 2 * PROBE_BYTES * UPSTREAMS_AN_INSTANCE),
    Row("membership", "heartbeats", "% of a core", "`heartbeat_cpu_us_per_s` at 260",
        at("heartbeat_cpu_us_per_s", REGION_INSTANCES, 1e-4)),
    Row("packet forwarding", "rebuild of maps after a change of members", "% of a core",
        f"`member_change_ms` at 260 (one service in transition) x {MEMBER_EVENTS_A_SECOND:.4f} events/s x services in "
        "transition",
        lambda fits: fits["member_change_ms"].at(REGION_INSTANCES) * MEMBER_EVENTS_A_SECOND * 0.1
        * ADDRESSES * min(1.0, CHANGES_AN_ADDRESS * TRANSITION_SECONDS)),
    Row("packet forwarding", "rebuild of one map after a contract change", "% of a core",
        f"`roster_change_ms` at 260 x {CHANGES_A_SECOND:.4f} changes/s x 2 (roster and settled map)",
        at("roster_change_ms", REGION_INSTANCES, CHANGES_A_SECOND * 2 * 0.1)),
    Row("catalogue", "update and digest", "% of a core", "`catalogue_update_us` at 1,300",
        at("catalogue_update_us", ADDRESSES, CHANGES_A_SECOND * 1e-4)),
    Row("upstream ownership", "grant and release of slots", "% of a core",
        "`slot_cycle_us` and two signed messages (`peer_message_us` at 64 bytes), one request a new flow",
        lambda fits: (fits["slot_cycle_us"].at(12) + 3 * fits["peer_message_us"].at(64)) * NEW_FLOWS_AN_INSTANCE * 1e-4),
    Row("store client", "lease renewals and watches, whole fleet", "store calls/s",
        "520 renewals each 10 s, 2 watches a zone, 2 calls a change",
        lambda fits: INSTANCES / 10 + 2 * ZONES + 2 * CHANGES_A_SECOND),
    Row("operator interface", "`/status` polled by `--wait` on each instance", "requests a change",
        "one each second and instance while a change is rolled out", lambda fits: INSTANCES),
]

STORMS = [
    Row("rack of 20 instances back at once", "flooded news", "bytes an instance",
        "20 x 2 events x `member_failure_bytes` at 260",
        at("member_failure_bytes", REGION_INSTANCES, 40)),
    Row("rack of 20 instances back at once", "rebuild of maps", "ms of a core",
        "20 x `member_change_ms` at 260 for each service in transition",
        lambda fits: 20 * fits["member_change_ms"].at(REGION_INSTANCES) * ADDRESSES
        * min(1.0, CHANGES_AN_ADDRESS * TRANSITION_SECONDS)),
    Row("zone returns with 750 cold upstreams", "slow start from one slot, opens in 5 steps", "s to full share",
        "5 steps over 30 s by contract", lambda fits: 30.0),
    Row("zone returns with 750 cold upstreams", "overrides: 1/4 of a region's buckets in transition", "MB",
        "`override_bytes_per_record` x 2 x open flows of a region x 1/4, by instance",
        lambda fits: fits["override_bytes_per_record"].at(1e5) * 2
        * (OPEN_FLOWS / REGIONS / ZONES_A_REGION) / REGION_INSTANCES / 1e6),
    Row("zone withdrawn, all services in transition", "bucket maps with owners of transitional buckets", "MB",
        "`router_bytes_zone_withdrawn` at 1,300 services", at("router_bytes_zone_withdrawn", ADDRESSES, 1e-6)),
    Row("zone withdrawn, all services in transition", "rebuild of maps for each change of members", "ms of a core",
        "`member_change_zone_withdrawn_ms` at 1,300 services", at("member_change_zone_withdrawn_ms", ADDRESSES)),
    Row("store down for an hour", "heartbeats to all members each 1.5 s", "bytes/s",
        "`heartbeat_bytes_per_s_store_down` at 260", at("heartbeat_bytes_per_s_store_down", REGION_INSTANCES)),
    Row("store back after an hour", "lease renewals with back-off and jitter", "calls",
        "one grant and one read an instance, 2 watches a zone", lambda fits: 2 * INSTANCES + 2 * ZONES),
    Row("100 changes in a minute", "offer to neighbours, one fetch", "bytes/s",
        "100/60 s x 2 x `change_bytes` at 260 (contract and settled map)",
        at("change_bytes", REGION_INSTANCES, 100 / 60 * 2)),
    Row("100 changes in a minute", "rebuild of maps", "% of a core", "100/60 s x `roster_change_ms` at 260",
        at("roster_change_ms", REGION_INSTANCES, 100 / 60 * 0.1)),
    Row("regions join after an hour", "summary of versions, then the documents that differ", "bytes an instance",
        "`catalogue_summary_bytes` at 1,300 + changes of an hour x 4,000 bytes",
        lambda fits: fits["catalogue_summary_bytes"].at(ADDRESSES) + CHANGES_A_DAY / 24 * DOCUMENT_BYTES),
]
