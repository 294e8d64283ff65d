"""Watches the document versions that instances report. No instance may return to an older version
or stay behind the others."""

import json
import threading

from fleet import http_get

POLL_INTERVAL_S = 0.5
# Documents of the operators, whose versions must never decrease. Settled maps are left out: the
# system itself writes them.
WATCHED_PREFIXES = ("contracts/", "zones")


class StatusWatch:
    """Polls /status of all instances in a thread of its own. admin_addresses maps the name of an
    instance to its admin address."""

    def __init__(self, admin_addresses):
        self._addresses = admin_addresses
        self._highest_versions = {}
        self._latest_status = {}
        self._reverted = set()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def stop(self):
        self._stop.set()
        self._thread.join()

    def record_status(self, name, status):
        """Compares the versions with the highest ones so far of the same incarnation."""
        self._latest_status[name] = status
        for key, versions in status["documents"].items():
            if not key.startswith(WATCHED_PREFIXES):
                continue
            for kind in ("known", "in_force"):
                version_key = (name, status["incarnation"], key, kind)
                if versions[kind] < self._highest_versions.get(version_key, 0):
                    self._reverted.add(f"{name}:{key}")
                self._highest_versions[version_key] = max(
                    versions[kind], self._highest_versions.get(version_key, 0))

    def find_deviations(self):
        """Returns "instance:document" for each version that decreased, and for each document whose
        last version in force at an instance is older than at another instance."""
        newest = {}
        for status in self._latest_status.values():
            for key, versions in status["documents"].items():
                newest[key] = max(newest.get(key, 0), versions["in_force"])
        behind = {f"{name}:{key}" for name, status in self._latest_status.items()
                  for key in newest if key.startswith(WATCHED_PREFIXES)
                  and status["documents"].get(key, {"in_force": 0})["in_force"] < newest[key]}
        return sorted(self._reverted | behind)

    def _run(self):
        while not self._stop.wait(POLL_INTERVAL_S):
            for name, address in self._addresses.items():
                body = http_get(address, "/status", 1.0)
                if body is not None:
                    self.record_status(name, json.loads(body))
