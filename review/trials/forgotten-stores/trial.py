"""A store is lost after two minutes without a change among the processes. Takes about 170 s, so it is no case."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "lib"))
from standin import *  # noqa: E402,F403

# More than the two minutes after which an entry forgets peers; with WAIT=20 the same run must hold.
WAIT_S = float(os.environ.get("WAIT", "125"))
DEAD_S, AFTER_S = 30.0, 10.0


async def run(record):
    net = pick_network()
    zones = ["zilina-a", "martin-b", "bystrica-c"]
    core = [f"{net}.{number}" for number in (1, 2, 3)]
    world = World(record, zones, core)
    try:
        for ip, zone in zip(core, zones):
            world.add("control", ip, f"front-{zone}-1", zone, "control", disk=True)
            world.add("entry", ip, f"front-{zone}-1", zone, "front", disk=False)
        stores = [world.add("store", f"{net}.{4 + number}", f"storage-{zone}-1", zone, "storage", disk=True)
                  for number, zone in enumerate(zones)]
        await asyncio.gather(*(process.start() for process in world.processes))
        controls = [(ip, CONTROL) for ip in core]
        operator = Operator(world, controls)
        turns = route("/turns/", "streaming", "engines", 5000, retained=True, sticky=True)
        engines = service("engines", engine={"slots": 64, "kv_capacity": 171099, "stride_tokens": 3})
        if await operator.order("PUT", "/config", config(4, [turns], [engines])) is None:
            raise CannotRun("the configuration was not acknowledged")
        engine = Engine(world, "engines", f"{net}.9", 8080, zones[0], controls, 0.1)
        await engine.start()
        await wait_ready(world, [(ip, READY) for ip in core])
        tries = 0

        async def turn():
            nonlocal tries
            request, address = new_id(), (core[tries % len(core)], FRONT)
            tries += 1
            more = {"X-Celerycove-Program-Id": request, "X-Celerycove-Token-Budget": "5000",
                    "X-Celerycove-Token-Usage": "500,12"}
            try:
                fields = request_fields(request, 5000, **more)
                answer = await call(address, "POST", "/turns/1", fields, b"input", timeout=5.0)
                what = str(answer.status)
            except Broken as error:
                what = str(error)
            record(f"turn {request} at {address[0]}: {what}")
            return what == "200"

        async def served(seconds, pause):
            until, count = time.monotonic() + seconds, 0
            while time.monotonic() < until:
                count += await turn()
                await asyncio.sleep(pause)
            return count

        await served(WAIT_S, 1.0)
        await operator.order("PUT", "/config", config(5, [dict(turns, timeout_ms=4900)], [engines]))
        await asyncio.sleep(2.0)
        if not await served(1.0, 0.1):
            raise CannotRun("no turn is served before the loss")
        leader = None
        for store in stores:
            with open(os.path.join(store.folder, "log"), encoding="utf-8") as log:
                changes = [line for line in log if "leadership changed" in line]
            if changes and '"leads":"true"' in changes[-1]:
                leader = store
        if leader is None:
            raise CannotRun("no store leads")
        await leader.kill()
        meanwhile = await served(DEAD_S, 0.5)
        await leader.start()
        after = await served(AFTER_S, 0.5)
        text = f"{meanwhile} turns were served in the {DEAD_S:.0f} s without one store of three, {after} in the {AFTER_S:.0f} s after its return"
        return (HELD if meanwhile >= 3 else BROKEN), text
    finally:
        await world.end()


main(__file__, run, limit=300)
