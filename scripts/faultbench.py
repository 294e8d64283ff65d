#!/usr/bin/env python3
"""Measures the whole system on loopback addresses under faults: how long contract edits take to
come into force, also when the store goes down, and how many flows and requests of callers break or
fail when instances crash or pause and when the store is down. Prints each figure with its target
and exits with 1 when a target is missed."""

import argparse
import concurrent.futures
import signal
import statistics
import sys
import time

from demofleet import CUSTOMER, DemoFleet
from demoresult import STOP_LIMIT_MS, PACKETS, PROBES, sum_between
from faultprobe import Probe, broken_between, false_not_run, refusals, total
from fleet import FleetError, http_json, wait_until

# Below the range of ephemeral ports, which the system uses for outgoing connections.
PORT_BASE = 27000
EDIT_COUNT = 30
# From one command to the next. Shorter than an edit takes to come into force, so that 30 edits fit
# into the run.
EDIT_INTERVAL_S = 0.3
EDIT_TARGET_S = 3.0
EDIT_LIMIT_S = 10.0
STORE_DOWN_EDIT_COUNT = 3
STORE_DOWN_TARGET_S = 6.0
WITHDRAWN_ZONE = "escritorio"
DRAINED_UPSTREAMS = ("bancada-02", "bancada-03", "bancada-04")
# From the start of callers or a drain to the next step.
SETTLE_S = 2.0
# A caller counts a feed as broken after 8 packets, 0.5 s apart, without an echo.
BROKEN_FEED_DETECTION_S = 4.5
PAUSE_S = 15.0
STORE_OUTAGE_S = 20.0
USAGE_INTERVAL_S = 3.0
# Number of instances that watch the store: two in each of the three zones.
WATCHER_COUNT = 6
# Limits of docs/design.md for an instance: control traffic at the current size of the system, CPU
# time and memory of the control plane at the target size.
CONTROL_BYTES_PER_S_LIMIT = 4096
CPU_PERCENT_LIMIT = 2.5
RESIDENT_MIB_LIMIT = 32
# Exit statuses of banyanwallctl.
EXIT_CONFLICT = 3
EXIT_STORE_UNREACHABLE = 5


