"""Stand-in of the platform's store (PROTOCOL.md): range reads in pages, watches and conditional writes over HTTP."""

import asyncio
import base64
import json
import time
import urllib.parse

PAGE_ITEMS = 500


class Store:
    def __init__(self, record):
        self.items = {}
        self.history = []
        self.revision = 1
        self.record = record
        self._changed = asyncio.Condition()
        self._server = None
        # "" answers; "silent" accepts calls and answers none.
        self.mode = ""
        self.calls = 0

    async def start(self, host, port):
        self._server = await asyncio.start_server(self._serve, host, port)

    async def put(self, key, value):
        """Writes an entry as the operator or a server would; returns the time of the acknowledgement."""
        text = value if isinstance(value, str) else base64.b64encode(json.dumps(value).encode()).decode()
        await self._write([(key, text)], [])
        return time.monotonic()

    async def remove(self, key):
        await self._write([], [key])
        return time.monotonic()

    async def _write(self, puts, removals):
        async with self._changed:
            self.revision += 1
            for key, value in puts:
                created = self.items[key]["created"] if key in self.items else self.revision
                item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": 0}
                self.items[key] = item
                self.history.append(item)
            for key in removals:
                if self.items.pop(key, None):
                    self.history.append({"key": key, "revision": self.revision, "tombstone": True})
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            method, target, _ = head.split("\r\n")[0].split(" ")
            length = next((int(line.split(":")[1]) for line in head.split("\r\n")
                           if line.lower().startswith("content-length:")), 0)
            body = await reader.readexactly(length) if length else b""
            self.calls += 1
            if self.mode == "silent":
                await reader.read()
                return
            status, answer = await self._answer(method, target, body)
            if self.mode == "silent":
                await reader.read()
                return
            data = json.dumps(answer).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                         "\r\n".encode() + data)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The system's process has ended the call, or the run ends.
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = {key: values[0] for key, values in urllib.parse.parse_qs(parts.query).items()}
        if method == "GET" and parts.path == "/api/kv-range":
            return 200, self._range(query.get("prefix", ""), query.get("after", ""))
        if method == "GET" and parts.path == "/api/kv-watch":
            return await self._watch(query.get("prefix", ""), int(query["after"]), int(query["wait_ms"]) / 1000)
        if method == "POST" and parts.path == "/api/kv-txn":
            return await self._transact(json.loads(body))
        return 404, {}

    def _range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return {"items": [self.items[key] for key in keys[:PAGE_ITEMS]], "has_more": len(keys) > PAGE_ITEMS,
                "store_revision": self.revision}

    async def _watch(self, prefix, after, wait_s):
        def events():
            return [item for item in self.history[-2000:] if item["revision"] > after and item["key"].startswith(prefix)]
        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait_for(events), wait_s)
            except asyncio.TimeoutError:
                pass
            return 200, {"events": events(), "store_revision": self.revision}

    async def _transact(self, call):
        puts = [(row["key"], row["value"]) for row in call.get("puts", [])]
        removals = call.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in [key for key, _ in puts] + removals):
            return 403, {}
        for row in call.get("expected", []):
            if self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"]:
                return 412, {"items": [self.items[row["key"]]] if row["key"] in self.items else []}
        await self._write(puts, removals)
        return 200, {"revision": self.revision}
