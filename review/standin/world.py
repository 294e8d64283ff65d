"""Stand-ins of the platform's store, servers, clients and routers on loopback addresses, and instances of the project as
processes. One asyncio loop runs all stand-ins; times are seconds of the monotonic clock since the world was made."""

import asyncio
import base64
import collections
import itertools
import json
import os
import pathlib
import signal
import socket
import struct
import tempfile
import time
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/platform/banyanwall-flowd"
FIN, RST, SYN, ACK = 4, 1, 16, 32
HEADER = struct.Struct(">IIIIHIIHHB")
# A stand-in that ran late by this much would cause troubles of its own: the case then counts as not run.
MAX_LAG_S = 0.15

SETTINGS = """[instance]
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
grace_ms = 6000
"""


def ip_number(host):
    return int.from_bytes(socket.inet_aton(host), "big")


def ip_text(number):
    return socket.inet_ntoa(number.to_bytes(4, "big"))


Packet = collections.namedtuple("Packet", "seq ack echo sum sport src dst dport flags data")


def encode(packet):
    """The sum covers all fields but the echo, as on the platform."""
    head = HEADER.pack(packet.seq, packet.ack, 0, 0, packet.sport, packet.src, packet.dst, packet.dport,
                       len(packet.data), packet.flags)
    checksum = zlib.crc32(head + packet.data, 0x5EED) or 1
    return HEADER.pack(packet.seq, packet.ack, packet.echo, checksum, packet.sport, packet.src, packet.dst,
                       packet.dport, len(packet.data), packet.flags) + packet.data


def decode(raw):
    seq, ack, echo, checksum, sport, src, dst, dport, length, flags = HEADER.unpack_from(raw)
    return Packet(seq, ack, echo, checksum, sport, src, dst, dport, flags, raw[HEADER.size:HEADER.size + length])


