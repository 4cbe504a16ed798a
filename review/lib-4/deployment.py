"""A small deployment on loopback addresses: the project's processes, and stand-ins for the rest.

The processes are started with the commands of deploy/system.toml (entry, control and store of
celerycove-node), with settings like those of the jidlingua-brno site. Servers, clients and the
operator are asyncio stand-ins that speak HTTP/1.1 as PROTOCOL.md says.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODE = os.path.join(ROOT, "target", "release", "celerycove-node")
KEYS = {"t1": "3fexd9dnn2ctnfzs989a", "t2": "nu6wsjnbanfqasnmgkcu"}


class CannotRun(Exception):
    """The case could not be played."""


async def read_head(reader):
    """Reads a message head; returns its first line and its fields, with names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:]]
    return lines[0], {name.lower(): value for name, value in fields}


async def read_body(reader, fields, to_end=False):
    """Reads a body by its chunks or its length, or to the end of the connection."""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while await reader.readline() not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if to_end else b""


async def call(address, method, path, body=None, timeout=1.0):
    """A call of the operator or of a server; returns (status, body), or None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
            head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            line, fields = await read_head(reader)
            return int(line.split()[1]), await read_body(reader, fields, True)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Deployment:
    """The processes: in each zone one control instance, one store and some entries."""

    def __init__(self, zones=("a", "b", "c", "d"), entries=1):
        self.net = random.randrange(10, 240)
        self.zones = list(zones)
        self.directory = tempfile.mkdtemp(prefix="celerycove-review-")
        first = free_port("127.0.0.1")
        self.ports = {"front": first - 3, "ready": first - 2, "control": first - 1, "internal": first}
        self.processes = {}
        self.nodes = {}
        for number, zone in enumerate(self.zones, 1):
            self.nodes[f"control-{zone}"] = ("control", f"127.{self.net}.{number}.1", zone)
            self.nodes[f"store-{zone}"] = ("store", f"127.{self.net}.{number}.2", zone)
            for entry in range(entries):
                name = f"entry-{zone}-{entry + 1}"
                self.nodes[name] = ("entry", f"127.{self.net}.{number}.{10 + entry}", zone)

    def addresses(self, role, port):
        return [(ip, self.ports[port]) for kind, ip, _ in self.nodes.values() if kind == role]

    def controls(self):
        return self.addresses("control", "control")

    def fronts(self):
        return self.addresses("entry", "front")

    def settings(self, name, bootstrap):
        role, ip, zone = self.nodes[name]
        seeds = [f"{address}:{port}" for address, port in self.controls()[:3]]
        lines = {
            "node_name": name,
            "role": role,
            "machine_class": "storage" if role == "store" else "front",
            "serves": {"entry": "front", "control": "control", "store": "storage"}[role],
            "ip": ip,
            "zone": zone,
            "region": "cz-central",
            **{f"zones.{each}": "cz-central" for each in self.zones},
            "internal_ports": f"{self.ports['internal']},{self.ports['internal'] + 15}",
            "seeds": ",".join(seeds),
            "bootstrap": "true" if bootstrap else "false",
            "in_fault_budget": "false" if role == "entry" else "true",
            "limits.cpu_share": "0.45",
            "limits.cores": "1",
            "limits.memory_mb": "260",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "limits.disk_mb": "64",
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": "1200",
            "contracts": "base,drain,config,cost,recover,agent,stream,engine,tenants,quota,places",
            "fault_tolerance.machines": "1",
            "fault_tolerance.zones": "1",
            "fault_tolerance.regions": "0",
            "bounds.contact_ms": "3000",
            "bounds.ack_ms": "4000",
            "bounds.catch_up_s": "4.7",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.loss_slack_ms": "200",
            "bounds.config_apply_ms": "2000",
            "config_mode": "highest",
        }
        if role == "entry":
            lines["listen.front"] = f"{ip}:{self.ports['front']}"
            lines["listen.ready"] = f"{ip}:{self.ports['ready']}"
        if role == "control":
            lines["listen.control"] = f"{ip}:{self.ports['control']}"
        if role != "entry":
            lines["data_dir"] = os.path.join(self.directory, name, "data")
        return "".join(f"{field}={value}\n" for field, value in lines.items())

    def spawn(self, name, bootstrap=False):
        folder = os.path.join(self.directory, name)
        os.makedirs(os.path.join(folder, "data"), exist_ok=True)
        path = os.path.join(folder, "settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(name, bootstrap))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CELERYCOVE_NODE_FILE"] = path
        with open(os.path.join(folder, "log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                [NODE, self.nodes[name][0]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def start(self):
        if not os.path.exists(NODE):
            raise CannotRun("target/release/celerycove-node is not built")
        for name in self.nodes:
            self.spawn(name, True)

    def signal(self, name, number):
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(number)

    def lose_disk(self, name):
        """Kills a process and removes its data folder; it is started again with `spawn`."""
        self.processes[name].kill()
        self.processes[name].wait()
        shutil.rmtree(os.path.join(self.directory, name, "data"), ignore_errors=True)

    def ended(self):
        return [name for name, process in self.processes.items() if process.poll() is not None]

    def stop(self):
        """Ends all processes that were started, and removes their files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)

    async def configure(self, config):
        """Sends a configuration until it is acknowledged, as the operator does."""
        for attempt in range(80):
            controls = self.controls()
            answer = await call(controls[attempt % len(controls)], "PUT", "/config", config)
            if answer and answer[0] == 200:
                return
            if answer and answer[0] in (400, 413, 422):
                raise CannotRun(f"the configuration was refused: {answer}")
            await asyncio.sleep(0.25)
        raise CannotRun("the configuration was not acknowledged")


