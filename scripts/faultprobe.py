"""Measurements of the fault benchmark: versions in force, resources of instances, caller reports."""

import concurrent.futures
import json
import time

from demofleet import CUSTOMER
from fleet import FleetError, http_get

CONTRACT_KEY = f"contracts/{CUSTOMER}"
POLL_INTERVAL_S = 0.02
STATUS_TIMEOUT_S = 1.0
BYTES_PER_KIB = 1024


class Probe:
    """Reads /status of all instances at the same time."""

    def __init__(self, system):
        self._system = system
        self._pool = concurrent.futures.ThreadPoolExecutor(max_workers=len(system.instances))

    def close(self):
        self._pool.shutdown()

    def statuses(self):
        """Status by name of each instance that answers."""
        names = list(self._system.instances)
        return {name: status for name, status in zip(names, self._pool.map(self._status, names))
                if status is not None}

    def version(self):
        """Newest version of the contract that an instance knows."""
        return max(status["documents"].get(CONTRACT_KEY, {"known": 0})["known"]
                   for status in self.statuses().values())

    def wait_in_force(self, version, began, limit):
        """Seconds since began until all instances that answer have the contract version in force."""
        while True:
            statuses = self.statuses()
            behind = [name for name, status in statuses.items()
                      if status["documents"].get(CONTRACT_KEY, {"in_force": 0})["in_force"]
                      < version]
            seconds = time.monotonic() - began
            if statuses and not behind:
                return seconds
            if seconds > limit:
                raise FleetError(f"contract version {version} not in force on {','.join(behind)} "
                                 f"after {limit} s")
            time.sleep(POLL_INTERVAL_S)

    def watch_in_force(self, started, base, count, limit):
        """Waits until the count versions after base are in force on all instances that answer.
        started holds the moment of the command for each version and is filled meanwhile. Returns the
        seconds that each version took, in their order."""
        seconds = []
        while len(seconds) < count:
            in_force = min(status["documents"].get(CONTRACT_KEY, {"in_force": 0})["in_force"]
                           for status in self.statuses().values())
            now = time.monotonic()
            while len(seconds) < count and base + len(seconds) + 1 <= in_force:
                seconds.append(now - started[base + len(seconds) + 1])
            oldest = started.get(base + len(seconds) + 1, now)
            if now - oldest > limit:
                raise FleetError(f"contract version {base + len(seconds) + 1} not in force after "
                                 f"{limit} s")
            time.sleep(POLL_INTERVAL_S)
        return seconds

    def usage(self, seconds):
        """Largest values over the instances during an interval: control bytes a second, CPU share in
        percent of a core, resident KiB."""
        before, began = self.statuses(), time.monotonic()
        time.sleep(seconds)
        after = self.statuses()
        elapsed = time.monotonic() - began
        keys = ("control_bytes_sent", "control_bytes_received")
        shared = [name for name in after if name in before]
        return {
            "control_bytes_per_s": max(sum(after[name][key] - before[name][key] for key in keys)
                                       for name in shared) / elapsed,
            "cpu_percent": max(after[name]["cpu_seconds"] - before[name]["cpu_seconds"]
                               for name in shared) / elapsed * 100,
            "resident_mib": max(self._resident_kib(name) for name in shared) / BYTES_PER_KIB}

    def _status(self, name):
        body = http_get(self._system.instances[name]["admin"], "/status", STATUS_TIMEOUT_S)
        return None if body is None else json.loads(body)

    def _resident_kib(self, name):
        pid = self._system.instances[name]["program"].process.pid
        with open(f"/proc/{pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmRSS:"))


def broken_between(reports, begin_ms, end_ms, excluded_upstreams=()):
    """Feeds that broke in a time span, without those of the excluded upstream ids."""
    return [feed for report in reports.values() for feed in report["feeds"]["broken_feeds"]
            if begin_ms <= feed["unix_ms"] < end_ms
            and feed["upstream"] not in excluded_upstreams]


def total(reports, group, key):
    return sum(report[group][key] for report in reports.values())


def false_not_run(reports, runs):
    """Requests that ran although their caller was told that they did not."""
    return sum(1 for report in reports.values() for request in report["requests"]["not_run_ids"]
               if str(request) in runs) + total(reports, "requests", "conflicting_verdicts")


def refusals(reports):
    """Refused requests by reason."""
    counts = {}
    for report in reports.values():
        for reason, count in report["requests"]["refusals"].items():
            counts[reason] = counts.get(reason, 0) + count
    return counts
