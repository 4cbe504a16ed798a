"""Streams whose run is preempted for a while, around the planned stop of the machine that took them."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-4"))

from deployment import CannotRun, Deployment, Record, configuration, read_answer, turn_request  # noqa: E402
from preempted import Engine  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
# Turns are sent from this long before the SIGTERM until this long after it.
BEFORE, AFTER, INTERVAL = 1.0, 0.5, 0.1
GRACE = 8.0


async def turn(deployment, record, number, results):
    request = f"{random.getrandbits(64):016x}"
    front = deployment.fronts()[0]
    reader, writer = await asyncio.open_connection(*front)
    writer.write(turn_request(request, number))
    await writer.drain()
    record(f"client sends {request} to {front[0]}")
    status, _, body, complete = await read_answer(reader, 7.0)
    writer.close()
    events = body.count(b"data: ")
    record(f"client gets {status} for {request}: {events} events, complete {complete}")
    results[request] = (status, events, complete, record.now())


async def play(record):
    random_pauses = random.Random(47)
    chosen = {}

    def pauses(request):
        return TROUBLE and chosen.setdefault(request, random_pauses.random() < 0.5)

    deployment = Deployment(entries=1)
    try:
        deployment.start()
        engines = [
            Engine(deployment, 1, "a", record, pauses),
            Engine(deployment, 2, "b", record, pauses, is_full=True),
            Engine(deployment, 3, "c", record, pauses, is_full=True),
        ]
        for engine in engines:
            await engine.start()
        await deployment.configure(configuration())
        # All machines are in touch for longer than contact_ms before the first turn.
        await asyncio.sleep(5.0)
        results, turns = {}, []
        number, stopped_at = 0, None
        began = record.now()
        while record.now() < began + BEFORE + AFTER:
            turns.append(asyncio.create_task(turn(deployment, record, number, results)))
            number += 1
            await asyncio.sleep(INTERVAL)
            if stopped_at is None and record.now() >= began + BEFORE:
                stopped_at = record.now()
                deployment.signal("entry-a-1", signal.SIGTERM)
                record(f"SIGTERM to the machine that takes the turns ({deployment.fronts()[0][0]})")
        await asyncio.gather(*turns, return_exceptions=True)
        if any(name != "entry-a-1" for name in deployment.ended()):
            raise CannotRun(f"processes ended: {deployment.ended()}")
        if len(results) < number / 2:
            raise CannotRun("too few turns were answered")
        return judge(record, engines, results, stopped_at)
    finally:
        deployment.stop()


def judge(record, engines, results, stopped_at):
    broken = 0
    for request, (status, events, complete, ended_at) in results.items():
        runs = [engine.runs[request] for engine in engines if request in engine.runs]
        engine_broke_off = any(run["closed"] is None and not run["whole"] for run in runs)
        late = ended_at > stopped_at + GRACE * 5 / 6
        if runs and not complete and not engine_broke_off and not late:
            broken += 1
            record(
                f"BROKEN: the answer to {request} ended after {events} events, "
                f"{ended_at - stopped_at:.3f} s after the SIGTERM, with its engine at work"
            )
    text = f"{len(results)} turns around the SIGTERM, {broken} passed on and then cut off with their engine at work"
    record(text)
    print(text)
    return 1 if broken else 0


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    try:
        return asyncio.run(asyncio.wait_for(play(record), 110))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        return 2


if __name__ == "__main__":
    sys.exit(main())
