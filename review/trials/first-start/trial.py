"""A process that serves control is killed while the system starts for the first time."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "lib"))
from standin import *  # noqa: E402,F403

KILLED_AT_S = float(os.environ.get("KILLED_AT_S", "1.0"))
DOWN_S = 1.0
# From the return of the killed process: many times catch_up_s and ack_ms.
WAIT_S = 45.0


async def run(record):
    net = pick_network()
    zones = ["zilina-a", "martin-b", "bystrica-c"]
    core = [f"{net}.{number}" for number in (1, 2, 3)]
    world = World(record, zones, core)
    try:
        for number, (ip, zone) in enumerate(zip(core, zones)):
            world.add("control", ip, f"front-{zone}-1", zone, "control", disk=True)
            world.add("entry", ip, f"front-{zone}-1", zone, "front", disk=False)
            world.add("store", f"{net}.{4 + number}", f"storage-{zone}-1", zone, "storage", disk=True)
        first = world.processes[0]
        await asyncio.gather(*(process.start() for process in world.processes))
        began = time.monotonic()
        controls = [(ip, CONTROL) for ip in core]
        lookups = route("/lookups/", "idempotent", "orders", 3000)
        server = Server(world, "orders", f"{net}.7", 8080, zones[0], controls)
        await server.start()
        if TROUBLE:
            await asyncio.sleep(KILLED_AT_S)
            await first.kill()
            await asyncio.sleep(DOWN_S)
            # Restarted with the settings of a process that is not the first start of the system.
            await first.start()
        operator = Operator(world, controls)
        answer = await operator.order("PUT", "/config", config(4, [lookups], [service("orders")]), WAIT_S)
        if answer is not None and answer.status == 200:
            record(f"the first configuration is acknowledged {time.monotonic() - began:.1f} s after the start")
            await wait_ready(world, [(ip, READY) for ip in core])
        served = 0
        for number in range(20):
            request = new_id()
            address = (core[number % 3], FRONT)
            try:
                answer = await call(address, "GET", "/lookups/1", request_fields(request, 3000), timeout=3.0)
                served += answer.status == 200
                record(f"client: {request} at {address[0]}: {answer.status}")
            except Broken as error:
                record(f"client: {request} at {address[0]}: {error}")
        if served == 0:
            return BROKEN, f"no configuration is accepted and no request is served {WAIT_S:.0f} s after all processes run"
        return HELD, f"{served} of 20 requests are served"
    finally:
        await world.end()


main(__file__, run)
