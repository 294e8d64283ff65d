"""What the scripts of the cases share: the record, the folder of the run, and the end of all processes."""

import asyncio
import os
import pathlib
import sys
import tempfile
import time
import traceback

BROKEN, HELD, NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {"contact_ms": 4000, "drain_ms": 3000}


class NotRun(Exception):
    """The case couldn't run."""


class Record:
    def __init__(self, path):
        self._file, self._start = open(path, "w"), time.monotonic()

    def __call__(self, line, at=None):
        self._file.write(f"{(at or time.monotonic()) - self._start:9.3f} {line}\n")
        self._file.flush()

    def say(self, line):
        self(line)
        print(line, flush=True)


def route(name, host, port, kind, service):
    return {"name": name, "host": host, "prefix": f"/{port}/", "type": kind, "timeout_ms": 1500,
            "target_latency_ms": 250, "priority": 1, "service": service, "max_attempts": 2}


def config(version, routes, services, cold_per_s=0.0):
    return {"version": version, "routes": routes, "limits": {
        "max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "services": [{"name": name, "health_path": "/health", "max_conns": 4444, "protocol": "h1", "tls": False,
                      "cold_start_s": 2.0, "cold_per_s": cold_per_s} for name in services]}


async def wait_for(condition, timeout_s, what):
    until = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > until:
            raise NotRun(what)
        await asyncio.sleep(0.05)


def main(folder, run, limit_s=115):
    """run(folder of the run, record) returns whether the rule held; it ends all processes itself, also when it is
    cancelled."""
    record = Record(pathlib.Path(folder) / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_kept = asyncio.run(asyncio.wait_for(run(temporary, record), limit_s))
            status = HELD if is_kept else BROKEN
        except Exception:
            record.say("the case couldn't run: " + traceback.format_exc())
            status = NOT_RUN
    record.say(f"exit {status}")
    sys.exit(status)