class Server:
    """A server of a service: sends heartbeats and passes its requests to `handle`."""

    def __init__(self, deployment, host, service, zone, handle):
        self.deployment = deployment
        self.ip = f"127.{deployment.net}.100.{host}"
        self.service, self.zone, self.handle = service, zone, handle
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born, self.seq = int(time.time() * 1000), 0

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.send_heartbeats())

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                if await self.handle(self, line, fields, reader, writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def send_heartbeats(self):
        while True:
            self.seq += 1
            body = {
                "service": self.service,
                "address": f"{self.ip}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "cold_remaining_ms": 0,
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "seq": self.seq,
                "born": self.born,
            }
            for control in self.deployment.controls():
                answer = await call(control, "PUT", f"/instances/{self.id}", body)
                if answer and answer[0] == 200:
                    break
            await asyncio.sleep(1.2)


def configuration():
    """A configuration with one route for streams that may be resumed, as PROTOCOL.md shows it."""
    engine = {
        "slots": 64, "kv_capacity": 217590, "kv_token_bytes": 163840, "link_mbps": 550000.0, "moves": True,
        "backups": True, "stride_tokens": 3, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
        "models": [{"name": "m"}],
    }
    return {
        "version": 1,
        "routes": [
            {
                "name": "r-draft", "host": "draft.example", "path_prefix": "/draft/", "kind": "streaming",
                "timeout_ms": 6000, "target_latency_ms": 200, "priority": 1, "service": "llm", "max_attempts": 2,
                "retained": False, "retention_s": 60.0, "public": False, "sticky": True, "resumable": True,
                "target_gap_ms": 500,
            },
        ],
        "services": [
            {
                "name": "llm", "health_path": "/health", "max_connections": 380, "protocol": "h1", "tls": False,
                "cold_start_s": 3.0, "cold_per_s": 18.0, "engine": engine,
            },
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": name, "api_keys": [key], "priority": 1, "rate_per_s": 155, "burst": 155}
            for name, key in KEYS.items()
        ],
    }


def turn_request(request_id, number, most=33, deadline_ms=6000):
    """The bytes of a client's turn on the route for streams."""
    body = b"x" * 5100
    head = (
        f"POST /draft/{number} HTTP/1.1\r\nHost: draft.example\r\nX-Celerycove-Request-Id: {request_id}\r\n"
        f"X-Celerycove-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEYS['t1']}\r\n"
        f"X-Celerycove-Program-Id: p{number}\r\nX-Celerycove-Session-Id: s{number}\r\n"
        "X-Celerycove-Finish-Ms: 9000\r\nX-Celerycove-Token-Budget: 600\r\nX-Celerycove-Model: m\r\n"
        f"X-Celerycove-Token-Usage: 3590,{most}\r\n"
        f"X-Celerycove-Prompt-Prefix: 5c1e07a2:2560,{number:x}f06:1030\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def read_answer(reader, timeout):
    """Returns an answer's status, fields and body, and whether it is complete."""

    async def answer():
        line, fields = await read_head(reader)
        received = b""
        try:
            while True:
                size = int((await reader.readline()).strip() or b"-1", 16)
                if size < 0:
                    return int(line.split()[1]), fields, received, False
                if size == 0:
                    return int(line.split()[1]), fields, received, True
                received += await reader.readexactly(size)
                await reader.readexactly(2)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return int(line.split()[1]), fields, received, False

    try:
        return await asyncio.wait_for(answer(), timeout)
    except asyncio.TimeoutError:
        return None, {}, b"", False
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None, {}, b"", False


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()
