#!/usr/bin/env python3
"""Runs the whole system on loopback addresses under traffic and planned changes: a drain, contract
edits, a zone withdrawal and restarts of the instances. Checks the promises of docs/design.md with
the counters of callers and upstreams. Exits with 1 when a promise is broken and with 2 when a
program or command failed."""

import argparse
import signal
import sys
import time

from demofleet import CUSTOMER, ADDED_UPSTREAM, DemoFleet
from demoresult import Evaluation, imbalance
from fleet import FleetError
from statuswatch import StatusWatch

DRAINED_UPSTREAM = "bancada-02"
WITHDRAWN_ZONE = "escritorio"
# From the start of the callers to the first change.
WARM_UP_S = 4.0
# From the withdrawal to the return of the zone. Longer than the 5 s after which no packet may reach
# a withdrawn zone, so that packets after that limit are counted.
ZONE_WITHDRAWN_S = 8.0
# Limit of the whole time under traffic. The remaining instances are not restarted when another
# restart could exceed it.
MAX_TRAFFIC_S = 56.0
# From the last restart to the evaluation.
FINAL_WAIT_S = 3.0


class Demo:
    """The scenario: its steps in order, and a record of times and results for the evaluation."""

    def __init__(self, system):
        self._system = system
        self._start_time = time.monotonic()
        self._record = {"killed": [], "reverted": []}
        self._watch = StatusWatch({name: instance["admin"]
                                   for name, instance in system.instances.items()})

    def run(self):
        self._start()
        self._start_traffic()
        self._drain_and_add()
        self._withdraw_and_return()
        self._restart_instances()
        time.sleep(FINAL_WAIT_S)
        return self._evaluate()

    def _print_event(self, text):
        print(f"t={time.monotonic() - self._start_time:.1f}s {text}", flush=True)

    def _start(self):
        system = self._system
        system.start_stand_ins()
        for name in system.instances:
            system.start_instance(name)
        system.wait_healthy(system.instances)
        system.start_fabric()
        self._print_event(f"event=started instances={len(system.instances)} "
                          f"upstreams={len(system.upstreams)}")
        system.apply_contract(False, 400)
        self._watch.start()
        self._print_event(f"event=contract_in_force seconds={system.commands[-1][1]:.2f}")

    def _start_traffic(self):
        system = self._system
        self._traffic_start = time.monotonic()
        system.start_caller("monitor", "bancada", "--feeds", 1200, "--requests", 80,
                            "--repeatable", 0.3)
        system.start_caller("visitor", "bancada", "--feeds", 200, "--lifetime-ms", 3000)
        system.start_caller("archive", "certidao", "--feeds", 200, "--requests", 20,
                            "--downloads", 0.3)
        time.sleep(WARM_UP_S)
        system.fleet.check_running()
        counters = system.upstream_counters()
        self._record["imbalance"] = f"{imbalance(counters, 'bancada'):.2f}"
        self._print_event(f"event=traffic imbalance={self._record['imbalance']}")

    def _drain_and_add(self):
        system = self._system
        self._record["drained"] = system.full_name(DRAINED_UPSTREAM)
        self._record["drained_ms"] = system.ctl("upstream", "drain", CUSTOMER,
                                                f"bancada/{DRAINED_UPSTREAM}", "--wait")
        self._print_command_event("drained", DRAINED_UPSTREAM)
        system.upstream_command("watch", DRAINED_UPSTREAM)
        system.upstream_command("restart", ADDED_UPSTREAM)
        system.apply_contract(True, 400)
        self._print_command_event("added", ADDED_UPSTREAM)
        system.apply_contract(True, 500)
        self._print_command_event("contract_edited", CUSTOMER)

    def _withdraw_and_return(self):
        system = self._system
        zone_upstreams = [name for name, upstream in system.upstreams.items()
                          if upstream["zone"] == WITHDRAWN_ZONE]
        self._record["zone_upstreams"] = [system.full_name(name) for name in zone_upstreams]
        self._record["withdrawn_ms"] = system.ctl("zone", "withdraw", WITHDRAWN_ZONE, "--wait")
        self._print_command_event("withdrawn", WITHDRAWN_ZONE)
        time.sleep(ZONE_WITHDRAWN_S)
        # The upstreams of the zone start cold, as after maintenance.
        for name in zone_upstreams:
            system.upstream_command("restart", name)
        self._record["returned_ms"] = system.ctl("zone", "return", WITHDRAWN_ZONE, "--wait")
        self._print_command_event("returned", WITHDRAWN_ZONE)

    def _restart_instances(self):
        system = self._system
        start_ms = int(time.time() * 1000)
        restarted = 0
        longest_restart_s = 0.0
        for name in system.instances:
            if time.monotonic() - self._traffic_start \
                    > MAX_TRAFFIC_S - FINAL_WAIT_S - 2 * longest_restart_s:
                break
            restart_start = time.monotonic()
            status, stop_seconds = system.restart_instance(name)
            longest_restart_s = max(longest_restart_s, time.monotonic() - restart_start)
            restarted += 1
            if status != 0:
                self._record["killed"].append(name)
            self._print_event(f"event=restarted instance={name} exit_status={status} "
                              f"stop_seconds={stop_seconds:.2f}")
        self._record["restarts_ms"] = (start_ms, int(time.time() * 1000))
        self._print_event(f"event=restarts instances={restarted}")

    def _print_command_event(self, event, subject):
        self._print_event(f"event={event} subject={subject} "
                          f"seconds={self._system.commands[-1][1]:.2f}")

    def _evaluate(self):
        system = self._system
        traffic_seconds = time.monotonic() - self._traffic_start
        system.fleet.check_running()
        reports = system.stop_callers()
        self._watch.stop()
        system.save_metrics()
        self._record["reverted"] = self._watch.find_deviations()
        self._record["commands"] = system.commands
        evaluation = Evaluation(system.upstream_counters(), system.runs(), reports, self._record)
        for name, report in reports.items():
            requests = report["requests"]
            self._print_event(f"event=caller_report caller={name} "
                              f"opened={report['feeds']['opened']} "
                              f"open_failed={report['feeds']['open_failed']} "
                              f"moved_echoes={report['feeds']['moved_echoes']} "
                              f"opened_twice={report['feeds']['opened_twice']} "
                              f"completed={requests['completed']} not_run={requests['not_run']} "
                              f"no_verdict={requests['no_verdict']} "
                              f"latency_ms_p50={requests['latency_ms_p50']} "
                              f"latency_ms_p99={requests['latency_ms_p99']} "
                              f"refusals={requests['refusals']}")
        self._report_broken_feeds(evaluation)
        if self._record["reverted"]:
            self._print_event(f"event=versions_behind where={','.join(self._record['reverted'])}")
        self._print_event(f"event=finished traffic_seconds={traffic_seconds:.1f}")
        print(evaluation.figures_line(), flush=True)
        for promise in evaluation.broken_promises:
            print(f"broken promise {promise}", flush=True)
        return 1 if evaluation.broken_promises else 0

    def _report_broken_feeds(self, evaluation):
        counts = {}
        for feed in evaluation.broken_feeds:
            key = (feed["reason"], feed["unix_ms"] // 1000)
            print(f"event=broken_feed {' '.join(f'{k}={v}' for k, v in feed.items())}")
            counts[key] = counts.get(key, 0) + 1
        start_unix_s = time.time() - (time.monotonic() - self._start_time)
        for (reason, second), count in sorted(counts.items(), key=lambda item: item[0][1]):
            self._print_event(f"event=broken_feeds at_s={second - start_unix_s:.0f} "
                              f"reason={reason} "
                              f"count={count}")


def terminate(_signal, _frame):
    raise KeyboardInterrupt


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build", help="build directory")
    parser.add_argument("--seed", type=int, default=1, help="seed of all random draws")
    parser.add_argument("--drop", type=float, default=0.002,
                        help="probability that the fabric drops a packet")
    parser.add_argument("--duplicate", type=float, default=0.005,
                        help="probability that the fabric duplicates a packet")
    parser.add_argument("--delay", type=float, default=0.005,
                        help="probability that the fabric delays a packet")
    parser.add_argument("--reorder", type=float, default=0.02,
                        help="probability that the fabric reorders a packet")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, terminate)
    faults = {fault: getattr(arguments, fault)
              for fault in ("drop", "duplicate", "delay", "reorder")}
    system = DemoFleet(arguments.build, faults, arguments.seed)
    try:
        return Demo(system).run()
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
