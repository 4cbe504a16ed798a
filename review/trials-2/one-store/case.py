"""The machines that count are split in two while the system starts for the first time. Long after the
split has healed, the store that was in the half with the lowest seed loses its disk."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "lib-2"))
from deployment import BOUNDS, TROUBLE, Deployment, Operator, Partition, Unable, configuration, run
from traffic import Client, start_engines

SPLIT_S = 5.5
# From the end of the split to the lost disk: `catch_up_s` and `contact_ms` pass twice.
CALM_S = float(os.environ.get("CALM_S", "15"))
DOWN_S = 2.0
# For trials: `split` or `wipe` leaves the other disruption out.
ONLY = os.environ.get("ONLY", "")


async def case(record):
    deployment = Deployment(record)
    operator, client = Operator(deployment), Client(deployment)
    partitions = [Partition(deployment, deployment.fronts, "control"),
                  Partition(deployment, deployment.stores, "store")]
    one = [deployment.fronts[0], deployment.stores[0]]
    other = deployment.fronts[1:] + deployment.stores[1:]
    engines = []
    try:
        for partition in partitions:
            await partition.start()
            if TROUBLE and ONLY != "wipe":
                partition.cut(one, other)
        if TROUBLE and ONLY != "wipe":
            record(f"{' and '.join(m.name for m in one)} are cut off from "
                   f"{', '.join(m.name for m in other)}")
        deployment.start()

        async def heal():
            await asyncio.sleep(SPLIT_S)
            for partition in partitions:
                partition.heal()
            record("the machines that count reach each other")

        healing = asyncio.ensure_future(heal())
        engines = await start_engines(deployment)
        if await operator.order("PUT", "/config", configuration(7), within=30) is None:
            raise Unable("the first configuration was never acknowledged")
        await healing
        await asyncio.sleep(CALM_S)
        turns = []
        ends = time.monotonic() + 10
        while len(turns) < 10 and time.monotonic() < ends:
            program = f"p{len(turns)}"
            request, answer = await client.turn(program)
            if answer is not None and answer.status == 200 and answer.whole:
                turns.append((program, request))
            else:
                await asyncio.sleep(0.2)
        if len(turns) < 8:
            raise Unable("too few turns were served before the lost disk")
        if TROUBLE and ONLY != "split":
            victim = deployment.stores[0]
            victim.lose_disk()
            record(f"{victim.name} lost its disk")
            await asyncio.sleep(DOWN_S)
            victim.start(bootstrap=False)
            record(f"{victim.name} started again with an empty disk")
        record(f"all machines run and reach each other; waiting recovery_s = {BOUNDS['recovery_s']} s")
        await asyncio.sleep(BOUNDS["recovery_s"])
        served = 0
        for program, previous in turns:
            for attempt in range(3):
                request, answer = await client.turn(program, previous=previous)
                if answer is not None and answer.status == 200 and answer.whole:
                    served += 1
                    break
                await asyncio.sleep(0.2)
        record(f"of {len(turns)} turns that continue from a kept one, {served} were served")
        return served < len(turns) / 4
    finally:
        for engine in engines:
            engine.stop()
        await deployment.close()


run(FOLDER, case)
