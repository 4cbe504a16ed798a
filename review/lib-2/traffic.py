"""Stand-ins for engines and clients, as the pages describe sound ones."""

import asyncio
import json
import random
import time

from deployment import (DRAFTS, FAILURES, FRONT, HOST, KEY, MODELS, TENANT, TOOLS, TURNS, call,
                        read_chunked, read_head)

HEARTBEAT_S = 1.2


class Engine:
    """An engine: sends heartbeats, and answers requests. `kind` is `models` or `tools`."""

    def __init__(self, deployment, name, service, zone, host, port=8080, events=5, event_s=0.02,
                 work_s=0.05, slots=None):
        self.deployment, self.record = deployment, deployment.record
        self.name, self.service, self.zone = name, service, zone
        self.ip, self.port = f"{deployment.network}.{host}", port
        self.events, self.event_s, self.work_s = events, event_s, work_s
        self.slots = slots or (64 if service == MODELS else 6)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.running = 0
        self.runs = []          # (time, request id, previous turn, body)
        self.next_call = None
        self.beating = None
        self.server = None
        self.on_request = None  # a hook that may answer differently; returns True if it has

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.beating = asyncio.ensure_future(self.beat())

    def stop(self):
        if self.beating:
            self.beating.cancel()
        if self.server:
            self.server.close()

    def nodes(self):
        return [(m.ip, 8367) for m in self.deployment.fronts if "control" in m.processes]

    async def beat(self):
        while True:
            self.seq += 1
            body = json.dumps({
                "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "born": self.born, "seq": self.seq}).encode()
            order = self.nodes()
            random.shuffle(order)
            for node in order:
                try:
                    answer = await call(node, "PUT", f"/instances/{self.name}",
                                        {"Content-Type": "application/json"}, body)
                    if 200 <= answer.status < 300:
                        break
                except FAILURES:
                    pass
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    def head(self, status, request, extra=""):
        seal = f"X-Celerycove-Response-Seal: {self.name}.{request}\r\n" if request else ""
        load = f"X-Celerycove-Server-Load: {self.running},0,{self.slots}\r\n"
        echo = f"X-Celerycove-Request-Id: {request}\r\n" if request else ""
        return f"HTTP/1.1 {status} X\r\n{echo}{seal}{load}{extra}".encode()

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                if "chunked" in headers.get("transfer-encoding", ""):
                    body = await read_chunked(reader)
                else:
                    body = await reader.readexactly(int(headers.get("content-length", "0")))
                if not await self.answer(line, headers, body, reader, writer):
                    return
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body, reader, writer):
        """Answers one request; returns whether the connection stays open."""
        method, path, _ = line.split(" ", 2)
        request = headers.get("x-celerycove-request-id", "")
        if path == "/health":
            writer.write(self.head(200, "", f"X-Celerycove-Instance-Id: {self.name}\r\n")
                         + b"Content-Length: 0\r\n\r\n")
            await writer.drain()
            return True
        if headers.get("x-celerycove-expect-instance", self.name) != self.name:
            writer.write(self.head(421, request, "X-Celerycove-Not-Executed: 1\r\n")
                         + b"Content-Length: 0\r\n\r\n")
            await writer.drain()
            return True
        if self.on_request:
            answered = await self.on_request(self, line, headers, body, reader, writer)
            if answered is not None:
                return answered
        self.record(f"engine {self.name} runs {request} {method} {path}, body of {len(body)} bytes")
        self.runs.append((time.monotonic(), request, headers, body))
        self.running += 1
        try:
            if self.service == MODELS:
                writer.write(self.head(200, request, "X-Celerycove-Weights-Versions: 1\r\n")
                             + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                first = int(headers.get("last-event-id", "0"))
                for number in range(first + 1, self.events + 1):
                    await asyncio.sleep(self.event_s)
                    event = f"id: {number}\ndata: {request}-{number}\n\n".encode()
                    writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
            else:
                await asyncio.sleep(self.work_s)
                text = f"answer to {request}".encode()
                writer.write(self.head(200, request, f"Content-Length: {len(text)}\r\n\r\n") + text)
            await writer.drain()
        finally:
            self.running -= 1
        return True


def fresh_id():
    return f"{random.getrandbits(64):016x}"


class Client:
    """A client that sends requests to the fronts that are ready, as the platform would pick them."""

    def __init__(self, deployment, key=KEY):
        self.deployment, self.record, self.key = deployment, deployment.record, key

    async def request(self, method, path, body=b"", headers=None, deadline_s=5.0, front=None,
                      request=None, quiet=False):
        """Sends one attempt; returns its id and the answer, or None if there was none."""
        request = request or fresh_id()
        front = front or random.choice([m for m in self.deployment.fronts if m.processes["entry"].runs()])
        fields = {"Host": HOST, "X-Celerycove-Request-Id": request,
                  "X-Celerycove-Deadline-Ms": str(int(deadline_s * 1000)),
                  "Authorization": f"Token {self.key}", **(headers or {})}
        try:
            answer = await call((front.ip, FRONT), method, path, fields, body, deadline_s + 0.5)
            said = f"{answer.status}{'' if answer.whole else ', broken off'}"
        except FAILURES as error:
            answer, said = None, type(error).__name__
        if not quiet:
            self.record(f"client {request} {method} {path} at {front.name}: {said}")
        return request, answer

    async def turn(self, program, previous=None, budget=100000, text=b"input\n", most=30, **others):
        headers = {"X-Celerycove-Program-Id": program, "X-Celerycove-Session-Id": program,
                   "X-Celerycove-Finish-Ms": "20000", "X-Celerycove-Token-Budget": str(budget),
                   "X-Celerycove-Token-Usage": f"100,{most}", "X-Celerycove-Model": "m",
                   "X-Celerycove-Prompt-Prefix": "5c1e07a2:100"}
        if previous:
            headers["X-Celerycove-Previous-Turn"] = previous
        headers.update(others.pop("headers", {}))
        return await self.request("POST", f"{TURNS}2f", text, headers, **others)


async def start_engines(deployment, models=2, tools=2, **options):
    engines = []
    for number in range(models):
        engines.append(Engine(deployment, f"i-model{number}", MODELS, deployment.zones[number % len(deployment.zones)],
                              101 + number, **options))
    for number in range(tools):
        engines.append(Engine(deployment, f"i-tool{number}", TOOLS, deployment.zones[number % len(deployment.zones)],
                              151 + number, **options))
    for engine in engines:
        await engine.start()
    return engines
