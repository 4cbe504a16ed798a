"""A control machine that freezes for some seconds, and another one that loses its disk meanwhile.

Small deployments side by side, each with four machines that may hold the configuration.
"""

import asyncio
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-4"))

from deployment import CannotRun, Deployment, Record, call, configuration  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
DEPLOYMENTS = 5
# By round: which machine freezes, which one loses its disk, and how long after the freeze began. The
# deployments begin with different rounds.
ROUNDS = [
    ("a", "b", 2.6), ("b", "a", 2.85), ("c", "b", 2.5), ("a", "c", 3.1), ("b", "c", 2.5), ("c", "a", 2.7),
]
ROUNDS_PLAYED = 4
FREEZE = 3.5
DISK_AWAY = 2.0
# From the sheet: how long after all machines are back everything works again, and how long the operator asks.
RECOVERY, ASKING = 12.0, 3.0


async def read_version(control):
    answer = await call(control, "GET", "/config")
    if answer is None or answer[0] != 200:
        return answer and answer[0]
    return {"version": json.loads(answer[1])["version"]}


async def play_round(number, deployment, plan, version, record):
    """Returns the newest version that is read back once all machines are back for long enough."""
    frozen, wiped, delay = plan
    await deployment.configure({**configuration(), "version": version})
    record(f"{number}: version {version} is acknowledged")
    if TROUBLE:
        record(f"{number}: control-{frozen} freezes")
        deployment.signal(f"control-{frozen}", signal.SIGSTOP)
        await asyncio.sleep(delay)
        record(f"{number}: control-{wiped} loses its disk")
        deployment.lose_disk(f"control-{wiped}")
        await asyncio.sleep(FREEZE - delay)
        deployment.signal(f"control-{frozen}", signal.SIGCONT)
        record(f"{number}: control-{frozen} wakes")
        await asyncio.sleep(DISK_AWAY - (FREEZE - delay))
        deployment.spawn(f"control-{wiped}")
        record(f"{number}: control-{wiped} starts again with an empty disk")
    await asyncio.sleep(RECOVERY)
    newest, end = 0, record.now() + ASKING
    while newest < version and record.now() < end:
        answers = [await read_version(control) for control in deployment.controls()]
        record(f"{number}: the operator reads {answers}")
        newest = max([newest, *(answer["version"] for answer in answers if isinstance(answer, dict))])
        await asyncio.sleep(0.5)
    if newest < version:
        changed = await call(deployment.controls()[3], "PUT", "/config", {**configuration(), "version": version + 1}, 2.0)
        record(f"{number}: BROKEN: version {version} can't be read back; a change is answered {changed and changed[0]}")
    return newest


async def play_one(number, record):
    """Plays rounds until one loses the configuration; returns the number of rounds and whether one did."""
    deployment = Deployment(zones=("a", "b", "c", "d"))
    try:
        deployment.start()
        await deployment.configure({**configuration(), "version": 1})
        await asyncio.sleep(5.0)
        for played in range(1, ROUNDS_PLAYED + 1):
            plan = ROUNDS[(number + played) % len(ROUNDS)]
            if await play_round(number, deployment, plan, played + 1, record) < played + 1:
                return played, True
            if deployment.ended():
                raise CannotRun(f"processes ended: {deployment.ended()}")
        return played, False
    finally:
        deployment.stop()


async def play(record):
    results = await asyncio.gather(*(play_one(number, record) for number in range(DEPLOYMENTS)))
    rounds, lost = sum(played for played, _ in results), sum(is_lost for _, is_lost in results)
    text = f"{rounds} rounds in {len(results)} deployments: the acknowledged configuration was lost in {lost} of these"
    record(text)
    print(text)
    return 1 if lost else 0


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    try:
        return asyncio.run(asyncio.wait_for(play(record), 115))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        return 2


if __name__ == "__main__":
    sys.exit(main())
