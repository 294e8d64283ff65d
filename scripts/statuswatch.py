"""Watches the versions that instances report, to notice one that reverts (P10)."""

import json
import threading

from fleet import http_get

POLL_INTERVAL_S = 0.5
# Settled maps are written by the system itself; the operators' documents must never revert.
WATCHED_PREFIXES = ("contracts/", "zones")


class StatusWatch:
    """Polls /status of all instances in a thread of its own."""

    def __init__(self, admin_addresses):
        self._addresses = admin_addresses
        self._seen = {}
        self._latest = {}
        self._reverted = set()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        self._stop.set()
        self._thread.join()

    def observe(self, name, status):
        """Compares a status with the former ones of the same incarnation."""
        self._latest[name] = status
        for key, versions in status["documents"].items():
            if not key.startswith(WATCHED_PREFIXES):
                continue
            for kind in ("known", "in_force"):
                place = (name, status["incarnation"], key, kind)
                if versions[kind] < self._seen.get(place, 0):
                    self._reverted.add(f"{name}:{key}")
                self._seen[place] = max(versions[kind], self._seen.get(place, 0))

    def deviations(self):
        """Instances whose version reverted, or that end with an older one than others."""
        newest = {}
        for status in self._latest.values():
            for key, versions in status["documents"].items():
                newest[key] = max(newest.get(key, 0), versions["in_force"])
        behind = {f"{name}:{key}" for name, status in self._latest.items()
                  for key in newest if key.startswith(WATCHED_PREFIXES)
                  and status["documents"].get(key, {"in_force": 0})["in_force"] < newest[key]}
        return sorted(self._reverted | behind)

    def _run(self):
        while not self._stop.wait(POLL_INTERVAL_S):
            for name, address in self._addresses.items():
                body = http_get(address, "/status", 1.0)
                if body is not None:
                    self.observe(name, json.loads(body))
