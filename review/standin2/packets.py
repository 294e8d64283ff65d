"""Packets of the platform as PROTOCOL.md describes them: a big-endian head of 31 bytes, then up to 1,200 bytes of data."""

import dataclasses
import ipaddress
import struct

HEAD = struct.Struct(">IIIIHIIHHB")
RST, FIN, SYN, ACK = 1, 4, 16, 32
PREFIX_BYTES = 8
# Callers and servers write a keyed sum; the stand-ins write one number each. Resets of the system carry 0.
CLIENT_SUM, SERVER_SUM = 0x0C11E147, 0x05E47E45


def number(address):
    return int(ipaddress.IPv4Address(address))


def text(address_number):
    return str(ipaddress.IPv4Address(address_number))


@dataclasses.dataclass
class Packet:
    seq: int = 0
    ack: int = 0
    echo: int = 0
    sum: int = 0
    sport: int = 0
    src: int = 0
    dst: int = 0
    dport: int = 0
    flags: int = 0
    data: bytes = b""

    def encode(self):
        return HEAD.pack(self.seq & 0xFFFFFFFF, self.ack & 0xFFFFFFFF, self.echo, self.sum, self.sport, self.src,
                         self.dst, self.dport, len(self.data), self.flags) + self.data

    @staticmethod
    def decode(raw):
        seq, ack, echo, checksum, sport, src, dst, dport, length, flags = HEAD.unpack_from(raw)
        return Packet(seq, ack, echo, checksum, sport, src, dst, dport, flags, raw[HEAD.size:HEAD.size + length])

    @property
    def flow(self):
        """Addresses and ports as the client sees them, in a packet of the client."""
        return self.src, self.sport, self.dst, self.dport
