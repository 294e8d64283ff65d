"""Measurements of the fault benchmark: contract versions in force, resources of instances and
figures of the caller reports."""

import concurrent.futures
import json
import time

from demofleet import CUSTOMER
from fleet import FleetError, http_get

CONTRACT_KEY = f"contracts/{CUSTOMER}"
POLL_INTERVAL_S = 0.02
STATUS_TIMEOUT_S = 1.0
KIB_PER_MIB = 1024


class Probe:
    """Requests /status of all instances in parallel."""

    def __init__(self, system):
        self._system = system
        self._pool = concurrent.futures.ThreadPoolExecutor(max_workers=len(system.instances))

    def close(self):
        self._pool.shutdown()

    def statuses(self):
        """Returns the status of each instance that answers, by instance name."""
        names = list(self._system.instances)
        return {name: status for name, status in zip(names, self._pool.map(self._status, names))
                if status is not None}

    def version(self):
        """Returns the newest version of the contract that any instance knows."""
        return max(status["documents"].get(CONTRACT_KEY, {"known": 0})["known"]
                   for status in self.statuses().values())

    def wait_in_force(self, version, start_time, limit):
        """Waits until all instances that answer have the contract version in force. Returns the
        seconds since start_time, a time.monotonic() value; raises FleetError if they exceed
        limit."""
        while True:
            statuses = self.statuses()
            behind = [name for name, status in statuses.items()
                      if status["documents"].get(CONTRACT_KEY, {"in_force": 0})["in_force"]
                      < version]
            seconds = time.monotonic() - start_time
            if statuses and not behind:
                return seconds
            if seconds > limit:
                raise FleetError(f"contract version {version} not in force on {','.join(behind)} "
                                 f"after {limit} s")
            time.sleep(POLL_INTERVAL_S)

    def watch_in_force(self, command_times, base_version, count, limit):
        """Waits until the next count versions after base_version are in force on all instances that
        answer. command_times holds the time.monotonic() value of the command for each version; the
        caller adds entries while this method runs. Returns for each version, in order, the seconds
        from its command until it was in force. Raises FleetError when a version takes more than
        limit seconds."""
        seconds = []
        while len(seconds) < count:
            in_force = min(status["documents"].get(CONTRACT_KEY, {"in_force": 0})["in_force"]
                           for status in self.statuses().values())
            now = time.monotonic()
            while len(seconds) < count and base_version + len(seconds) + 1 <= in_force:
                seconds.append(now - command_times[base_version + len(seconds) + 1])
            oldest_command = command_times.get(base_version + len(seconds) + 1, now)
            if now - oldest_command > limit:
                raise FleetError(f"contract version {base_version + len(seconds) + 1} not in force "
                                 f"after {limit} s")
            time.sleep(POLL_INTERVAL_S)
        return seconds

    def usage(self, seconds):
        """Returns the largest values of any instance during an interval of the given seconds:
        control bytes sent and received per second, CPU time in percent of a core, resident MiB."""
        before, start = self.statuses(), time.monotonic()
        time.sleep(seconds)
        after = self.statuses()
        elapsed = time.monotonic() - start
        keys = ("control_bytes_sent", "control_bytes_received")
        names_in_both = [name for name in after if name in before]
        return {
            "control_bytes_per_s": max(sum(after[name][key] - before[name][key] for key in keys)
                                       for name in names_in_both) / elapsed,
            "cpu_percent": max(after[name]["cpu_seconds"] - before[name]["cpu_seconds"]
                               for name in names_in_both) / elapsed * 100,
            "resident_mib": max(self._resident_kib(name) for name in names_in_both) / KIB_PER_MIB}

    def _status(self, name):
        body = http_get(self._system.instances[name]["admin"], "/status", STATUS_TIMEOUT_S)
        return None if body is None else json.loads(body)

    def _resident_kib(self, name):
        pid = self._system.instances[name]["program"].process.pid
        with open(f"/proc/{pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmRSS:"))


def broken_between(reports, begin_ms, end_ms, excluded_upstreams=()):
    """Returns the feeds that broke from begin_ms until before end_ms (Unix time), except those to
    the excluded upstream ids."""
    return [feed for report in reports.values() for feed in report["feeds"]["broken_feeds"]
            if begin_ms <= feed["unix_ms"] < end_ms
            and feed["upstream"] not in excluded_upstreams]


def total(reports, group, key):
    return sum(report[group][key] for report in reports.values())


def false_not_run(reports, runs):
    """Returns the number of requests that ran although their caller got the verdict "not run"."""
    return sum(1 for report in reports.values() for request in report["requests"]["not_run_ids"]
               if str(request) in runs) + total(reports, "requests", "conflicting_verdicts")


def refusals(reports):
    """Returns the number of refused requests by reason."""
    counts = {}
    for report in reports.values():
        for reason, count in report["requests"]["refusals"].items():
            counts[reason] = counts.get(reason, 0) + count
    return counts
