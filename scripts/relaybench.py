#!/usr/bin/env python3
"""Compares one daemon, with settled buckets, with the bare relay. Runs relaybenchmark on both in
turn and prints the medians of the packets per core-second and their ratio."""

import argparse
import os
import subprocess
import sys

from fleet import Fleet, FleetError, Ports, find_program, http_get, http_json, wait_until

PORT_BASE = 26000
# Measurements of each relay.
ROUNDS = 5
START_TIMEOUT_S = 20

CONTRACT = """customer = "workshop"
zones = ["galpao-a"]

[[service]]
name = "bancada"
address = "{service}"
slots_per_upstream = 3
connections_per_upstream = 4400
requests_per_second = 600

[[service.group]]
name = "current"
upstream = [ {{ name = "bancada-01", zone = "galpao-a", address = "{upstream}" }} ]
"""

SETTINGS = """[instance]
name = "i01"
zone = "galpao-a"
[listen]
fabric = "{target}"
peer = "{peer}"
admin = "{admin}"
upstream = "{outgoing}"
[fabric]
address = "{fabric}"
[store]
endpoints = ["{store}"]
[peers]
seeds = []
signing_key = 1
[peers.keys]
1 = "loopback bench signing key"
[log]
level = "warning"
[workers]
count = 1
"""


class RelayBench:
    """Starts both relays and runs the load on each."""

    def __init__(self, build, seconds):
        self._build = build
        self._seconds = seconds
        self.fleet = Fleet(build, os.path.join(build, "relaybench"))
        ports = self._port_allocator = Ports(PORT_BASE)
        self._names = ("store", "service", "upstream", "target", "peer", "admin", "outgoing",
                       "fabric", "bare_target", "bare_outgoing")
        self._ports = {name: ports.take() for name in self._names}

    def run(self):
        daemon = self._start_daemon()
        ports = self._ports
        bare = self.fleet.start("barerelay", "barerelay", "--fabric-listen", ports["bare_target"],
                                "--fabric", ports["fabric"], "--upstream-listen",
                                ports["bare_outgoing"], "--upstream", ports["upstream"])
        rates = {"daemon": [], "bare": []}
        for _ in range(ROUNDS):
            rates["bare"].append(self._measure("bare", bare, ports["bare_target"], "--bare"))
            rates["daemon"].append(self._measure("daemon", daemon, ports["target"]))
        medians = {name: sorted(values)[ROUNDS // 2] for name, values in rates.items()}
        print(f"benchmark=relay summary=median rounds={ROUNDS} "
              f"daemon_packets_per_core_second={medians['daemon']:.0f} "
              f"bare_packets_per_core_second={medians['bare']:.0f} "
              f"ratio={medians['daemon'] / medians['bare']:.3f}", flush=True)

    def _start_daemon(self):
        ports = self._ports
        self.fleet.start("platform", "platform", "--listen", ports["store"])
        wait_until(lambda: http_get(ports["store"], "/instances") is not None, START_TIMEOUT_S,
                   "platform answers")
        settings = self.fleet.write_file("daemon.toml", SETTINGS.format(**ports))
        daemon = self.fleet.start("daemon", "banyanwalld", "--settings", settings)
        wait_until(lambda: http_get(ports["admin"], "/health") is not None, START_TIMEOUT_S,
                   "daemon is healthy")
        contract = self.fleet.write_file("contract.toml", CONTRACT.format(**ports))
        subprocess.run([find_program(self._build, "banyanwallctl"), "--store", ports["store"],
                        "contract", "apply", contract, "--wait"], check=True,
                       capture_output=True, timeout=START_TIMEOUT_S)
        http_json(ports["admin"], "/status")
        return daemon

    def _measure(self, name, relay, target, *extra_arguments):
        """Runs relaybenchmark on a relay. Returns its packets per core-second."""
        ports = self._ports
        result = subprocess.run(
            [find_program(self._build, "relaybenchmark"), "--name", name, "--process",
             str(relay.process.pid), "--target", target, "--fabric", ports["fabric"], "--upstream",
             ports["upstream"], "--address", ports["service"], "--seconds", str(self._seconds),
             *extra_arguments], capture_output=True, text=True, check=False, timeout=120)
        print(result.stdout, end="", flush=True)
        if result.returncode != 0:
            raise FleetError(result.stderr.strip())
        fields = dict(pair.split("=", 1) for pair in result.stdout.split())
        return float(fields["packets_per_core_second"])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build", help="build directory")
    parser.add_argument("--seconds", type=int, default=3, help="length of each measurement")
    arguments = parser.parse_args()
    bench = RelayBench(arguments.build, arguments.seconds)
    try:
        bench.run()
        return 0
    except FleetError as failure:
        print(f"benchmark=relay error=\"{failure}\"", flush=True)
        return 1
    finally:
        bench.fleet.stop_all()


if __name__ == "__main__":
    sys.exit(main())
