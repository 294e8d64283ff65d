"""Servers and clients of the platform (PROTOCOL.md): flows with opening, data, acknowledgement and end."""

import asyncio
import itertools
import random
import socket
import time

from packets import ACK, CLIENT_SUM, FIN, PREFIX_BYTES, RST, SERVER_SUM, SYN, Packet, number, text

SYN_COPIES_S = (0.2, 0.6)
GIVE_UP_S = 1.4
RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 1.6
HEARTBEAT_S = 0.77


class Endpoint(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, addr):
        self.handler(data, addr)


async def bind(address, handler):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: Endpoint(handler),
                                                                              local_addr=address)
    return transport


class Server:
    """A server in the form echo. Answers each request after its work time."""

    def __init__(self, site, store, server_id, service, zone, ip, record, slots=3, work_s=0.04):
        self.site, self.store, self.id, self.service, self.zone, self.ip = site, store, server_id, service, zone, ip
        self.record, self.slots, self.work_s = record, slots, work_s
        self.number = int(server_id.removeprefix("i-"), 16)
        self.state, self.is_running, self.is_dark = "ready", False, False
        self.born, self.cold_until, self.cold_s = 0, 0.0, 0.0
        self.flows, self.ended = {}, set()
        self.openings = []
        self.drop_next = 0
        self._busy, self._queue, self._transport, self._seq = 0, [], None, 0

    async def start(self, cold_s=0.0):
        """Begins a lifetime: it knows nothing of before."""
        self.born = time.time_ns() // 1_000_000
        self.flows, self.ended, self._queue, self._busy = {}, set(), [], 0
        self.cold_until, self._seq = time.monotonic() + cold_s, 0
        if self._transport is None:
            self._transport = await bind((self.ip, self.site.server_port), self._on_datagram)
        self.is_running = True
        await self.publish()

    def crash(self):
        """Discards its flows and takes none until it starts again; answers with resets."""
        self.is_running, self.flows, self._queue = False, {}, []

    async def publish(self):
        cold_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        self._seq += 1
        return await self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"{self.ip}:{self.site.server_port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": cold_ms,
            "seq": self._seq, "born": self.born})

    async def drain(self):
        self.state = "draining"
        return await self.publish()

    def _on_datagram(self, raw, sender):
        if self.is_dark or int.from_bytes(raw[:PREFIX_BYTES], "big") not in (0, self.number):
            return
        packet = Packet.decode(raw[PREFIX_BYTES:])
        if packet.data and self.drop_next > 0:
            # The datagram is lost on its way.
            self.drop_next -= 1
            return
        flow = self.flows.get(packet.flow)
        if not self.is_running:
            if not packet.flags & RST:
                self._send(packet, RST, 0)
        elif packet.flags & SYN:
            self._on_open(packet, flow, sender)
        elif flow is None:
            if packet.flow in self.ended and packet.flags & FIN and not packet.data:
                self._send(packet, ACK, packet.ack, acknowledged=packet.seq + 1)
            elif not packet.flags & RST and (packet.data or packet.flow not in self.ended):
                self._send(packet, RST, packet.ack)
        elif packet.flags & RST:
            del self.flows[packet.flow]
        else:
            self._on_packet(packet, flow)

    def _on_open(self, packet, flow, sender):
        if flow is None:
            flow = {"seq": random.getrandbits(32), "expected": packet.seq + 1, "open": False, "via": sender[0]}
            self.flows[packet.flow] = flow
            self.openings.append((time.monotonic(), sender[0], packet.flow))
        self._send(packet, SYN | ACK, flow["seq"], acknowledged=packet.seq + 1)

    def _on_packet(self, packet, flow):
        flow["open"] = flow["open"] or packet.ack == (flow["seq"] + 1) & 0xFFFFFFFF
        flow["echo"] = packet.echo
        if packet.data and packet.seq == flow["expected"] & 0xFFFFFFFF:
            flow["expected"] = packet.seq + len(packet.data)
            self._queue.append((packet, flow))
            self._begin()
        elif packet.data and flow.get("answer"):
            flow["answer"]()
        if packet.data:
            self._send(packet, ACK, flow["seq"] + 1, acknowledged=flow["expected"])
        if packet.flags & FIN:
            del self.flows[packet.flow]
            self.ended.add(packet.flow)
            self._send(packet, FIN | ACK, flow["seq"] + 1, acknowledged=packet.seq + 1)

    def _begin(self):
        while self._queue and self._busy < self.slots:
            packet, flow = self._queue.pop(0)
            self._busy += 1
            asyncio.get_running_loop().call_later(self.work_s, self._finish, packet, flow, self.born)

    def _finish(self, packet, flow, born):
        if born != self.born or not self.is_running or self._transport.is_closing():
            return
        self._busy -= 1
        if packet.flow in self.flows:
            body = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: %s\r\n\r\n%s" % (self.id.encode(),
                                                                         packet.data.split(b"X-Request-Id: ")[1][:16])
            seq = flow["seq"] + 1
            flow["answer"] = lambda: self._send(packet, ACK, seq, body, flow["expected"])
            flow["answer"]()
            flow["seq"] = seq + len(body) - 1
        self._begin()

    def _send(self, packet, flags, seq, data=b"", acknowledged=None):
        answer = Packet(seq, packet.seq + len(packet.data) if acknowledged is None else acknowledged, packet.echo,
                        SERVER_SUM, packet.dport, packet.dst, packet.src, packet.sport, flags, data)
        self._transport.sendto(answer.encode(), (text(packet.src), self.site.traffic_port))

    def close(self):
        if self._transport:
            self._transport.close()