class FaultBench:
    """The parts of the benchmark. The methods _part_1 to _part_6 are called by number."""

    def __init__(self, system):
        self.system = system
        self.probe = Probe(system)
        self.missed_targets = 0
        # Duplicate runs that earlier parts have reported.
        self.reported_duplicate_runs = 0
        self.start_time = time.monotonic()
        self.requests_per_second = 400

    def run(self, parts):
        try:
            self._start()
            for part in parts:
                getattr(self, f"_part_{part}")()
        finally:
            self.probe.close()
        self._print_figure("run_seconds", time.monotonic() - self.start_time, 90)
        return 1 if self.missed_targets else 0

    def _print_figure(self, figure, value, upper_limit=None, target=None):
        """Prints a figure and whether it meets its target, if it has one: an upper limit or, if
        target is given, a text that must be equal."""
        shown = f"{value:.2f}" if isinstance(value, float) else str(value)
        if upper_limit is None and target is None:
            print(f"{figure}={shown} target=none", flush=True)
            return
        met = value <= upper_limit if target is None else shown == target
        limit = f"<={upper_limit}" if target is None else target
        self.missed_targets += 0 if met else 1
        print(f"{figure}={shown} target={limit} result={'met' if met else 'missed'}", flush=True)

    def _start(self):
        system = self.system
        system.start_stand_ins()
        for name in system.instances:
            system.start_instance(name)
        system.wait_healthy(system.instances)
        system.start_fabric()
        system.apply_contract(False, self.requests_per_second)
        print(f"instances={len(system.instances)} upstreams={len(system.upstreams)} "
              f"start_seconds={time.monotonic() - self.start_time:.1f}", flush=True)

    def _next_contract(self, file_name="workshop.toml"):
        self.requests_per_second += 1
        return self.system.write_contract(file_name, False, self.requests_per_second)

    def _edit(self, after_write=lambda: None):
        """Edits the contract and calls after_write when the write is accepted. Returns the seconds
        from the command until the version is in force on all instances."""
        path = self._next_contract()
        version = self.probe.version() + 1
        start_time = time.monotonic()
        self.system.ctl("contract", "apply", path)
        after_write()
        return self.probe.wait_in_force(version, start_time, EDIT_LIMIT_S)

    def _part_1(self):
        """Edits with the store up."""
        version = self.probe.version()
        command_times = {}
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            seconds = pool.submit(self.probe.watch_in_force, command_times, version, EDIT_COUNT,
                                  EDIT_LIMIT_S)
            for index in range(EDIT_COUNT):
                path = self._next_contract()
                start_time = command_times[version + 1 + index] = time.monotonic()
                self.system.ctl("contract", "apply", path)
                time.sleep(max(0.0, start_time + EDIT_INTERVAL_S - time.monotonic()))
            seconds = seconds.result()
        self._print_figure("edits", len(seconds), target=str(EDIT_COUNT))
        self._print_figure("edit_in_force_median_s", statistics.median(seconds), EDIT_TARGET_S)
        self._print_figure("edit_in_force_worst_s", max(seconds), EDIT_TARGET_S)

    def _part_2(self):
        """Edits whose write the store accepts just before it goes down."""
        seconds = []
        for _ in range(STORE_DOWN_EDIT_COUNT):
            seconds.append(self._edit(lambda: self.system.set_store_faults(down=True)))
            self._end_outage()
        self._print_figure("edit_in_force_store_down_worst_s", max(seconds), STORE_DOWN_TARGET_S)

    def _part_3(self):
        """Instances that are killed or paused under traffic, while flows depend on overrides."""
        system = self.system
        self._start_traffic("kill")
        self._print_usage("traffic", None, None)
        for name in DRAINED_UPSTREAMS:
            system.ctl("upstream", "drain", CUSTOMER, f"bancada/{name}")
        # Feeds opened from now on need overrides in the buckets that stay transitional because of
        # feeds opened before the drains.
        time.sleep(SETTLE_S)
        system.start_caller("late-kill", "bancada", "--feeds", 300)
        time.sleep(1.0)
        overrides = sum(status["overrides"] for status in self.probe.statuses().values())
        self._print_figure("overrides_held", overrides)
        phases = [("one_killed", self._now_ms())]
        self._kill(["i04"])
        phases.append(("two_killed", self._now_ms()))
        self._kill(["i05", "i09"])
        phases.append(("paused", self._now_ms()))
        system.pause_instance("i07")
        time.sleep(PAUSE_S)
        system.resume_instance("i07")
        time.sleep(BROKEN_FEED_DETECTION_S)
        phases.append(("end", self._now_ms()))
        reports = system.stop_callers()
        for (name, begin_ms), (_, end_ms) in zip(phases, phases[1:]):
            broken = broken_between(reports, begin_ms, end_ms)
            self._print_figure(f"{name}_broken_flows", len(broken), 0)
            self._print_broken_feeds(name, broken)
        self._print_requests("killed_and_paused", reports)

    def _part_4(self):
        """A zone withdrawal just before the store goes down for STORE_OUTAGE_S under traffic."""
        system = self.system
        self._start_traffic("outage")
        withdrawn_ms = system.ctl("zone", "withdraw", WITHDRAWN_ZONE)
        system.set_store_faults(down=True)
        down_until = time.monotonic() + STORE_OUTAGE_S
        statuses = []
        while not statuses or time.monotonic() < down_until - 6:
            statuses.append(system.run_ctl("contract", "apply", self._next_contract())[0])
            time.sleep(1.0)
        time.sleep(max(0.0, down_until - time.monotonic()))
        end_ms = self._now_ms()
        self._end_outage()
        self._print_withdrawn_zone_packets(withdrawn_ms, end_ms)
        other_statuses = sum(1 for status in statuses if status != EXIT_STORE_UNREACHABLE)
        self._print_figure("outage_edits", len(statuses))
        self._print_figure("outage_edits_without_exit_5", other_statuses, 0)
        start_time = time.monotonic()
        status, _ = system.run_ctl("contract", "apply", self._next_contract(), "--wait")
        self._print_figure("edit_after_outage_exit", status, target="0")
        self._print_figure("edit_after_outage_s", time.monotonic() - start_time)
        reports = system.stop_callers()
        counters = system.upstream_counters()["upstreams"]
        zone_upstream_ids = [counters[name]["id"] for name in self._zone_upstreams()]
        broken = broken_between(reports, 0, self._now_ms(), zone_upstream_ids)
        self._print_figure("outage_broken_flows", len(broken), 0)
        self._print_broken_feeds("outage", broken)
        refused = sum(refusals(reports).values())
        self._print_figure("outage_requests_refused", refused, 0)
        self._print_requests("outage", reports)

    def _print_withdrawn_zone_packets(self, withdrawn_ms, end_ms):
        counters = self.system.upstream_counters()["upstreams"]
        packets = sum(sum_between(counters[name]["timeline"], (PACKETS, PROBES),
                                  withdrawn_ms + STOP_LIMIT_MS, end_ms)
                      for name in self._zone_upstreams())
        self._print_figure("packets_to_withdrawn_zone_after_5s", packets, 0)

    def _part_5(self):
        """Two concurrent edits on the same base version. One is accepted, one is a conflict."""
        base = str(self.probe.version())
        paths = [self._next_contract(f"race{index}.toml") for index in range(2)]
        racing = [self.system.start_ctl("contract", "apply", path, "--base", base)
                  for path in paths]
        for process in racing:
            process.communicate(timeout=EDIT_LIMIT_S)
        exits = sorted(process.returncode for process in racing)
        self._print_figure("race_exits", ",".join(map(str, exits)), target=f"0,{EXIT_CONFLICT}")

    def _part_6(self):
        """Largest resource usage of any instance while idle. Part 3 measures it under traffic."""
        self._print_usage("idle", CPU_PERCENT_LIMIT, RESIDENT_MIB_LIMIT)

    def _print_usage(self, name, cpu_limit, resident_limit):
        usage = self.probe.usage(USAGE_INTERVAL_S)
        self._print_figure(f"{name}_control_bytes_per_s", usage["control_bytes_per_s"],
                           CONTROL_BYTES_PER_S_LIMIT)
        self._print_figure(f"{name}_cpu_percent", usage["cpu_percent"], cpu_limit)
        self._print_figure(f"{name}_resident_mib", usage["resident_mib"], resident_limit)

    def _start_traffic(self, group):
        system = self.system
        system.start_caller(f"monitor-{group}", "bancada", "--feeds", 600, "--requests", 60,
                            "--repeatable", 0.3)
        system.start_caller(f"visitor-{group}", "bancada", "--feeds", 100, "--lifetime-ms", 3000)
        system.start_caller(f"archive-{group}", "certidao", "--feeds", 100, "--requests", 20,
                            "--downloads", 0.3)
        time.sleep(SETTLE_S)
        system.fleet.check_running()

    def _print_requests(self, name, reports):
        """Prints the counts of callers and upstreams. The counts of flows and requests show that
        there was traffic; without traffic the other figures mean nothing."""
        counters = self.system.upstream_counters()
        print(f"{name}_flows={total(reports, 'feeds', 'opened')} "
              f"open_failed={total(reports, 'feeds', 'open_failed')} "
              f"requests={total(reports, 'requests', 'issued')} "
              f"completed={total(reports, 'requests', 'completed')} "
              f"not_run={total(reports, 'requests', 'not_run')} "
              f"may_have_run={total(reports, 'requests', 'may_have_run')} "
              f"no_verdict={total(reports, 'requests', 'no_verdict')} "
              f"refusals={refusals(reports)}", flush=True)
        self._print_figure(f"{name}_duplicate_runs",
                           counters["duplicate_runs"] - self.reported_duplicate_runs, 0)
        self.reported_duplicate_runs = counters["duplicate_runs"]
        self._print_figure(f"{name}_false_not_run", false_not_run(reports, self.system.runs()), 0)

    def _print_broken_feeds(self, name, broken):
        counts = {}
        for feed in broken:
            key = (feed["unix_ms"] // 1000, feed["upstream"], feed["reason"])
            counts[key] = counts.get(key, 0) + 1
        for (second, upstream, reason), count in sorted(counts.items())[:20]:
            print(f"event=broken_feeds phase={name} unix_s={second} upstream={upstream} "
                  f"reason={reason} count={count}", flush=True)

    def _kill(self, names):
        """Kills instances and starts them again after the time that a caller needs to detect a
        broken feed."""
        for name in names:
            self.system.kill_instance(name)
        time.sleep(BROKEN_FEED_DETECTION_S)
        for name in names:
            self.system.start_instance(name)
        self.system.wait_healthy(names)

    def _end_outage(self):
        """Ends the store outage and waits until all watches are open again. A write that no watch
        reports could not reach the instances if the store goes down again."""
        self.system.set_store_faults(down=False)
        wait_until(lambda: http_json(self.system.store, "/counts")["watches_open"] >= WATCHER_COUNT,
                   EDIT_LIMIT_S, "watches are open")

    def _zone_upstreams(self):
        return [self.system.full_name(name) for name, upstream in self.system.upstreams.items()
                if upstream["zone"] == WITHDRAWN_ZONE]

    @staticmethod
    def _now_ms():
        return int(time.time() * 1000)


def terminate(_signal, _frame):
    raise KeyboardInterrupt


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build", help="build directory")
    parser.add_argument("--seed", type=int, default=1, help="seed of all random draws")
    parser.add_argument("--parts", default="6,1,5,2,3,4",
                        help="numbers of the parts, in the order in which they run")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, terminate)
    system = DemoFleet(arguments.build, {}, arguments.seed, "faultbench", PORT_BASE)
    try:
        return FaultBench(system).run(arguments.parts.split(","))
    except FleetError as failure:
        print(f"event=failed reason=\"{failure}\"", flush=True)
        return 2
    except KeyboardInterrupt:
        print("event=interrupted", flush=True)
        return 130
    finally:
        killed = system.fleet.stop_all()
        if killed:
            print(f"event=killed programs={','.join(killed)}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
