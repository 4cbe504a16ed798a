"""Stand-ins for clients, servers, the operator and the platform, on loopback addresses.

They speak what the users' PROTOCOL.md says, and start the project's own program with the commands and
the kind of settings file that DEPLOY.md describes. Only Python's standard library is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODE = os.path.join(ROOT, "target", "release", "celerycove-node")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

FRONT, READY, CONTROL = 8368, 8369, 8367
INTERNAL = 7780
HOST = "standin.example"
KEY = "3fexd9dnn2ctnfzs989a"
TENANT = "hule930"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be run; says nothing of the rule."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f}  {text}\n")
        self.file.flush()


def new_id():
    return f"{random.getrandbits(64):016x}"


def pick_network():
    """Returns the first three bytes of loopback addresses that nobody listens on."""
    for _ in range(50):
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for last in (1, 2, 3, 4, 5, 6, 7):
                for port in (FRONT, READY, CONTROL, INTERNAL, INTERNAL + 1, INTERNAL + 2, 9460, 9461, 9462):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{net}.{last}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Process:
    """One process of the system under test."""

    def __init__(self, world, role, ip, name, zone, serves, disk, bootstrap=True):
        self.world, self.role, self.ip, self.name, self.zone = world, role, ip, name, zone
        self.serves, self.disk, self.bootstrap = serves, disk, bootstrap
        self.folder = os.path.join(world.folder, f"{name}-{role}")
        self.data = os.path.join(self.folder, "data")
        self.child = None

    def settings(self):
        world = self.world
        lines = {
            "node_name": self.name,
            "role": self.role,
            "machine_class": "storage" if self.role == "store" else "front",
            "serves": self.serves,
            "ip": self.ip,
            "zone": self.zone,
            "region": "sk-central",
            **{f"zones.{zone}": "sk-central" for zone in world.zones},
            "listen.front": f"{self.ip}:{FRONT}",
            "listen.ready": f"{self.ip}:{READY}",
            "listen.control": f"{self.ip}:{CONTROL}",
            "internal_ports": f"{INTERNAL},{INTERNAL + 15}",
            "seeds": ",".join(f"{ip}:{CONTROL}" for ip in world.seeds),
            "bootstrap": "true" if self.bootstrap else "false",
            "in_fault_budget": "true",
            "limits.cpu_share": "0.45",
            "limits.cores": "1",
            "limits.memory_mb": "120" if self.role == "store" else "110",
            "limits.max_fds": "8200" if self.role == "store" else "4100",
            "limits.link_mbps": "1000.0",
            "limits.disk_mb": "300" if self.role == "store" else "64",
            "data_dir": self.data if self.disk else "",
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": "1200",
            "fault_tolerance.machines": "1",
            "fault_tolerance.zones": "1",
            "fault_tolerance.regions": "0",
            "bounds.contact_ms": "3000",
            "bounds.ack_ms": "4000",
            "bounds.catch_up_s": "4.1",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.loss_slack_ms": "200",
            "bounds.config_apply_ms": "2000",
            "bounds.recovery_s": "12",
            "config_mode": "highest",
        }
        return "".join(f"{name}={value}\n" for name, value in lines.items())

    async def start(self):
        os.makedirs(self.folder, exist_ok=True)
        if self.disk:
            os.makedirs(self.data, exist_ok=True)
        path = os.path.join(self.folder, "local.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.folder, "log"), "ab")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.child = await asyncio.create_subprocess_exec(
            NODE, self.role, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env={**kept, "CELERYCOVE_NODE_FILE": path},
        )
        log.close()
        # Only the first start of the whole system is a bootstrap.
        self.bootstrap = False
        self.world.record(f"started {self.role} on {self.name} ({self.ip}), pid {self.child.pid}")

    def signal(self, number):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.child is not None:
            await self.child.wait()
        self.world.record(f"killed {self.role} on {self.name}")

    def wipe(self):
        shutil.rmtree(self.data, ignore_errors=True)
        self.world.record(f"the disk of {self.role} on {self.name} is lost")


class World:
    """All processes of one run, which end with it."""

    def __init__(self, record, zones, seeds):
        if not os.access(NODE, os.X_OK):
            raise CannotRun("target/release/celerycove-node is missing: run the build of the deploy file")
        self.record, self.zones, self.seeds = record, zones, seeds
        self.folder = tempfile.mkdtemp(prefix="celerycove-review-")
        self.processes, self.tasks = [], []

    def add(self, *arguments, **options):
        process = Process(self, *arguments, **options)
        self.processes.append(process)
        return process

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.child is not None and process.child.returncode is None:
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGKILL)
                await process.child.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder, file=sys.stderr)


class Broken(Exception):
    """A connection ended before a whole answer."""


async def read_head(reader):
    """Reads a head; returns its first line and its fields, names in lower case."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Broken(f"no head: {type(error).__name__}") from error
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, is_answer=False):
    """Reads a whole body."""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return b"".join(parts)
                parts.append(data[:-2])
        if "content-length" in fields:
            return await reader.readexactly(int(fields["content-length"]))
        return await reader.read() if is_answer else b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
        raise Broken(f"the body broke off: {type(error).__name__}") from error


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body