class Flow:
    """A flow of a client. Its packets go through the routers of the client's zone."""

    def __init__(self, client, route):
        self.client, self.route = client, route
        self.port = next(client.ports)
        self.seq, self.ack, self.echo = random.getrandbits(31), 0, 0
        self.events = asyncio.Queue()
        self.reset_by = None
        client.flows[self.port] = self

    @property
    def key(self):
        return number(self.client.ip), self.port, number(self.route[0]), self.route[1]

    def send(self, flags, data=b"", ack=None):
        host, port = self.route
        packet = Packet(self.seq, self.ack if ack is None else ack, self.echo, CLIENT_SUM, self.port,
                        number(self.client.ip), number(host), port, flags, data)
        return self.client.site.forward(self.client.zone, packet)

    async def next_packet(self, timeout_s):
        try:
            return await asyncio.wait_for(self.events.get(), max(0.0, timeout_s))
        except asyncio.TimeoutError:
            return None

    async def open(self):
        """Returns "open", "reset" or "unanswered"."""
        started = time.monotonic()
        for copy, until in enumerate((*SYN_COPIES_S, GIVE_UP_S)):
            self.send(SYN, ack=copy)
            while (packet := await self.next_packet(started + until - time.monotonic())) is not None:
                if packet.flags & RST:
                    self.reset_by = "system" if packet.sum == 0 else "server"
                    return "reset"
                if packet.flags & SYN:
                    self.seq, self.ack, self.echo = self.seq + 1, packet.seq + 1, packet.echo
                    self.send(ACK)
                    return "open"
        return "unanswered"

    async def request(self, request_id, deadline_s=1.5):
        """Returns the answer's text, "reset" or None at the deadline."""
        data = b"POST / HTTP/1.1\r\nX-Request-Id: " + request_id.encode() + b"\r\n\r\n"
        started, wait, next_send, is_acknowledged = time.monotonic(), RETRANSMISSION_S, time.monotonic(), False
        while time.monotonic() < started + deadline_s:
            if not is_acknowledged and time.monotonic() >= next_send:
                self.send(ACK, data)
                next_send, wait = time.monotonic() + wait, min(wait * 2, MAX_RETRANSMISSION_S)
            until = started + deadline_s if is_acknowledged else min(next_send, started + deadline_s)
            packet = await self.next_packet(until - time.monotonic())
            if packet is None:
                continue
            if packet.flags & RST:
                if packet.sum == 0 and not -76_800 <= packet.seq - self.ack <= 76_800:
                    continue
                self.reset_by = "system" if packet.sum == 0 else "server"
                return "reset"
            if packet.flags & SYN:
                continue
            self.echo = packet.echo
            if packet.ack == (self.seq + len(data)) & 0xFFFFFFFF:
                is_acknowledged = True
            if packet.data:
                self.seq, self.ack = self.seq + len(data), packet.seq + len(packet.data)
                self.send(ACK)
                return packet.data.decode()
        return None

    def close(self):
        self.send(FIN | ACK)
        asyncio.get_running_loop().call_later(1.0, self.client.flows.pop, self.port, None)


class Client:
    """All clients of a zone, at one address."""

    def __init__(self, site, zone, ip):
        self.site, self.zone, self.ip = site, zone, ip
        self.ports, self.flows = itertools.count(10_000), {}
        self._transport = None

    async def start(self):
        self._transport = await bind((self.ip, self.site.traffic_port), self._on_datagram)

    def new_flow(self, route):
        return Flow(self, route)

    def _on_datagram(self, raw, _):
        packet = Packet.decode(raw)
        flow = self.flows.get(packet.dport)
        if flow is not None and (packet.src, packet.sport) == (number(flow.route[0]), flow.route[1]):
            flow.events.put_nowait(packet)

    def close(self):
        if self._transport:
            self._transport.close()
