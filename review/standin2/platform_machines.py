"""Machines that run the system's program by the deploy file, and the routers that forward the packets of clients."""

import asyncio
import os
import pathlib
import random
import re
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
READY_INTERVAL_S = 0.5
MISSES = 2


def deploy_value(name):
    """A text of deploy/system.toml."""
    return re.search(rf'^{name} = "(.*)"$', (ROOT / "deploy/system.toml").read_text(), re.M).group(1)


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return value


def render(template, fields):
    """Fills in a settings template as DEPLOY.md says, as far as this project's template needs it."""
    def section(match):
        entries, inner = lookup(fields, match.group(1)), match.group(2)
        parts = []
        for index, entry in enumerate(entries):
            part = inner.replace("{{.}}", str(entry))
            parts.append(part.replace("{{,}}", "," if index + 1 < len(entries) else ""))
        return "".join(parts)
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(fields, match.group(1))), text)


def free_ports(count, hosts):
    """Ports that are free for TCP and UDP on the hosts."""
    for _ in range(200):
        base = random.randrange(20_000, 60_000 - count)
        try:
            for host in hosts:
                for port in range(base, base + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((host, port))
            return base
        except OSError:
            continue
    raise RuntimeError("no free ports")


class Machine:
    """A machine of the class front with one process of the system."""

    def __init__(self, site, name, zone, ip, seeds, bounds=None, limits=None):
        self.site, self.name, self.zone, self.ip = site, name, zone, ip
        self.fields = {
            "node_name": name, "zone": zone, "ip": ip,
            "limits": {"cpu_share": 0.17, "link_mbps": 700.0, **(limits or {})},
            "listen": {"datagram_addr": f"{ip}:{site.traffic_port}", "ready": f"{ip}:{site.ready_port}",
                       "control": f"{ip}:{site.control_port}"},
            "port_range": [site.peer_port, site.peer_port + 15],
            "seeds": seeds, "platform": {"address": site.store_address}, "bounds": {"grace_s": 6, **(bounds or {})}}
        self.process = None
        self.started_at = None
        self.stopped_at = None
        self.misses = 0
        self.in_rotation = False
        # Removed for good, or about to leave.
        self.gone = False

    def start(self):
        path = self.site.folder / f"{self.name}.toml"
        template = (ROOT / deploy_value("template")).read_text()
        path.write_text(render(template, self.fields))
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = (self.site.folder / f"{self.name}.log").open("a")
        self.process = subprocess.Popen([str(ROOT / deploy_value("run").split()[0]), *deploy_value("run").split()[1:]],
                                        cwd=ROOT, env={**keep, "BANYANWALL_BOOT": str(path)}, stdout=log, stderr=log)
        log.close()
        self.started_at = time.monotonic()

    def signal(self, number):
        self.process.send_signal(number)
        self.stopped_at = time.monotonic()

    @property
    def log(self):
        return (self.site.folder / f"{self.name}.log").read_text()

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def get(self, path, timeout_s=0.4):
        """Status and body of a page at the ready address; status 0 without an answer."""
        async def call():
            reader, writer = await asyncio.open_connection(self.ip, self.site.ready_port)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
                answer = (await reader.read()).decode()
                return int(answer.split(" ")[1]), answer.partition("\r\n\r\n")[2]
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(call(), timeout_s)
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0, ""

    async def is_ready(self):
        return (await self.get("/health"))[0] == 200

    async def is_watching(self):
        return "\nbanyanwall_watching 1" in (await self.get("/metrics"))[1]


class Site:
    """All machines of an installation; forwards packets of clients as the platform's routers do."""

    def __init__(self, folder, record, hosts):
        self.folder, self.record = pathlib.Path(folder), record
        base = free_ports(20, hosts)
        self.traffic_port, self.ready_port, self.control_port, self.peer_port = base, base + 1, base + 2, base + 3
        self.server_port, self.store_port = base + 18, base + 19
        self.store_address = f"{hosts[0]}:{self.store_port}"
        self.machines = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((hosts[0], 0))

    def add(self, name, zone, ip, seeds, bounds=None, limits=None):
        machine = Machine(self, name, zone, ip, seeds, bounds, limits)
        self.machines.append(machine)
        machine.start()
        return machine

    async def check_readiness(self):
        """Asks each machine twice a second; after two misses it is out of rotation until it answers 200 again."""
        async def check(machine):
            if await machine.is_ready():
                machine.misses, machine.in_rotation = 0, True
            else:
                machine.misses += 1
                machine.in_rotation = machine.in_rotation and machine.misses < MISSES
        while True:
            started = time.monotonic()
            await asyncio.gather(*(check(machine) for machine in self.machines if not machine.gone))
            await asyncio.sleep(max(0.0, started + READY_INTERVAL_S - time.monotonic()))

    def machine_for(self, zone, flow):
        """The machine that gets a packet: by a hash (mod) of the four addresses and ports, over the zone's rotation."""
        nodes = [machine for machine in self.machines if machine.zone == zone and not machine.gone]
        rotation = [machine for machine in nodes if machine.in_rotation]
        nodes = rotation if len(rotation) * 2 >= len(nodes) else nodes
        return nodes[hash(flow) % len(nodes)] if nodes else None

    def forward(self, zone, packet):
        machine = self.machine_for(zone, packet.flow)
        if machine is not None:
            self._socket.sendto(packet.encode(), (machine.ip, self.traffic_port))
        return machine

    def stop(self):
        for machine in self.machines:
            if machine.is_running:
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()

