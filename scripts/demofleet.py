"""The system of the customer "workshop" for the demo and the fault benchmark: contract, instances,
stand-ins of outside systems, callers and operator commands."""

import json
import os
import signal
import subprocess
import time

from fleet import (Fleet, FleetError, Ports, find_program, http_get, http_json, http_post_json,
                   wait_until)

CUSTOMER = "workshop"
ZONES = ["galpao-a", "galpao-b", "escritorio"]
INSTANCE_COUNT = 12
PORT_BASE = 21000
# Slots and connections of each upstream.
SLOTS_PER_UPSTREAM = 3
CONNECTIONS_PER_UPSTREAM = 4400
USUAL_LATENCY_MS = 30
# Number of upstreams by service.
UPSTREAM_COUNTS = {"bancada": 15, "certidao": 4}
# The last upstream of bancada. The contract includes it from the middle of the demo on.
ADDED_UPSTREAM = "bancada-15"
# Age of the list of instances that the platform returns to the fabric.
INSTANCE_LIST_LAG_MS = 1000
START_TIMEOUT_S = 20
COMMAND_TIMEOUT_S = 20


class DemoFleet:
    """Starts the whole system on loopback addresses and runs operator commands. commands holds the
    text, the seconds and the exit status of each command."""

    def __init__(self, build, faults, seed, folder="demo", port_base=PORT_BASE):
        self.fleet = Fleet(build, os.path.join(build, folder))
        self.seed = seed
        self.faults = faults
        self.commands = []
        ports = self._ports = Ports(port_base)
        self.store = ports.take()
        self.fabric_reply = ports.take()
        self.upstream_control = ports.take()
        self.services = {service: ports.take() for service in UPSTREAM_COUNTS}
        self.upstreams = {}
        for service, count in UPSTREAM_COUNTS.items():
            for index in range(count):
                name = f"{service}-{index + 1:02}"
                self.upstreams[name] = {"service": service, "zone": ZONES[index % len(ZONES)],
                                        "address": ports.take()}
        self.instances = {}
        for index in range(INSTANCE_COUNT):
            zone = ZONES[index % len(ZONES)]
            self.instances[f"i{index + 1:02}"] = {
                "zone": zone, "fabric": ports.take(), "peer": ports.take(), "admin": ports.take(),
                "upstream": ports.take(), "program": None}
        self.callers = {}
        self._callers_started = 0

    # Processes

    def start_stand_ins(self):
        """Starts the platform (store and list of instances) and the upstreams."""
        self.fleet.start("platform", "platform", "--listen", self.store, "--list-lag-ms",
                         INSTANCE_LIST_LAG_MS)
        wait_until(lambda: http_get(self.store, "/instances") is not None, START_TIMEOUT_S,
                   "platform answers")
        arguments = []
        for name, upstream in self.upstreams.items():
            arguments += ["--upstream", f"{self.full_name(name)}={upstream['address']}"]
        self.fleet.start("upstream", "upstream", *arguments, "--control", self.upstream_control,
                         "--slots", SLOTS_PER_UPSTREAM, "--connections", CONNECTIONS_PER_UPSTREAM,
                         "--latency-ms", USUAL_LATENCY_MS, "--seed", self.seed)
        wait_until(lambda: http_get(self.upstream_control, "/counters") is not None,
                   START_TIMEOUT_S, "upstreams answer")

    def start_fabric(self):
        arguments = []
        for address in self.services.values():
            arguments += ["--service", address]
        for fault, probability in self.faults.items():
            arguments += [f"--{fault}", probability]
        self.fleet.start("fabric", "fabric", *arguments, "--reply", self.fabric_reply, "--platform",
                         self.store, "--seed", self.seed)

    def start_instance(self, name):
        instance = self.instances[name]
        path = self.fleet.write_file(f"{name}.toml", self._settings(name))
        instance["program"] = self.fleet.start(name, "banyanwalld", "--settings", path)

    def instance_is_healthy(self, name):
        instance = self.instances[name]
        if not instance["program"].is_running():
            raise FleetError(f"instance {name} ended: {instance['program'].log_tail()}")
        return http_get(instance["admin"], "/health", 1.0) is not None

    def wait_healthy(self, names):
        for name in names:
            wait_until(lambda: self.instance_is_healthy(name), START_TIMEOUT_S,
                       f"instance {name} is healthy")

    def restart_instance(self, name):
        """Stops an instance and starts it again. Returns the exit status of the former process and
        the seconds from the stop signal to its end."""
        start = time.monotonic()
        status = self.fleet.stop(self.instances[name]["program"])
        stop_seconds = time.monotonic() - start
        self.start_instance(name)
        self.wait_healthy([name])
        return status, stop_seconds

    def kill_instance(self, name):
        """Ends an instance by SIGKILL, without a graceful shutdown."""
        program = self.instances[name]["program"]
        program.process.kill()
        self.fleet.stop(program)

    def pause_instance(self, name):
        self.instances[name]["program"].process.send_signal(signal.SIGSTOP)

    def resume_instance(self, name):
        self.instances[name]["program"].process.send_signal(signal.SIGCONT)

    def set_store_faults(self, **faults):
        http_post_json(self.store, "/faults", faults)

    def start_caller(self, name, service, *arguments):
        output = os.path.join(self.fleet.folder, f"{name}.json")
        if os.path.exists(output):
            os.remove(output)
        # A caller derives its request ids from its seed. Each caller gets another seed, because
        # request ids must be unique over the whole run.
        self._callers_started += 1
        program = self.fleet.start(name, "caller", "--service", f"{CUSTOMER}/{service}",
                                   "--address", self.services[service], "--output", output,
                                   "--seed", self.seed * 100 + self._callers_started, *arguments)
        self.callers[name] = {"program": program, "output": output}

    def stop_callers(self):
        """Stops all callers and returns their reports by name."""
        for caller in self.callers.values():
            caller["program"].terminate()
        reports = {}
        for name, caller in self.callers.items():
            if self.fleet.stop(caller["program"]) != 0:
                raise FleetError(f"caller {name} failed: {caller['program'].log_tail()}")
            with open(caller["output"], encoding="utf-8") as file:
                reports[name] = json.load(file)
        self.callers = {}
        return reports

    # Operator commands

    def ctl(self, *arguments):
        """Runs banyanwallctl and raises FleetError if it fails. Returns the Unix time in
        milliseconds before the command started."""
        start_ms = int(time.time() * 1000)
        status, output = self.run_ctl(*arguments)
        if status != 0:
            raise FleetError(f"command {' '.join(arguments)} failed with {status}: {output}")
        return start_ms

    def start_ctl(self, *arguments):
        """Starts banyanwallctl without waiting for its end. Returns the process."""
        command = [find_program(self.fleet.build, "banyanwallctl"), "--store", self.store,
                   *arguments]
        return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                                text=True)

    def run_ctl(self, *arguments):
        """Runs banyanwallctl and records how long the command took. Returns the exit status and the
        output."""
        start = time.monotonic()
        command = self.start_ctl(*arguments)
        try:
            output, _ = command.communicate(timeout=COMMAND_TIMEOUT_S)
        except subprocess.TimeoutExpired as expired:
            command.kill()
            command.communicate()
            raise FleetError(f"command {' '.join(arguments)}: no end within "
                             f"{COMMAND_TIMEOUT_S} s: {expired.stdout}") from expired
        seconds = time.monotonic() - start
        self.commands.append((" ".join(arguments), seconds, command.returncode))
        return command.returncode, output

    def write_contract(self, file_name, with_added_upstream, requests_per_second):
        """Writes a contract file and returns its path."""
        return self.fleet.write_file(
            file_name, self._contract(with_added_upstream, requests_per_second))

    def apply_contract(self, with_added_upstream, requests_per_second):
        path = self.write_contract("workshop.toml", with_added_upstream, requests_per_second)
        return self.ctl("contract", "apply", path, "--wait")

    def upstream_command(self, command, name):
        http_json(self.upstream_control, f"/{command}?upstream={self.full_name(name)}")

    def upstream_counters(self):
        """Returns the counters of the upstreams and saves them beside the logs."""
        counters = http_json(self.upstream_control, "/counters")
        self.fleet.write_file("upstreams.json", json.dumps(counters))
        return counters

    def save_metrics(self):
        """Saves the metrics of all instances beside their logs."""
        for name, instance in self.instances.items():
            body = http_get(instance["admin"], "/metrics") or b""
            self.fleet.write_file(f"{name}.metrics.txt", body.decode())

    def runs(self):
        """Returns how often the upstreams ran each request, by request id."""
        return http_json(self.upstream_control, "/runs")

    # Names, contract and settings

    def full_name(self, name):
        return f"{CUSTOMER}/{self.upstreams[name]['service']}/{name}"

    def _contract(self, with_added_upstream, requests_per_second):
        lines = [f'customer = "{CUSTOMER}"', f"zones = {json.dumps(ZONES)}"]
        for service, address in self.services.items():
            lines += ["", "[[service]]", f'name = "{service}"', f'address = "{address}"',
                      f"slots_per_upstream = {SLOTS_PER_UPSTREAM}",
                      f"connections_per_upstream = {CONNECTIONS_PER_UPSTREAM}",
                      f"requests_per_second = {requests_per_second}", "longest_request_ms = 3000",
                      f"usual_latency_ms = {USUAL_LATENCY_MS}", "idle_limit_s = 10", "",
                      "[[service.group]]", 'name = "current"', "upstream = ["]
            for name, upstream in self.upstreams.items():
                if upstream["service"] != service or (name == ADDED_UPSTREAM
                                                      and not with_added_upstream):
                    continue
                lines.append(f'  {{ name = "{name}", zone = "{upstream["zone"]}", '
                             f'address = "{upstream["address"]}" }},')
            lines.append("]")
        return "\n".join(lines) + "\n"

    def _settings(self, name):
        instance = self.instances[name]
        seeds = [other["peer"] for other_name, other in self.instances.items()
                 if other_name != name][:3]
        return "\n".join([
            "[instance]", f'name = "{name}"', f'zone = "{instance["zone"]}"',
            "[listen]", f'fabric = "{instance["fabric"]}"', f'peer = "{instance["peer"]}"',
            f'admin = "{instance["admin"]}"', f'upstream = "{instance["upstream"]}"',
            "[fabric]", f'address = "{self.fabric_reply}"',
            "[store]", f'endpoints = ["{self.store}"]',
            "[peers]", f"seeds = {json.dumps(seeds)}", "signing_key = 1",
            "[peers.keys]", '1 = "loopback demo signing key"',
            "[log]", 'level = "info"', "[workers]", "count = 1", ""])
