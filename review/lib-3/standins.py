"""Stand-ins of the third review's cases: the platform, the operator and the clients.

The project's programs run with the commands of deploy/system.toml, each with a settings file like those
that the users' pages print, on loopback addresses and free ports. Only processes that were started here
are signalled.
"""
import asyncio, json, os, random, signal, socket, subprocess, sys, tempfile, time, tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LIBRARY = Path(__file__).resolve().parent
ZONES = ["zilina-a", "martin-b", "bystrica-c"]
BOUNDS = """bounds.seed_lag_s=3 bounds.addr_reuse_s=2 bounds.contact_ms=3000 bounds.ack_ms=4000
bounds.catch_up_s=4.1 bounds.drain_ms=2000 bounds.grace_s=8 bounds.loss_slack_ms=200
bounds.config_apply_ms=2000 bounds.rollback_slack_ms=250 bounds.max_stretch_ms=5000
bounds.strict_revoke=false bounds.revoke_ms=5000 bounds.quota_window_s=5 bounds.quota_overshoot=0.1
bounds.quota_slack=20 bounds.cold_overshoot=1.5 bounds.cold_slack=5 bounds.evacuate_ms=5000
bounds.recovery_s=12 bounds.pass_ms=120 bounds.retry_after_s=0 bounds.finish_s=10
bounds.settle_ms=1000""".split()
CONTRACTS = "base,drain,config,cost,recover,agent,stream,engine,tenants,quota,places"


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def free_ports(addresses, count):
    """Returns the first of `count` ports in a row that are free on all addresses."""
    for _ in range(200):
        base = random.randrange(20000, 31000)
        try:
            for address in addresses:
                for port in range(base, base + count):
                    with socket.socket() as probe:
                        probe.bind((address, port))
            return base
        except OSError:
            continue
    raise CannotRun("no free ports")


