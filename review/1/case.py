"""A store loses power, comes back, and the store that took its place is retired (see claim.txt)."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import *  # noqa: E402,F403

DEADLINE_MS = 5000
POWER_LOSS_S = 4.0
CATCH_UP_S = 4.1
RECOVERY_S = 12.0
LAST_S = 4.0
# How often the operator asks for the state of the retirement, and how long after the order first.
POLL_S = 0.1
FIRST_POLL_S = float(os.environ.get("FIRST_POLL_S", "0"))


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
        turns = route("/turns/", "streaming", "engines", DEADLINE_MS, retained=True, sticky=True)
        engines = service("engines", engine={"slots": 64, "kv_capacity": 171099, "stride_tokens": 3})
        answer = await operator.order("PUT", "/config", config(4, [turns], [engines]))
        if answer is None or answer.status != 200:
            raise CannotRun("the configuration was not acknowledged")
        engine = Engine(world, "engines", f"{net}.9", 8080, zones[0], controls, 0.1)
        await engine.start()
        await wait_ready(world, [(ip, READY) for ip in core])

        tries = 0

        async def turn(previous):
            """Sends a turn; returns its id if it was answered whole, and whether an engine ran it."""
            nonlocal tries
            request, address = new_id(), (core[tries % len(core)], FRONT)
            tries += 1
            more = {"X-Celerycove-Program-Id": "3fa81c", "X-Celerycove-Session-Id": "77d20b",
                    "X-Celerycove-Token-Budget": "5000", "X-Celerycove-Token-Usage": "500,12"}
            if previous:
                more["X-Celerycove-Previous-Turn"] = previous
            try:
                answer = await call(address, "POST", "/turns/1", request_fields(request, DEADLINE_MS, **more),
                                    b"input " + request.encode(), timeout=DEADLINE_MS / 1000)
                what, is_whole = str(answer.status), answer.status == 200
            except Broken as error:
                what, is_whole = str(error), False
            ran = any(known == request for known, _, _ in engine.runs)
            record(f"turn {request} after {previous} at {address[0]}: {what}, {'ran' if ran else 'reached no engine'}")
            return (request if is_whole else None), ran

        async def kept_turn(previous):
            """Sends a turn until it is answered whole."""
            for _ in range(40):
                request, _ = await turn(previous)
                if request:
                    return request
                await asyncio.sleep(0.25)
            raise CannotRun("no turn was answered")

        last = await kept_turn(None)
        added = world.add("store", f"{net}.7", "storage-zilina-a-2", zones[0], "storage", disk=True, bootstrap=False)
        await added.start()
        await asyncio.sleep(CATCH_UP_S)
        last = await kept_turn(last)
        if TROUBLE:
            await stores[0].kill()
            await asyncio.sleep(POWER_LOSS_S)
            last = await kept_turn(last)
            await stores[0].start()
            await asyncio.sleep(CATCH_UP_S + 2.0)
        last = await kept_turn(last)

        asked = time.monotonic()
        answer = await operator.order("POST", f"/retire/{added.name}", json.dumps({"duration_s": 10}).encode())
        if answer is None or answer.status != 200:
            raise CannotRun(f"the retirement was not accepted: {answer and answer.status}")
        await asyncio.sleep(FIRST_POLL_S)
        while True:
            answer = await operator.order("GET", f"/retire/{added.name}")
            if answer is not None and json.loads(answer.body).get("state") == "completed":
                break
            if time.monotonic() > asked + 20:
                raise CannotRun("the retirement was not completed")
            await asyncio.sleep(POLL_S)
        record(f"the retirement is completed after {time.monotonic() - asked:.3f} s: the machine is removed")
        await added.kill()
        added.wipe()
        if TROUBLE:
            await stores[1].kill()
            stores[1].wipe()
            await asyncio.sleep(1.0)
            await stores[1].start()
        back = time.monotonic()
        reached = []
        while time.monotonic() < back + RECOVERY_S + LAST_S:
            _, ran = await turn(last)
            if ran:
                reached.append(time.monotonic() - back)
            await asyncio.sleep(0.5)
        await asyncio.sleep(0.1)
        if not any(at > RECOVERY_S for at in reached):
            return BROKEN, (f"turn {last}, answered whole, can't be continued from {RECOVERY_S} s after the machines "
                            f"are back: no try reached the idle engine in the last {LAST_S} s")
        return HELD, f"{len(reached)} tries reached the engine, the first {reached[0]:.1f} s after the machines were back"
    finally:
        await world.end()


main(__file__, run)
