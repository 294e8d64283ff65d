"""A small deployment on loopback addresses: instances started by the command of the deploy file, and the project's
stand-ins of the store, the servers and the callers."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "standin"))

from caller import Caller  # noqa: E402
from server import Server  # noqa: E402
from store import Store, serve  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Filled in as the platform fills in deploy/instance.toml.in.
SETTINGS = """[file]
origin = "platform"

[instance]
name = "{name}"
zone = "{zone}"
processor_share = 0.17
link_mbps = 700.0

[listen]
traffic = "{host}:{traffic}"
peer = "{host}:{peer}"
admin = "{host}:{admin}"

[store]
endpoint = "{store}"

[peers]
seeds = [{seeds}]

[shutdown]
grace_s = 6
{extra}"""

FIRST_INSTANCE = 11
FIRST_SERVER = 100
STORE_HOST = "127.0.0.2"
CALLER_HOST = "127.0.1.1"
PORTS = ("traffic", "peer", "admin", "store", "server")


def free_base_port(hosts):
    """First of five consecutive ports that are free on all hosts."""
    for base in range(20_000 + os.getpid() % 500 * 10, 32_000, 10):
        try:
            for host in hosts:
                for port in range(base, base + len(PORTS)):
                    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((host, port))
            return base
        except OSError:
            continue
    raise RuntimeError("no free ports")


def route(name, address, kind, priority=1, **target):
    """target: service, or backends."""
    return {"name": name, "host": address[0], "prefix": f"/{address[1]}/", "type": kind, "timeout_ms": 1500,
            "target_latency_ms": 250, "priority": priority, **target, "max_attempts": 2}


def config(version, services, *routes):
    entries = [{"name": name, "health_path": "/health", "max_conns": 4444, "protocol": "h1", "tls": False,
                "cold_start_s": 2.0, "cold_per_s": 0.0} for name in services]
    return {"version": version, "routes": list(routes), "services": entries,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


class Record:
    """Writes one line for each event, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
            self._file.flush()


class Process:
    """One instance, started by the command of the deploy file."""

    def __init__(self, folder, number, zone, ports, seeds, extra=""):
        self.number, self.zone, self.ports = number, zone, ports
        self.host = f"127.0.0.{FIRST_INSTANCE + number}"
        self._settings = pathlib.Path(folder) / f"{number}.toml"
        self._log = pathlib.Path(folder) / f"{number}.log"
        seed_list = ", ".join(f'"{seed}:{ports["admin"]}"' for seed in seeds)
        self._settings.write_text(SETTINGS.format(name=f"front-{zone}-{number}", zone=zone, host=self.host,
                                                  store=f"{STORE_HOST}:{ports['store']}", seeds=seed_list, extra=extra,
                                                  traffic=ports["traffic"], peer=ports["peer"],
                                                  admin=ports["admin"]))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._command = deploy["roles"]["entry"]["run"].split()
        self.process = None

    def start(self):
        with self._log.open("a") as log:
            self.process = subprocess.Popen(self._command, cwd=ROOT, stdout=log,
                                            env={"PATH": os.environ["PATH"], "BANYANWALL_BOOT": str(self._settings)})

    def stop(self, signal_number=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def wait(self):
        return self.process.wait(10)

    def page(self, path):
        """Body of an admin page; empty when the instance does not answer with 200 within 1 s."""
        try:
            with socket.create_connection((self.host, self.ports["admin"]), 1) as connection:
                connection.settimeout(1)
                connection.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
                answer = b""
                while part := connection.recv(65536):
                    answer += part
        except OSError:
            return ""
        head, _, body = answer.decode(errors="replace").partition("\r\n\r\n")
        return body if " 200 " in head.split("\r\n")[0] else ""

    @property
    def is_ready(self):
        return bool(self.page("/health"))

    @property
    def log(self):
        return self._log.read_text()


class RecordingServer(Server):
    """A server that records which flows it opens and which requests it runs."""

    def __init__(self, record, *arguments):
        self.record = record
        self.requests = []
        self.resets = 0
        self.is_down = False
        super().__init__(*arguments)

    def _handle_packet(self, packet, sender):
        if not self.is_down:
            super()._handle_packet(packet, sender)

    def _reply(self, packet, flags, data, **options):
        name = f"{self.service} i-{self.number:08x}"
        if data:
            self.requests.append((time.monotonic(), packet.sport))
            self.record.write(f"run        port {packet.sport} at {name}")
        elif flags & 1:
            self.resets += 1
            self.record.write(f"unknown    port {packet.sport} at {name}, reset by this server")
        else:
            self.record.write(f"opened     port {packet.sport} at {name}")
        super()._reply(packet, flags, data, **options)


class Deployment:
    def __init__(self, folder, zones, servers, first_config, extra="", hosts=()):
        """zones: zone of each instance; servers: (number, service, zone) of each server."""
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        used = [STORE_HOST, CALLER_HOST, *hosts]
        used += [f"127.0.0.{FIRST_INSTANCE + number}" for number in range(len(zones))]
        used += [f"127.0.0.{FIRST_SERVER + place}" for place in range(len(servers))]
        base = free_base_port(used)
        self.ports = {name: base + index for index, name in enumerate(PORTS)}
        self.store = Store()
        self._store_server = serve(self.store, (STORE_HOST, self.ports["store"]))
        self.put("op/config", first_config)
        self.servers = [self.add_server(place, *server) for place, server in enumerate(servers)]
        # When the opening packet of the flow from each port was first sent.
        self.sent = {}
        self.caller = Caller((CALLER_HOST, self.ports["traffic"]))
        seeds = [f"127.0.0.{FIRST_INSTANCE + number}" for number in range(min(2, len(zones)))]
        self.instances = [Process(self._temporary.name, number, zone, self.ports, seeds, extra)
                          for number, zone in enumerate(zones)]

    def add_server(self, place, number, service, zone):
        server = RecordingServer(self.record, self.store, number, service, zone,
                                 (f"127.0.0.{FIRST_SERVER + place}", self.ports["server"]), self.ports["traffic"])
        server.serve_in_thread()
        self.record.write(f"registered {service} i-{number:08x}")
        return server

    def put(self, key, value):
        """The operator writes; returns the time of the acknowledgement."""
        self.store.put(key, value)
        self.record.write(f"store      {key} = {value}")
        return time.monotonic()

    def start(self):
        for instance in self.instances:
            instance.start()
        return wait_until(lambda: all(instance.is_ready for instance in self.instances), 15)

    def request(self, service, instance):
        """Opens a flow through the instance and sends one request in it; returns the answer, "reset" or None."""
        port = self.caller._next_port + 1
        self.sent[port] = time.monotonic()
        flow = self.caller.open(service, instance)
        answer = self.caller.send_request(flow, instance) if flow else None
        self.record.write(f"answered   port {port} through {instance.host}: {answer}")
        return answer

    def end(self):
        for instance in self.instances:
            instance.stop(signal.SIGCONT)
            instance.stop()
            if instance.process is not None:
                instance.wait()
        for instance in self.instances:
            if instance.process is not None:
                self.record.write(f"log of {instance.host}, last lines:\n{instance.log[-1500:]}")
        self._store_server.shutdown()
        self._temporary.cleanup()


def wait_until(condition, timeout_s):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.02)
    return bool(condition())


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"
