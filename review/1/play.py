"""An instance that restarts between two configs keeps a route that the second one has taken back."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from world import MAX_LAG_S, Clients, Server, World, config, load, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONFIG_APPLY_S, CONTACT_S = 3.0, 4.0
# Time between the versions of a series of configs, and number of routes without traffic.
GAP_S, IDLE_ROUTES = 0.2, 350
BENCH, OTHER = ("127.9.0.1", 8443), ("127.9.0.2", 8443)


def routes(bench_service):
    idle = [route(f"r-idle-{number}", (f"127.8.{number // 200}.{number % 200 + 1}", 8443), "certidao", "download")
            for number in range(IDLE_ROUTES)]
    return [route("r-1", BENCH, bench_service, "unsafe"), route("r-2", OTHER, "certidao", "download"), *idle]


async def keep_checking(world):
    while True:
        await asyncio.gather(*(instance.check_ready() for instance in world.instances))
        await asyncio.sleep(0.5)


async def play(world):
    asyncio.create_task(world.watch_lag())
    await world.store.start()
    services = ["bancada", "certidao"]
    version = 1
    await world.store.put("op/config", config(version, routes("bancada"), services))
    right = [Server(world, "i-7f3a91c2", "bancada", "galpao-a", 0, work_s=0.05),
             Server(world, "i-51b0c33d", "bancada", "galpao-b", 1, work_s=0.05)]
    wrong = Server(world, "i-9c04aa17", "certidao", "galpao-a", 2, work_s=0.05)
    for server in (*right, wrong):
        await server.publish()
    for zone in ("galpao-a", "galpao-b"):
        for _ in range(3):
            await world.add_instance(zone).start()
    if not await world.wait_ready():
        return 2
    asyncio.create_task(keep_checking(world))
    await asyncio.sleep(4.0)
    watching = [instance for instance in world.instances if "banyanwall_watching 1" in await instance.page("/metrics")]
    world.record("instances that watch the store:", *(instance.number for instance in watching))
    zone = next(instance.zone for instance in world.instances if instance.zone != watching[0].zone)
    clients = Clients(world, "127.0.1.1", zone)
    broken = 0
    for instance in [instance for instance in world.instances if instance.zone == zone]:
        if TROUBLE:
            await instance.terminate()
            await asyncio.sleep(0.5)
        # Three configs in quick succession: the second moves a route by mistake, the third takes that back.
        version += 3
        await world.store.put("op/config", config(version, routes("bancada"), services, cold_per_s=0.5))
        await asyncio.sleep(GAP_S)
        version += 2
        await world.store.put("op/config", config(version, routes("certidao"), services))
        world.store.range_read.clear()
        if TROUBLE:
            await instance.start()
        await asyncio.sleep(GAP_S)
        version += 1
        acknowledged = await world.store.put("op/config", config(version, routes("bancada"), services))
        world.record("store: acknowledged version", version, "which sends the route back to bancada")
        await asyncio.sleep(CONTACT_S + 1.0)
        first_late = world.now()
        assert first_late > acknowledged + CONFIG_APPLY_S
        before = len(wrong.runs)
        await load(clients, BENCH, 20, world.now() + 2)
        late = len(wrong.runs) - before
        broken += late
        world.record("result: restart of instance", instance.number, f"requests sent more than {CONFIG_APPLY_S} s after",
                     "version", version, "that the service of the older version ran:", late)
    served = sum(outcome[3] == "ok" for outcome in clients.outcomes)
    world.record("result: requests run by the service of an older version:", broken, "served:", served)
    if world.max_lag > MAX_LAG_S or served == 0:
        return 2
    return 1 if broken else 0


async def main():
    world = World(HERE / "record.txt")
    try:
        return await asyncio.wait_for(play(world), 115)
    finally:
        world.close()


try:
    sys.exit(asyncio.run(main()))
except Exception as error:  # The case could not run.
    print(f"{type(error).__name__}: {error}", file=sys.stderr)
    sys.exit(2)