class Deployment:
    """`fronts` machines with a disk that run control and entry, and `stores`, over three zones."""

    def __init__(self, name, fronts=3, stores=3, extra_fronts=0):
        self.folder = Path(tempfile.mkdtemp(prefix=f"celerycove-{name}-"))
        self.processes, self.files, self.outputs = {}, {}, []
        net = random.randrange(10, 250)
        self.net = net
        self.addresses = [f"127.{net}.0.{n}" for n in range(1, 100)]
        self.base = free_ports(self.addresses[:fronts + extra_fronts + stores], 24)
        commands = tomllib.load(open(ROOT / "deploy/system.toml", "rb"))["roles"]
        self.commands = {role: entry["run"].split() for role, entry in commands.items()}
        self.entries, self.controls, self.machines = [], [], {}
        next_address = iter(self.addresses)
        fronts_at = [next(next_address) for _ in range(fronts)]
        self.controls = [f"{address}:{self.base}" for address in fronts_at]
        for n, address in enumerate(fronts_at):
            self.add_machine("front", n, address, ["entry", "control"], disk=64)
        for n in range(fronts, fronts + extra_fronts):
            self.add_machine("front", n, next(next_address), ["entry"], disk=0)
        for n in range(stores):
            self.add_machine("storage", n, next(next_address), ["store"], disk=300)

    def add_machine(self, kind, n, address, roles, disk):
        zone = ZONES[n % 3]
        machine = f"{kind}-{zone}-{n // 3 + 1}"
        self.machines[machine] = roles
        for role in roles:
            lines = [f"node_name={machine}", f"role={role}", f"machine_class={kind}",
                     f"serves={','.join(roles)}", f"ip={address}", f"zone={zone}", "region=sk-central"]
            lines += [f"zones.{zone}=sk-central" for zone in ZONES]
            if role == "entry":
                lines += [f"listen.front={address}:{self.base + 1}", f"listen.ready={address}:{self.base + 2}"]
                self.entries.append((machine, zone, f"{address}:{self.base + 1}", f"{address}:{self.base + 2}"))
            if role == "control":
                lines += [f"listen.control={address}:{self.base}"]
            lines += [f"internal_ports={self.base + 4},{self.base + 19}", f"seeds={','.join(self.controls)}",
                      "bootstrap=true", f"in_fault_budget={'true' if disk else 'false'}",
                      f"limits.cpu_share={0.5 if kind == 'storage' else 0.45}", "limits.cores=1",
                      f"limits.memory_mb={120 if kind == 'storage' else 110}",
                      f"limits.max_fds={8200 if kind == 'storage' else 4100}", f"limits.disk_mb={disk}",
                      "discovery=registry", "entry=vip", "heartbeat_ms=1200", f"contracts={CONTRACTS}",
                      "fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
                      *BOUNDS, "config_mode=highest"]
            if disk:
                data = self.folder / machine / role
                data.mkdir(parents=True)
                lines += [f"data_dir={data}"]
            file = self.folder / f"{machine}.{role}.conf"
            file.write_text("\n".join(lines) + "\n")
            self.files[machine, role] = file

    def start(self, machine, role):
        file = self.files[machine, role]
        output = open(self.folder / f"{machine}.{role}.log", "ab")
        self.outputs.append(output)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CELERYCOVE_NODE_FILE"] = str(file)
        try:
            self.processes[machine, role] = subprocess.Popen(
                self.commands[role], cwd=ROOT, env=environment, stdout=output, stderr=output,
                stdin=subprocess.DEVNULL)
        except OSError as error:
            raise CannotRun(f"{role} does not start: {error}")

    def start_all(self):
        for machine, roles in self.machines.items():
            for role in roles:
                self.start(machine, role)
        # A later start is no longer the first one.
        time.sleep(0.2)
        for file in self.files.values():
            file.write_text(file.read_text().replace("bootstrap=true", "bootstrap=false"))

    def start_engine(self, name, fields):
        fields = {"controls": self.controls, "heartbeat_ms": 1200, "log": str(self.folder / "runs.jsonl"),
                  "slots": 64, "kind": "stream", "framing": "chunked", "events": 11, "event_ms": 80, **fields}
        file = self.folder / f"engine-{name}.json"
        file.write_text(json.dumps(fields))
        output = open(self.folder / f"engine-{name}.log", "ab")
        self.outputs.append(output)
        self.processes["engine", name] = subprocess.Popen(
            [sys.executable, str(LIBRARY / "engine.py"), str(file)], stdout=output, stderr=output,
            stdin=subprocess.DEVNULL)

    def kill(self, key, sign=signal.SIGKILL):
        process = self.processes.get(key)
        if process and process.poll() is None:
            process.send_signal(sign)
            if sign == signal.SIGKILL:
                process.wait()

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for output in self.outputs:
            output.close()

    def runs(self):
        try:
            lines = (self.folder / "runs.jsonl").read_text().splitlines()
        except FileNotFoundError:
            return []
        return [json.loads(line) for line in lines if line.endswith("}")]


class Broken(Exception):
    """The connection ended without a complete answer."""


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Broken(f"no answer: {error}")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if value:
            headers[name.strip().lower()] = value.strip()
    return int(lines[0].split(" ")[1]), headers


async def read_body(reader, headers):
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"!", 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    return body
                body += part[:-2]
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
        raise Broken(f"cut short: {error}")


async def call(address, method, path, headers=None, body=b"", timeout=5.0):
    """Sends one request on a new connection; returns status, headers and body."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        except (OSError, asyncio.TimeoutError) as error:
            raise Broken(f"no connection: {error}")
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in {"Host": address, **(headers or {})}.items()]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            status, answered = await read_head(reader)
            return status, answered, await read_body(reader, answered)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        raise Broken("no answer in time")


async def order(controls, method, path, body=b"", limit_s=20.0):
    """Sends an operator's order until it is acknowledged, to any node, as the pages say."""
    began = time.time()
    while time.time() < began + limit_s:
        try:
            status, _, text = await call(random.choice(controls), method, path,
                                         {"Content-Type": "application/json"}, body, timeout=1.0)
            if status < 500 and status not in (408, 429):
                return status, text
        except Broken:
            pass
        await asyncio.sleep(0.2)
    raise CannotRun(f"{method} {path} was not acknowledged")


async def wait_ready(deployment, limit_s=20.0):
    began = time.time()
    for _, _, _, ready in deployment.entries:
        while True:
            try:
                if (await call(ready, "GET", "/ready", timeout=1.0))[0] == 200:
                    break
            except Broken:
                pass
            if time.time() > began + limit_s:
                raise CannotRun("an entry is not ready")
            await asyncio.sleep(0.2)
