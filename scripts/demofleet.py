"""The workshop's system for the demo and the fault benchmark: contract, instances,
stand-ins, callers and operator commands."""

import json
import os
import signal
import subprocess
import time

from fleet import (Fleet, FleetError, Ports, find_program, http_get, http_json, http_post_json,
                   wait_until)

CUSTOMER = "workshop"
ZONES = ["galpao-a", "galpao-b", "escritorio"]
INSTANCES = 12
PORT_BASE = 21000
SLOTS = 3
CONNECTIONS = 4400
USUAL_LATENCY_MS = 30
# Upstreams by service; the last one of bancada joins during the demo.
UPSTREAMS = {"bancada": 15, "certidao": 4}
LATE_UPSTREAM = "bancada-15"
LIST_LAG_MS = 1000
START_TIMEOUT_S = 20
COMMAND_TIMEOUT_S = 20


class DemoFleet:
    """Starts everything on loopback and runs operator commands against it."""

    def __init__(self, build, faults, seed, folder="demo", port_base=PORT_BASE):
        self.fleet = Fleet(build, os.path.join(build, folder))
        self.seed = seed
        self.faults = faults
        self.commands = []
        ports = self._ports = Ports(port_base)
        self.store = ports.take()
        self.reply = ports.take()
        self.control = ports.take()
        self.services = {service: ports.take() for service in UPSTREAMS}
        self.upstreams = {}
        for service, count in UPSTREAMS.items():
            for index in range(count):
                name = f"{service}-{index + 1:02}"
                self.upstreams[name] = {"service": service, "zone": ZONES[index % len(ZONES)],
                                        "address": ports.take()}
        self.instances = {}
        for index in range(INSTANCES):
            zone = ZONES[index % len(ZONES)]
            self.instances[f"i{index + 1:02}"] = {
                "zone": zone, "fabric": ports.take(), "peer": ports.take(), "admin": ports.take(),
                "upstream": ports.take(), "program": None}
        self.callers = {}
        self._callers_started = 0

    # Processes

    def start_stand_ins(self):
        self.fleet.start("platform", "platform", "--listen", self.store, "--list-lag-ms",
                         LIST_LAG_MS)
        wait_until(lambda: http_get(self.store, "/instances") is not None, START_TIMEOUT_S,
                   "platform answers")
        arguments = []
        for name, upstream in self.upstreams.items():
            arguments += ["--upstream", f"{self.full_name(name)}={upstream['address']}"]
        self.fleet.start("upstream", "upstream", *arguments, "--control", self.control, "--slots",
                         SLOTS, "--connections", CONNECTIONS, "--latency-ms", USUAL_LATENCY_MS,
                         "--seed", self.seed)
        wait_until(lambda: http_get(self.control, "/counters") is not None, START_TIMEOUT_S,
                   "upstreams answer")

    def start_fabric(self):
        arguments = []
        for address in self.services.values():
            arguments += ["--service", address]
        for fault, probability in self.faults.items():
            arguments += [f"--{fault}", probability]
        self.fleet.start("fabric", "fabric", *arguments, "--reply", self.reply, "--platform",
                         self.store, "--seed", self.seed)

    def start_instance(self, name):
        instance = self.instances[name]
        path = self.fleet.write(f"{name}.toml", self._settings(name))
        instance["program"] = self.fleet.start(name, "banyanwalld", "--settings", path)

    def instance_is_healthy(self, name):
        instance = self.instances[name]
        if not instance["program"].running():
            raise FleetError(f"instance {name} ended: {instance['program'].log_tail()}")
        return http_get(instance["admin"], "/health", 1.0) is not None

    def wait_healthy(self, names):
        for name in names:
            wait_until(lambda: self.instance_is_healthy(name), START_TIMEOUT_S,
                       f"instance {name} is healthy")

    def restart_instance(self, name):
        """Returns the exit status of the former process and the seconds that the stop took."""
        began = time.monotonic()
        status = self.fleet.stop(self.instances[name]["program"])
        stopped = time.monotonic() - began
        self.start_instance(name)
        self.wait_healthy([name])
        return status, stopped

    def kill_instance(self, name):
        """Ends an instance without notice."""
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
        # Ids of requests follow from the seed and must be unique over the whole run.
        self._callers_started += 1
        program = self.fleet.start(name, "caller", "--service", f"{CUSTOMER}/{service}",
                                   "--address", self.services[service], "--output", output,
                                   "--seed", self.seed * 100 + self._callers_started, *arguments)
        self.callers[name] = {"program": program, "output": output}

    def stop_callers(self):
        """Returns the reports of all callers by name."""
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
        """Runs banyanwallctl and records how long the command took. Returns the moment, in Unix
        milliseconds, at which it was given."""
        given = int(time.time() * 1000)
        status, output = self.run_ctl(*arguments)
        if status != 0:
            raise FleetError(f"command {' '.join(arguments)} failed with {status}: {output}")
        return given

    def start_ctl(self, *arguments):
        command = [find_program(self.fleet.build, "banyanwallctl"), "--store", self.store,
                   *arguments]
        return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)

    def run_ctl(self, *arguments):
        """Like ctl(), but returns the exit status and the output whatever the status is."""
        began = time.monotonic()
        command = self.start_ctl(*arguments)
        try:
            output, _ = command.communicate(timeout=COMMAND_TIMEOUT_S)
        except subprocess.TimeoutExpired as expired:
            command.kill()
            command.communicate()
            raise FleetError(f"command {' '.join(arguments)}: no end within "
                             f"{COMMAND_TIMEOUT_S} s: {expired.stdout}") from expired
        seconds = time.monotonic() - began
        self.commands.append((" ".join(arguments), seconds, command.returncode))
        return command.returncode, output

    def write_contract(self, file_name, with_late_upstream, requests_per_second):
        """Returns the path of the contract file."""
        return self.fleet.write(file_name, self._contract(with_late_upstream, requests_per_second))

    def apply_contract(self, with_late_upstream, requests_per_second):
        path = self.write_contract("workshop.toml", with_late_upstream, requests_per_second)
        return self.ctl("contract", "apply", path, "--wait")

    def upstream_command(self, command, name):
        http_json(self.control, f"/{command}?upstream={self.full_name(name)}")

    def upstream_counters(self):
        counters = http_json(self.control, "/counters")
        self.fleet.write("upstreams.json", json.dumps(counters))
        return counters

    def save_metrics(self):
        """Keeps the counters of all instances beside their logs."""
        for name, instance in self.instances.items():
            body = http_get(instance["admin"], "/metrics") or b""
            self.fleet.write(f"{name}.metrics.txt", body.decode())

    def runs(self):
        return http_json(self.control, "/runs")

    # Texts

    def full_name(self, name):
        return f"{CUSTOMER}/{self.upstreams[name]['service']}/{name}"

    def _contract(self, with_late_upstream, requests_per_second):
        lines = [f'customer = "{CUSTOMER}"', f"zones = {json.dumps(ZONES)}"]
        for service, address in self.services.items():
            lines += ["", "[[service]]", f'name = "{service}"', f'address = "{address}"',
                      f"slots_per_upstream = {SLOTS}", f"connections_per_upstream = {CONNECTIONS}",
                      f"requests_per_second = {requests_per_second}", "longest_request_ms = 3000",
                      f"usual_latency_ms = {USUAL_LATENCY_MS}", "idle_limit_s = 10", "",
                      "[[service.group]]", 'name = "current"', "upstream = ["]
            for name, upstream in self.upstreams.items():
                if upstream["service"] != service or (name == LATE_UPSTREAM
                                                      and not with_late_upstream):
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
            "[fabric]", f'address = "{self.reply}"',
            "[store]", f'endpoints = ["{self.store}"]',
            "[peers]", f"seeds = {json.dumps(seeds)}", "signing_key = 1",
            "[peers.keys]", '1 = "loopback demo signing key"',
            "[log]", 'level = "info"', "[workers]", "count = 1", ""])
