"""After an outage of the store, servers that are cold and whose entries have expired get flows without a limit."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from world import MAX_LAG_S, Clients, Server, World, config, load, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BENCH = ("127.9.0.1", 8443)
COLD_START_S, COLD_PER_S, COLD_OVER, COLD_SLACK = 2.0, 2.0, 1.5, 5
SLOTS, WARM_WORK_S = 3, 0.05
# Three slots at this duration bear COLD_PER_S requests a second.
COLD_WORK_S = SLOTS / COLD_PER_S
HEARTBEAT_S = 0.77
OUTAGE_S = 4.5
PER_S = 120
BUDGET_S = 3.0


async def play(world):
    asyncio.create_task(world.watch_lag())
    await world.store.start()
    await world.store.put("op/config", config(1, [route("r-1", BENCH, "bancada", "safe")], ["bancada"], COLD_PER_S))
    servers = [Server(world, f"i-{0x7f3a91c2 + 0x1111 * number:x}", "bancada", zone, number, WARM_WORK_S, SLOTS)
               for number, zone in enumerate(("galpao-a", "galpao-a", "galpao-b", "galpao-b"))]
    returning = [server for server in servers if server.zone == "galpao-b"]
    for server in servers:
        await server.publish()
    for zone in ("galpao-a", "galpao-b"):
        for _ in range(2):
            await world.add_instance(zone).start()
    if not await world.wait_ready():
        return 2
    await asyncio.sleep(4.5)
    callers = [Clients(world, f"127.0.1.{number + 1}", zone) for number, zone in enumerate(("galpao-a", "galpao-b"))]
    loads = [asyncio.create_task(load(clients, BENCH, PER_S / 2, world.now() + 13, BUDGET_S)) for clients in callers]
    await asyncio.sleep(1.0)
    await world.store.put("op/evacuate/galpao-b", {})
    await asyncio.sleep(1.0)
    if TROUBLE:
        await world.store.set_down(True)
        # The entries expire after three intervals of silence, also while the store is down.
        await asyncio.sleep(3 * HEARTBEAT_S)
        for server in servers:
            await world.store.remove(server.key)
        await asyncio.sleep(OUTAGE_S - 3 * HEARTBEAT_S - 0.5)
    else:
        await asyncio.sleep(OUTAGE_S - 0.5)
    # The servers of the zone are cold shortly before the zone is taken back.
    cold_since = world.now()
    for server in returning:
        server.cold_until, server.work_s = cold_since + COLD_START_S, COLD_WORK_S
        if not TROUBLE:
            await server.publish()
    await asyncio.sleep(0.5)
    if TROUBLE:
        await world.store.set_down(False)
    returned = await world.store.remove("op/evacuate/galpao-b")
    await asyncio.sleep(max(0.0, cold_since + COLD_START_S - world.now()))
    for server in returning:
        server.work_s = WARM_WORK_S
    if TROUBLE:
        # All servers are back within two seconds of the store's return.
        for server in servers:
            await server.publish()
    await asyncio.gather(*loads)
    limit = COLD_PER_S * COLD_OVER + COLD_SLACK
    worst = 0
    for server in returning:
        cold = [at for at in server.openings if cold_since <= at <= server.cold_until]
        worst = max([worst] + [sum(at <= other < at + 1.0 for other in cold) for at in cold])
        accepted = set(server.runs)
        lost = sum(outcome[1] in accepted and outcome[3] != "ok" for clients in callers for outcome in clients.outcomes)
        world.record("result:", server.ident, "took", len(cold), "flows while it was cold; requests that ran there and "
                     "whose clients gave up:", lost)
    served = sum(outcome[3] == "ok" for clients in callers for outcome in clients.outcomes)
    world.record(f"result: most flows in one second at a cold server: {worst}, limit {limit}; zone taken back at",
                 f"{returned:.3f}; served: {served}")
    if world.max_lag > MAX_LAG_S or served == 0:
        return 2
    return 1 if worst > limit else 0


async def main():
    world = World(HERE / "record.txt")
    try:
        return await asyncio.wait_for(play(world), 100)
    finally:
        world.close()


try:
    sys.exit(asyncio.run(main()))
except Exception as error:  # The case could not run.
    print(f"{type(error).__name__}: {error}", file=sys.stderr)
    sys.exit(2)
