"""roll_term with x = 1 and gap_s = 1 in a zone of three front machines."""

import asyncio
import collections
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "lib"))
from standin import *  # noqa: E402,F403

# New connections a second in the zone, at random times.
CONNECTIONS_PER_S = 600
WORK_S = 0.25
DEADLINE_MS = 3000
GRACE_S = 8.0
LOSS_UNTIL_S = GRACE_S + 1.0
# Requests that were sent this soon after the SIGTERM and that the server still worked on in the last
# sixth of the grace period don't count.
EXCUSED_SENT_S = 3.0


class Platform:
    """Probes /ready once a second and selects the node of a new connection, as PROTOCOL.md says."""

    def __init__(self, world, nodes):
        self.world, self.nodes = world, nodes
        self.misses = {node.ip: 0 for node in nodes}

    async def probe(self, node):
        await asyncio.sleep(random.random())
        while True:
            try:
                answer = await call((node.ip, READY), "GET", "/ready", timeout=0.9)
                ready = answer.status == 200
            except Broken:
                ready = False
            before = self.misses[node.ip]
            self.misses[node.ip] = 0 if ready else before + 1
            if (before < 2) != (self.misses[node.ip] < 2):
                state = "in" if self.misses[node.ip] < 2 else "out of"
                self.world.record(f"platform: {node.name} is {state} rotation")
            await asyncio.sleep(1.0)

    def select(self):
        rotation = [node for node in self.nodes if self.misses[node.ip] < 2]
        # With fewer than half of a zone's nodes in rotation, the platform uses all of them.
        return random.choice(rotation if 2 * len(rotation) >= len(self.nodes) else self.nodes)


async def run(record):
    net = pick_network()
    ips = {name: f"{net}.{number + 1}" for number, name in enumerate(
        ["front-zilina-a-1", "front-zilina-a-2", "front-zilina-a-3", "front-martin-b-1", "front-bystrica-c-1"])}
    zones = ["zilina-a", "martin-b", "bystrica-c"]
    core = ["front-zilina-a-1", "front-martin-b-1", "front-bystrica-c-1"]
    world = World(record, zones, [ips[name] for name in core])
    stopped, outcomes = {}, []
    try:
        fronts = []
        for name, ip in ips.items():
            zone = name.removeprefix("front-")[:-2]
            if name in core or name == "front-zilina-a-2":
                world.add("control", ip, name, zone, "control", disk=name in core)
            if zone == "zilina-a":
                fronts.append(world.add("entry", ip, name, zone, "front", disk=False))
        await asyncio.gather(*(process.start() for process in world.processes))
        operator = Operator(world, [(ips[name], CONTROL) for name in core])
        body = config(4, [route("/payments/", "non_idempotent", "orders", DEADLINE_MS)], [service("orders")])
        answer = await operator.order("PUT", "/config", body)
        if answer is None or answer.status != 200:
            raise CannotRun("the configuration was not acknowledged")
        servers = [Server(world, "orders", f"{net}.{6 + number}", 8080, "zilina-a",
                          [(ips[name], CONTROL) for name in core], WORK_S, slots=512) for number in range(2)]
        for server in servers:
            server.world = Quiet(world)
            await server.start()
        await wait_ready(world, [(node.ip, READY) for node in fronts])
        await asyncio.sleep(2.0)
        platform = Platform(world, fronts)
        for node in fronts:
            world.spawn(platform.probe(node))

        async def client(node):
            request, sent = new_id(), time.monotonic()
            try:
                fields = request_fields(request, DEADLINE_MS)
                answer = await call((node.ip, FRONT), "POST", "/payments/1", fields, b"{}", timeout=DEADLINE_MS / 1000)
                outcome = str(answer.status)
                if answer.status == 200 and answer.body != b"done " + request.encode():
                    outcome = "wrong body"
            except Broken as error:
                outcome = f"cut ({error})"
            outcomes.append((request, node, sent, time.monotonic(), outcome))

        async def load(until):
            pending = set()
            next_at = time.monotonic()
            while next_at < until:
                await asyncio.sleep(max(0.0, next_at - time.monotonic()))
                task = asyncio.create_task(client(platform.select()))
                pending.add(task)
                task.add_done_callback(pending.discard)
                next_at += random.expovariate(CONNECTIONS_PER_S)
            await asyncio.gather(*pending)

        began = time.monotonic()
        loading = asyncio.create_task(load(began + 16.0))
        await asyncio.sleep(4.0)
        if TROUBLE:
            for node in fronts[1:]:
                stopped[node.ip] = time.monotonic()
                record(f"SIGTERM to {node.name}")
                for process in world.processes:
                    if process.ip == node.ip:
                        process.signal(signal.SIGTERM)
                world.spawn(ending(record, node, stopped[node.ip]))
                await asyncio.sleep(1.0)
        await loading
        ran = {request for server in servers for request, _, _ in server.runs}
        for node in fronts:
            counts = collections.Counter(outcome for _, at, _, _, outcome in outcomes if at is node)
            record(f"{node.name}: " + ", ".join(f"{count} x {what}" for what, count in counts.most_common()))
        lost = []
        for request, node, sent, ended, outcome in outcomes:
            term = stopped.get(node.ip)
            if term is None or not outcome.startswith("cut") or request not in ran:
                continue
            after = sent - term
            is_excused = after <= EXCUSED_SENT_S and ended - term >= GRACE_S * 5 / 6
            if -DEADLINE_MS / 1000 <= after <= LOSS_UNTIL_S and not is_excused and ended - sent < DEADLINE_MS / 1000 - 0.2:
                lost.append(request)
                record(f"LOST: {request} sent to {node.name} {after:.3f} s after its SIGTERM, passed on to a server and "
                       f"run, cut {ended - term:.3f} s after the SIGTERM: {outcome}")
        answered = sum(outcome == "200" for *_, outcome in outcomes)
        if answered < len(outcomes) / 2:
            raise CannotRun(f"only {answered} of {len(outcomes)} requests were answered")
        if lost:
            return BROKEN, f"{len(lost)} requests that had been passed on were cut off by a planned stop"
        return HELD, f"no request of {len(outcomes)} was cut off after it had been passed on"
    finally:
        await world.end()


class Quiet:
    """Keeps the servers' single runs out of the record: there are thousands."""

    def __init__(self, world):
        self.spawn, self.record = world.spawn, lambda text: None


async def ending(record, node, term):
    """Kills a process that outlives the grace period, as the platform does."""
    try:
        await asyncio.wait_for(node.child.wait(), max(0.0, term + GRACE_S - time.monotonic()))
        record(f"{node.name}: the entry ended {time.monotonic() - term:.3f} s after its SIGTERM")
    except TimeoutError:
        await node.kill()


main(__file__, run)
