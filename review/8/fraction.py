"""Starts two machines with settings in which the bound grace_s is a fraction."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin2"))

from case import TROUBLE, config, main, route  # noqa: E402
from platform_machines import Site  # noqa: E402
from store import Store  # noqa: E402

ZONE, ROUTE = "galpao-a", ("127.70.0.1", 8080)
GRACE_S = 2.5 if TROUBLE else 6
START_S = 5.0


async def run(folder, record):
    site = Site(folder, record, ["127.63.0.1"])
    store = Store(record)
    host, port = site.store_address.split(":")
    await store.start(host, int(port))
    await store.put("op/config", config(3, [route("r-1", *ROUTE, "unsafe", "bancada")], ["bancada"]))
    try:
        for number in (10, 11):
            site.add(f"front-{ZONE}-{number}", ZONE, f"127.63.0.{number}", [], bounds={"grace_s": GRACE_S})
        await asyncio.sleep(START_S)
        is_kept = True
        for machine in site.machines:
            status = machine.process.poll()
            is_ready = await machine.is_ready()
            record.say(f"{machine.name}, grace_s {GRACE_S}, {START_S:.0f} s after its start: exit status {status}, "
                       f"ready {is_ready}; {machine.log.strip().replace(folder + '/', '')[-200:] if status is not None else ''}")
            is_kept = is_kept and status is None and is_ready
        return is_kept
    finally:
        site.stop()


if __name__ == "__main__":
    main(pathlib.Path(__file__).resolve().parent, run)