async def exchange(reader, writer, method, path, fields, body=b""):
    """Sends one request on a connection and reads its answer."""
    head = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
    if body or method in ("POST", "PUT"):
        head.append(f"Content-Length: {len(body)}")
    try:
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        await writer.drain()
    except (ConnectionError, OSError) as error:
        raise Broken(f"not sent: {type(error).__name__}") from error
    line, answer = await read_head(reader)
    return Answer(int(line.split()[1]), answer, await read_body(reader, answer, True))


async def call(address, method, path, fields=None, body=b"", timeout=1.0):
    """Sends one request on a new connection."""
    ip, port = address
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                names = {"Host": f"{ip}:{port}", **(fields or {})}
                return await exchange(reader, writer, method, path, names, body)
            finally:
                writer.close()
    except TimeoutError as error:
        raise Broken("no answer in time") from error
    except OSError as error:
        raise Broken(f"no connection: {type(error).__name__}") from error


class Operator:
    """Sends orders to the machines that serve control, until one gives a clear answer."""

    def __init__(self, world, addresses):
        self.world, self.addresses, self.next = world, addresses, 0

    async def order(self, method, path, body=b"", within=20.0):
        """Returns the answer, or None if none was clear in time."""
        until, pause = time.monotonic() + within, 0.1
        while time.monotonic() < until:
            address = self.addresses[self.next % len(self.addresses)]
            try:
                fields = {"Content-Type": "application/json"} if body else {}
                answer = await call(address, method, path, fields, body)
                self.world.record(f"operator: {method} {path} at {address[0]}: {answer.status}")
                if answer.status < 500 and answer.status not in (408, 429):
                    return answer
            except Broken as error:
                self.world.record(f"operator: {method} {path} at {address[0]}: {error}")
            self.next += 1
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, 1.0)
        return None


def route(prefix, kind, service, timeout_ms, **more):
    return {
        "name": f"r-{prefix.strip('/')}", "host": HOST, "path_prefix": prefix, "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 800, "priority": 0, "service": service,
        "max_attempts": 2, "retained": False, "retention_s": 60.0, "public": False, "sticky": False,
        "resumable": False, "target_gap_ms": 500, **more,
    }


def service(name, **more):
    return {"name": name, "health_path": "/health", "max_connections": 380, "protocol": "h1", "tls": False,
            "cold_start_s": 0.0, "cold_per_s": 0.0, **more}


def config(version, routes, services):
    return json.dumps({
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1, "rate_per_s": 0, "burst": 0}],
    }).encode()