class World:
    def __init__(self, record_path):
        self.start_time = time.monotonic()
        self._record = open(record_path, "w")
        self.folder = tempfile.TemporaryDirectory()
        self.instances = []
        self.max_lag = 0.0
        self.port = self._free_ports()
        self.store = Store(self)

    def _free_ports(self):
        """First of six ports that are free at the addresses which the world uses."""
        hosts = ["127.0.0.2", *(f"127.0.1.{last}" for last in range(1, 6))]
        hosts += [f"127.0.0.{last}" for last in (*range(11, 20), *range(101, 110))]
        for base in range(20_000 + os.getpid() % 6_000 * 6, 60_000, 6):
            try:
                for port, host in itertools.product(range(base, base + 6), hosts):
                    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((host, port))
                return base
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def now(self):
        return time.monotonic() - self.start_time

    def record(self, *words):
        self._record.write(f"{self.now():8.3f} " + " ".join(str(word) for word in words) + "\n")

    async def watch_lag(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.max_lag = max(self.max_lag, time.monotonic() - before - 0.02)

    def add_instance(self, zone):
        instance = Instance(self, len(self.instances), zone)
        self.instances.append(instance)
        return instance

    async def wait_ready(self, timeout_s=10):
        end = self.now() + timeout_s
        while self.now() < end:
            if all([await instance.check_ready() for instance in self.instances]):
                return True
            await asyncio.sleep(0.1)
        return False

    def close(self):
        for instance in self.instances:
            instance.kill()
        self.record("end", f"largest delay of the stand-ins {self.max_lag * 1000:.0f} ms")
        self._record.close()
        self.folder.cleanup()


class Instance:
    """A process of the project, started as the deploy file says."""

    def __init__(self, world, number, zone):
        self.world, self.number, self.zone = world, number, zone
        self.host = f"127.0.0.{11 + number}"
        self.traffic = (self.host, world.port)
        self._settings = pathlib.Path(world.folder.name) / f"node-{number}.toml"
        self._log = pathlib.Path(world.folder.name) / f"node-{number}.log"
        seeds = ", ".join(f'"127.0.0.{11 + seed}:{world.port + 2}"' for seed in range(3))
        self._settings.write_text(SETTINGS.format(
            name=f"front-{number}", zone=zone, host=self.host, traffic=world.port, peer=world.port + 1,
            admin=world.port + 2, store=f"127.0.0.2:{world.port + 3}", seeds=seeds))
        self.process = None
        self.is_ready = False

    async def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["BANYANWALL_BOOT"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(str(PROGRAM), cwd=ROOT, env=environment, stdout=log,
                                                                stderr=log)
        self.world.record("instance", self.number, "started")

    async def terminate(self):
        """Stops the process as the platform does: SIGTERM, then SIGKILL after grace_s."""
        self.world.record("instance", self.number, "gets SIGTERM")
        self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), 6.0)
        except asyncio.TimeoutError:
            self.kill()
            await self.process.wait()
        self.is_ready = False
        self.world.record("instance", self.number, "ended")

    async def page(self, path):
        reader, writer = await asyncio.open_connection(self.host, self.world.port + 2)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n".encode())
        text = (await reader.read()).decode()
        writer.close()
        return text

    def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()

    def log(self):
        return self._log.read_text()

    async def check_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.host, self.world.port + 2), 0.5)
            writer.write(b"GET /health HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            self.is_ready = b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            self.is_ready = False
        return self.is_ready


class Store:
    """The platform's store: linearizable, with one revision for all keys. While it is down, calls get 503."""

    def __init__(self, world):
        self._world = world
        self._items = {}
        self._history = []
        self.revision = 100
        self.is_down = False
        # Set when a read of a range has been answered.
        self.range_read = asyncio.Event()
        self._changed = asyncio.Condition()

    async def start(self):
        await asyncio.start_server(self._serve, "127.0.0.2", self._world.port + 3)

    async def put(self, key, value):
        """Returns the time of the acknowledgement. value: bytes, or an object that is written as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self._changed:
            self.revision += 1
            created = self._items[key]["created"] if key in self._items else self.revision
            self._items[key] = {"key": key, "value": base64.b64encode(raw).decode(), "revision": self.revision,
                                "created": created, "lease": 0}
            self._history.append(self._items[key])
            self._changed.notify_all()
        self._world.record("store: put", key, raw.decode(errors="replace") if len(raw) < 400 else f"{len(raw)} bytes")
        return self._world.now()

    async def remove(self, key):
        async with self._changed:
            if self._items.pop(key, None) is not None:
                self.revision += 1
                self._history.append({"key": key, "revision": self.revision, "tombstone": True})
                self._changed.notify_all()
        self._world.record("store: removed", key)
        return self._world.now()

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            method, target, _ = head.split("\r\n")[0].split(" ")
            length = next((int(line.split(":")[1]) for line in head.split("\r\n")
                           if line.lower().startswith("content-length:")), 0)
            body = await reader.readexactly(length) if length else b""
            status, answer = await self._answer(method, target, body)
            if self.is_down:
                status, answer = 503, {}
            data = json.dumps(answer).encode()
            if "/api/kv-range" in target:
                self.range_read.set()
                self._world.record("store: answered", target, status, "at revision", self.revision)
            writer.write(f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {len(data)}"
                         "\r\nConnection: close\r\n\r\n".encode() + data)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        if self.is_down:
            return 503, {}
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        prefix = query.get("prefix", "")
        if parts.path == "/api/kv-range":
            after = query.get("after", "")
            keys = [key for key in sorted(self._items) if key.startswith(prefix) and key > after]
            return 200, {"items": [self._items[key] for key in keys[:500]], "has_more": len(keys) > 500,
                         "store_revision": self.revision}
        if parts.path == "/api/kv-watch":
            after = int(query["after"])
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait_for(
                        lambda: self.revision > after or self.is_down), int(query["wait_ms"]) / 1000)
                except asyncio.TimeoutError:
                    pass
            events = [item for item in self._history if item["revision"] > after and item["key"].startswith(prefix)]
            return 200, {"events": events, "store_revision": self.revision}
        if parts.path == "/api/kv-txn":
            call = json.loads(body)
            for row in call["expected"]:
                item = self._items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": [item] if item else []}
            for row in call["puts"]:
                await self.put(row["key"], base64.b64decode(row["value"]))
            for key in call["remove"]:
                await self.remove(key)
            return 200, {"revision": self.revision}
        return 404, {}

    async def set_down(self, is_down):
        async with self._changed:
            self.is_down = is_down
            self._changed.notify_all()
        self._world.record("store:", "down" if is_down else "up")


class Server:
    """A server: slots, a queue, flows. Works on requests, answers clients directly, registers itself in the store."""

    def __init__(self, world, ident, service, zone, number, work_s, slots=3, queue=12):
        self.world, self.ident, self.service, self.zone = world, ident, service, zone
        self.number = int(ident.removeprefix("i-"), 16)
        self.work_s, self.slots, self.queue_size = work_s, slots, queue
        self.body_bytes = 0
        self.address = (f"127.0.0.{101 + number}", world.port + 4)
        self.entry = {"service": service, "address": "%s:%d" % self.address, "zone": zone, "version": "v1",
                      "slots": slots, "state": "ready", "cold_remaining_ms": 0, "seq": 1,
                      "born": int(time.time() * 1000)}
        self.flows = {}
        self.cold_until = 0.0
        self.openings = []
        self.is_alive = True
        self.busy = 0
        self.waiting = collections.deque()
        self.runs = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(self.address)
        asyncio.get_running_loop().add_reader(self._socket, self._on_readable)

    @property
    def key(self):
        return f"servers/{self.ident}"

    async def publish(self, **changes):
        self.entry.update(changes)
        self.entry["seq"] += 1
        self.entry["cold_remaining_ms"] = max(0, int((self.cold_until - self.world.now()) * 1000))
        return await self.world.store.put(self.key, self.entry)

    def end(self):
        """The process of the server ends: what it holds is gone."""
        self.is_alive = False
        self.flows.clear()
        self.waiting.clear()
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self.world.record("server", self.ident, "ended")

    def _on_readable(self):
        while self.is_alive:
            try:
                raw, sender = self._socket.recvfrom(2048)
            except BlockingIOError:
                return
            intended = int.from_bytes(raw[:8], "big")
            if intended in (0, self.number):
                self._receive(decode(raw[8:]), sender)

    def _receive(self, packet, sender):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                self.openings.append(self.world.now())
                flow = {"isn": zlib.crc32(repr((self.ident, key)).encode()), "received": packet.seq + 1, "open": False,
                        "echo": packet.echo, "next": None, "last": []}
                self.flows[key] = flow
                self.world.record("server", self.ident, f"({self.service}) SYN from client port {packet.sport} to",
                                  f"{ip_text(packet.dst)}:{packet.dport} by {sender[0]}")
            self._send(key, flow["isn"], packet.seq + 1, packet.echo, SYN | ACK, b"")
        elif flow is None:
            if not packet.flags & RST:
                self._send(key, packet.ack, packet.seq, packet.echo, RST, b"")
        elif not flow["open"] and packet.ack != flow["isn"] + 1:
            # The client has opened the flow at another server.
            del self.flows[key]
        else:
            flow["open"], flow["echo"] = True, packet.echo
            flow["next"] = flow["next"] or flow["isn"] + 1
            if packet.flags & RST:
                del self.flows[key]
            elif packet.data:
                self._receive_data(key, flow, packet)
            elif packet.flags & FIN:
                del self.flows[key]
                self._send(key, flow["next"], packet.seq + 1, packet.echo, ACK | FIN, b"")

    def _receive_data(self, key, flow, packet):
        if packet.seq == flow["received"]:
            flow["received"] += len(packet.data)
            flow["last"] = []
            if len(self.waiting) >= self.queue_size:
                text = (f"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Server-Stamp: {self.ident}\r\n"
                        "Content-Length: 0\r\n\r\n")
                self._answer(key, flow, text)
                return
            self.waiting.append((key, packet))
            self.world.record("server", self.ident, "accepted", request_id(packet.data))
            self._work()
        else:
            for answer in flow["last"] or [(flow["next"], flow["received"], flow["echo"], ACK, b"")]:
                self._send(key, *answer)

    def _work(self):
        while self.waiting and self.busy < self.slots:
            key, packet = self.waiting.popleft()
            self.busy += 1
            request = request_id(packet.data)
            self.runs.append(request)
            self.world.record("server", self.ident, f"({self.service}) runs", request)
            asyncio.get_running_loop().call_later(self.work_s, self._finish, key, request)

    def _finish(self, key, request):
        if not self.is_alive:
            return
        self.busy -= 1
        flow = self.flows.get(key)
        if flow is not None:
            body = f"{self.service} {self.ident} {request}".ljust(self.body_bytes)
            text = f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {self.ident}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
            self._answer(key, flow, text)
        self._work()

    def _answer(self, key, flow, text):
        for first in range(0, len(text), 1200):
            data = text[first:first + 1200].encode()
            is_closing = self.entry["state"] == "draining" and first + 1200 >= len(text)
            flags = ACK | FIN if is_closing else ACK
            flow["last"].append((flow["next"], flow["received"], flow["echo"], flags, data))
            flow["next"] += len(data)
        for answer in flow["last"]:
            self._send(key, *answer)

    def _send(self, key, seq, ack, echo, flags, data):
        src, sport, dst, dport = key
        packet = Packet(seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, echo, 0, dport, dst, src, sport, flags, data)
        self._socket.sendto(encode(packet), (ip_text(src), self.world.port))


def request_id(data):
    return data.decode().split("X-Request-Id: ")[1].split("\r\n")[0]


class Clients:
    """All clients of one zone, at one address. The router selects an instance by a hash of addresses and ports over the
    instances of the zone that are in rotation."""

    def __init__(self, world, host, zone):
        self.world, self.host, self.zone = world, host, zone
        self._inboxes = {}
        self._next_port = 20_000
        self._requests = 0
        self.outcomes = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, world.port))
        asyncio.get_running_loop().add_reader(self._socket, self._on_readable)

    def _on_readable(self):
        while True:
            try:
                raw, sender = self._socket.recvfrom(2048)
            except BlockingIOError:
                return
            packet = decode(raw)
            inbox = self._inboxes.get(packet.dport)
            if inbox is not None:
                inbox.put_nowait((packet, sender))

    def _send(self, flow, flags, data, ack=None):
        own = [instance for instance in self.world.instances if instance.zone == self.zone]
        ready = [instance for instance in own if instance.is_ready]
        nodes = ready if len(ready) * 2 >= len(own) and ready else own or self.world.instances
        node = nodes[zlib.crc32(repr((self.host, flow["port"], flow["to"])).encode()) % len(nodes)]
        packet = Packet(flow["seq"], flow["ack"] if ack is None else ack, flow["echo"], 0, flow["port"],
                        ip_number(self.host), ip_number(flow["to"][0]), flow["to"][1], flags, data)
        self._socket.sendto(encode(packet), node.traffic)

    async def request(self, to, budget_s=1.5):
        """One request on a flow of its own. Returns (outcome, body): ok, refused (reset before the flow was open),
        reset, unopened or unanswered."""
        self._requests += 1
        request = f"{self.host.split('.')[-1]}-{self._requests:05d}"
        self._next_port += 1
        flow = {"port": self._next_port, "to": to, "seq": zlib.crc32(request.encode()), "ack": 0, "echo": 0}
        inbox = self._inboxes[flow["port"]] = asyncio.Queue()
        started = self.world.now()
        try:
            outcome, body = await self._attempt(flow, inbox, request, started + budget_s)
        finally:
            del self._inboxes[flow["port"]]
        self.world.record("client", self.host, "request", request, f"port {flow['port']} to {to[0]}:{to[1]}:", outcome,
                          body)
        self.outcomes.append((started, request, to, outcome, body))
        return outcome, body

    async def _attempt(self, flow, inbox, request, until):
        opened = await self._open(flow, inbox, until)
        if opened != "open":
            return opened, ""
        data = f"GET / HTTP/1.1\r\nHost: r\r\nX-Request-Id: {request}\r\n\r\n".encode()
        wait, acknowledged = 0.2, False
        while self.world.now() < until:
            if not acknowledged:
                self._send(flow, ACK, data)
            packet, _ = await self._next(inbox, until if acknowledged else min(until, self.world.now() + wait))
            wait = min(wait * 2, 1.6)
            if packet is None:
                continue
            if packet.flags & RST:
                return "reset", ""
            acknowledged = acknowledged or packet.ack == (flow["seq"] + len(data)) & 0xFFFFFFFF
            flow["echo"] = packet.echo
            if packet.data and packet.seq == flow["ack"]:
                flow["seq"] = (flow["seq"] + len(data)) & 0xFFFFFFFF
                flow["ack"] = (flow["ack"] + len(packet.data)) & 0xFFFFFFFF
                self._send(flow, ACK | FIN, b"")
                head, _, body = packet.data.decode().partition("\r\n\r\n")
                return ("ok" if " 200 " in head.split("\r\n")[0] else "503"), body
        return "unanswered", ""

    async def _open(self, flow, inbox, until):
        start = self.world.now()
        for copy, wait_until in enumerate((0.2, 0.6, 1.4)):
            self._send(flow, SYN, b"", ack=copy)
            while True:
                packet, _ = await self._next(inbox, min(until, start + wait_until))
                if packet is None:
                    break
                if packet.flags & RST:
                    return "refused"
                if packet.flags & SYN:
                    flow["seq"] = (flow["seq"] + 1) & 0xFFFFFFFF
                    flow["ack"] = (packet.seq + 1) & 0xFFFFFFFF
                    flow["echo"] = packet.echo
                    self._send(flow, ACK, b"")
                    return "open"
        return "unopened"

    async def _next(self, inbox, until):
        remaining = until - self.world.now()
        if remaining <= 0:
            return None, None
        try:
            return await asyncio.wait_for(inbox.get(), remaining)
        except asyncio.TimeoutError:
            return None, None


async def load(clients, to, per_s, until, budget_s=1.5):
    """Starts requests at a steady rate until the given time and waits for them."""
    world = clients.world
    tasks, next_at = [], world.now()
    while next_at < until:
        await asyncio.sleep(max(0.0, next_at - world.now()))
        tasks.append(asyncio.create_task(clients.request(to, budget_s)))
        next_at += 1.0 / per_s
    await asyncio.gather(*tasks)


def route(name, to, service, kind):
    return {"name": name, "host": to[0], "prefix": f"/{to[1]}/", "type": kind, "timeout_ms": 1500,
            "target_latency_ms": 250, "priority": 1, "service": service, "max_attempts": 2}


def config(version, routes, services, cold_per_s=0.0):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_conns": 4444, "protocol": "h1", "tls": False,
                          "cold_start_s": 2.0, "cold_per_s": cold_per_s} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}
