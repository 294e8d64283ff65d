#!/usr/bin/env python3
"""Runs the whole system on loopback addresses under traffic and planned changes and counts, at
callers and upstreams, whether the promises of docs/design.md hold. Exits with 1 when one is broken."""

import argparse
import signal
import sys
import time

from demofleet import CUSTOMER, LATE_UPSTREAM, DemoFleet
from demoresult import Evaluation, imbalance
from fleet import FleetError
from statuswatch import StatusWatch

DRAINED = "bancada-02"
WITHDRAWN_ZONE = "escritorio"
SETTLE_S = 4.0
# Longer than the bound of P4, so that the silence after it is measured.
ZONE_OUT_S = 8.0
# The whole run under traffic stays under this; restarts end early when it would be exceeded.
TRAFFIC_LIMIT_S = 56.0
TAIL_S = 3.0


class Demo:
    """The scenario."""

    def __init__(self, system):
        self._system = system
        self._began = time.monotonic()
        self._marks = {"killed": [], "reverted": []}
        self._watch = StatusWatch({name: instance["admin"]
                                   for name, instance in system.instances.items()})

    def run(self):
        self._start()
        self._traffic()
        self._drain_and_add()
        self._withdraw_and_return()
        self._restart_instances()
        time.sleep(TAIL_S)
        return self._evaluate()

    def _say(self, text):
        print(f"t={time.monotonic() - self._began:.1f}s {text}", flush=True)

    def _start(self):
        system = self._system
        system.start_stand_ins()
        for name in system.instances:
            system.start_instance(name)
        system.wait_healthy(system.instances)
        system.start_fabric()
        self._say(f"event=started instances={len(system.instances)} "
                  f"upstreams={len(system.upstreams)}")
        system.apply_contract(False, 400)
        self._watch.start()
        self._say(f"event=contract_in_force seconds={system.commands[-1][1]:.2f}")

    def _traffic(self):
        system = self._system
        self._began_traffic = time.monotonic()
        system.start_caller("monitor", "bancada", "--feeds", 1200, "--requests", 80,
                            "--repeatable", 0.3)
        system.start_caller("visitor", "bancada", "--feeds", 200, "--lifetime-ms", 3000)
        system.start_caller("archive", "certidao", "--feeds", 200, "--requests", 20,
                            "--downloads", 0.3)
        time.sleep(SETTLE_S)
        system.fleet.check_running()
        counters = system.upstream_counters()
        self._marks["imbalance"] = f"{imbalance(counters, 'bancada'):.2f}"
        self._say(f"event=traffic imbalance={self._marks['imbalance']}")

    def _drain_and_add(self):
        system = self._system
        self._marks["drained"] = system.full_name(DRAINED)
        self._marks["drained_ms"] = system.ctl("upstream", "drain", CUSTOMER,
                                               f"bancada/{DRAINED}", "--wait")
        self._say_command("drained", DRAINED)
        system.upstream_command("watch", DRAINED)
        system.upstream_command("restart", LATE_UPSTREAM)
        system.apply_contract(True, 400)
        self._say_command("added", LATE_UPSTREAM)
        system.apply_contract(True, 500)
        self._say_command("contract_edited", CUSTOMER)

    def _withdraw_and_return(self):
        system = self._system
        members = [name for name, upstream in system.upstreams.items()
                   if upstream["zone"] == WITHDRAWN_ZONE]
        self._marks["zone_upstreams"] = [system.full_name(name) for name in members]
        self._marks["withdrawn_ms"] = system.ctl("zone", "withdraw", WITHDRAWN_ZONE, "--wait")
        self._say_command("withdrawn", WITHDRAWN_ZONE)
        time.sleep(ZONE_OUT_S)
        # The upstreams come back cold, as after maintenance.
        for name in members:
            system.upstream_command("restart", name)
        self._marks["returned_ms"] = system.ctl("zone", "return", WITHDRAWN_ZONE, "--wait")
        self._say_command("returned", WITHDRAWN_ZONE)

    def _restart_instances(self):
        system = self._system
        began_ms = int(time.time() * 1000)
        restarted = 0
        longest = 0.0
        for name in system.instances:
            if time.monotonic() - self._began_traffic > TRAFFIC_LIMIT_S - TAIL_S - 2 * longest:
                break
            began = time.monotonic()
            status, stopped = system.restart_instance(name)
            longest = max(longest, time.monotonic() - began)
            restarted += 1
            if status != 0:
                self._marks["killed"].append(name)
            self._say(f"event=restarted instance={name} exit_status={status} "
                      f"stop_seconds={stopped:.2f}")
        self._marks["restarts_ms"] = (began_ms, int(time.time() * 1000))
        self._say(f"event=restarts instances={restarted}")

    def _say_command(self, event, subject):
        self._say(f"event={event} subject={subject} "
                  f"seconds={self._system.commands[-1][1]:.2f}")

    def _evaluate(self):
        system = self._system
        traffic_seconds = time.monotonic() - self._began_traffic
        system.fleet.check_running()
        reports = system.stop_callers()
        self._watch.stop()
        system.save_metrics()
        self._marks["reverted"] = self._watch.deviations()
        self._marks["commands"] = system.commands
        evaluation = Evaluation(system.upstream_counters(), system.runs(), reports, self._marks)
        for name, report in reports.items():
            requests = report["requests"]
            self._say(f"event=caller_report caller={name} opened={report['feeds']['opened']} "
                      f"open_failed={report['feeds']['open_failed']} "
                      f"moved_echoes={report['feeds']['moved_echoes']} "
                      f"opened_twice={report['feeds']['opened_twice']} "
                      f"completed={requests['completed']} not_run={requests['not_run']} "
                      f"no_verdict={requests['no_verdict']} "
                      f"latency_ms_p50={requests['latency_ms_p50']} "
                      f"latency_ms_p99={requests['latency_ms_p99']} "
                      f"refusals={requests['refusals']}")
        self._report_broken_feeds(evaluation)
        if self._marks["reverted"]:
            self._say(f"event=versions_behind where={','.join(self._marks['reverted'])}")
        self._say(f"event=finished traffic_seconds={traffic_seconds:.1f}")
        print(evaluation.line(), flush=True)
        for promise in evaluation.broken:
            print(f"broken promise {promise}", flush=True)
        return 1 if evaluation.broken else 0

    def _report_broken_feeds(self, evaluation):
        reasons = {}
        for feed in evaluation.broken_feeds:
            key = (feed["reason"], feed["unix_ms"] // 1000)
            print(f"event=broken_feed {' '.join(f'{k}={v}' for k, v in feed.items())}")
            reasons[key] = reasons.get(key, 0) + 1
        offset = time.time() - (time.monotonic() - self._began)
        for (reason, second), count in sorted(reasons.items(), key=lambda item: item[0][1]):
            self._say(f"event=broken_feeds at_s={second - offset:.0f} reason={reason} "
                      f"count={count}")


def terminate(_signal, _frame):
    raise KeyboardInterrupt


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build", help="build directory")
    parser.add_argument("--seed", type=int, default=1, help="of all random choices")
    parser.add_argument("--drop", type=float, default=0.002, help="probability in the fabric")
    parser.add_argument("--duplicate", type=float, default=0.005, help="probability")
    parser.add_argument("--delay", type=float, default=0.005, help="probability")
    parser.add_argument("--reorder", type=float, default=0.02, help="probability")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, terminate)
    faults = {fault: getattr(arguments, fault) for fault in ("drop", "duplicate", "delay", "reorder")}
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