class Server:
    """A sound server: registers by heartbeats and answers each request that it runs."""

    def __init__(self, world, service_name, ip, port, zone, controls, work_s=0.2, slots=64):
        self.world, self.service, self.ip, self.port, self.zone = world, service_name, ip, port, zone
        self.controls, self.work_s, self.slots = controls, work_s, slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born, self.seq = int(time.time() * 1000), 0
        self.runs = []
        self.registered = False

    async def start(self):
        server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.world.spawn(server.serve_forever())
        self.world.spawn(self.beat())

    async def beat(self):
        turn = 0
        while True:
            self.seq += 1
            body = json.dumps({
                "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "cold_remaining_ms": 0, "seq": self.seq, "born": self.born,
            }).encode()
            fields = {"Content-Type": "application/json"}
            address = self.controls[turn % len(self.controls)]
            try:
                answer = await call(address, "PUT", f"/instances/{self.id}", fields, body)
                if answer.status // 100 != 2:
                    raise Broken(str(answer.status))
                self.registered = True
                await asyncio.sleep(1.2)
            except Broken:
                turn += 1
                await asyncio.sleep(0.1)

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, path, _ = line.split(" ", 2)
                if not await self.handle(reader, writer, method, path, fields, body):
                    break
        except (Broken, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def handle(self, reader, writer, method, path, fields, body):
        """Answers one request; returns whether the connection stays open."""
        if path == "/health":
            return await self.send(writer, 200, {"X-Celerycove-Instance-Id": self.id}, b"")
        request = fields.get("x-celerycove-request-id", "")
        if fields.get("x-celerycove-expect-instance", self.id) != self.id:
            return await self.send(writer, 421, {"X-Celerycove-Request-Id": request}, b"")
        self.runs.append((request, path, body))
        self.world.record(f"server {self.id} runs {request} ({method} {path})")
        return await self.run(writer, request, path, body)

    async def run(self, writer, request, path, body):
        await asyncio.sleep(self.work_s)
        return await self.answer(writer, request)

    async def answer(self, writer, request):
        fields = {"X-Celerycove-Request-Id": request, "X-Celerycove-Response-Seal": f"{self.id}.{request}"}
        return await self.send(writer, 200, fields, b"done " + request.encode())

    async def send(self, writer, status, fields, body):
        writer.write(encode(status, fields, body))
        await writer.drain()
        return True


def encode(status, fields, body):
    reason = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Engine(Server):
    """A model engine that answers each turn with a few events."""

    events = 4

    async def run(self, writer, request, path, body):
        fields = {"X-Celerycove-Request-Id": request, "X-Celerycove-Response-Seal": f"{self.id}.{request}",
                  "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.work_s / self.events)
            event = f"id: {number}\ndata: {request}-{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def request_fields(request, deadline_ms, **more):
    return {"Host": HOST, "X-Celerycove-Request-Id": request, "X-Celerycove-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEY}", **more}


async def wait_ready(world, addresses, within=20.0):
    """Waits until all these machines say that they are ready."""
    until = time.monotonic() + within
    while time.monotonic() < until:
        try:
            answers = [await call(address, "GET", "/ready") for address in addresses]
            if all(answer.status == 200 for answer in answers):
                return
        except Broken:
            pass
        await asyncio.sleep(0.1)
    raise CannotRun("the machines did not get ready")


def main(case, run, limit=115):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not be run."""
    record = Record(os.path.join(os.path.dirname(os.path.abspath(case)), "record.txt"))
    record(f"disruption: {'on' if TROUBLE else 'off'}")

    async def guarded():
        async with asyncio.timeout(limit):
            return await run(record)

    try:
        code, text = asyncio.run(guarded())
    except CannotRun as error:
        code, text = NOT_RUN, f"could not run: {error}"
    except TimeoutError:
        code, text = NOT_RUN, "could not run: took too long"
    record(f"exit {code}: {text}")
    print(f"exit {code}: {text}")
    sys.exit(code)
