"""Many users come at once, with kept connections: the entry takes more memory than its machine has.

See claim.txt.
"""
import asyncio, json, os, random, resource, shutil, sys, time, traceback
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "lib-3"))
from standins import CannotRun, Deployment, ZONES, order, wait_ready

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The users' site file names bursts of up to 2.1 times the traffic, for 4 s.
USUAL, BURST_X, BURST_S = 1_750, 2.1, 4.0
RAMP_S, BURST_AT, END_S = 15.0, 30.0, 44.0
PAUSE_S = (8.0, 11.5)  # Below four fifths of the idle timeout.
KEY, DEADLINE_S = "3fexd9dnn2ctnfzs989a", 6.0
MEMORY_MB, DESCRIPTORS = 110, 4_100
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}
CONFIG = {
    "version": 3,
    "routes": [{"name": "r-draft", "host": "ficu95.example", "path_prefix": "/draft/", "kind": "streaming",
                "timeout_ms": 6000, "target_latency_ms": 200, "priority": 1, "service": "huvo11a",
                "max_attempts": 2, "resumable": True, "target_gap_ms": 500, "sticky": True},
               {"name": "r-payment", "host": "ficu95.example", "path_prefix": "/payment/",
                "kind": "non_idempotent", "timeout_ms": 6000, "target_latency_ms": 800, "priority": 2,
                "service": "wuno96b", "max_attempts": 1}],
    "services": [{"name": "huvo11a", "health_path": "/health", "max_connections": 380, "protocol": "h1",
                  "tls": False, "engine": {"slots": 64, "stride_tokens": 3, "models": [{"name": "m"}]}},
                 {"name": "wuno96b", "health_path": "/health", "max_connections": 380, "protocol": "h1",
                  "tls": False}],
    "limits": LIMITS,
    "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1, "rate_per_s": 3000, "burst": 3000}]}
record = open(HERE / "record.txt", "w", buffering=1 << 16)
began = time.time()


def note(**fields):
    record.write(json.dumps({"t": round(time.time() - began, 3), **fields}) + "\n")


class User:
    """A client that keeps its connection open for many requests, each after the answer to the last."""

    count = 0
    results = []

    def __init__(self, address, until):
        self.address, self.until = address, until
        User.count += 1
        self.number = User.count
        self.is_payer = self.number % 3 == 0

    async def run(self):
        host, port = self.address.rsplit(":", 1)
        while time.time() < self.until:
            writer = None
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
                served = 0
                while time.time() < self.until:
                    if not await self.request(reader, writer, served):
                        break
                    served += 1
                    await asyncio.sleep(random.uniform(*PAUSE_S))
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(random.uniform(0.2, 1.0))
            finally:
                if writer:
                    writer.close()

    async def request(self, reader, writer, served):
        name = f"{random.getrandbits(64):016x}"
        if self.is_payer:
            path, length = f"/payment/{self.number}", 600
        else:
            path, length = f"/draft/{self.number}", int(min(31000, random.expovariate(1 / 5100) + 500))
        head = [f"POST {path} HTTP/1.1", "Host: ficu95.example", f"X-Celerycove-Request-Id: {name}",
                f"Authorization: Token {KEY}", f"X-Celerycove-Deadline-Ms: {int(DEADLINE_S * 1000)}",
                f"X-Celerycove-Program-Id: {self.number:x}", f"X-Celerycove-Session-Id: {self.number:x}",
                "X-Celerycove-Finish-Ms: 20000", f"Content-Length: {length}"]
        if not self.is_payer:
            head += ["X-Celerycove-Model: m", "X-Celerycove-Token-Usage: 3590,33",
                     f"X-Celerycove-Prompt-Prefix: 5c1e07a2:2560,{self.number:x}:1030"]
        sent, answered, status = time.time(), False, 0
        try:
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + b"d" * length)
            async with asyncio.timeout(DEADLINE_S):
                answer = await reader.readuntil(b"\r\n\r\n")
                answered, status = True, int(answer.split(b" ")[1])
                text = answer.decode("latin-1").lower()
                if "transfer-encoding: chunked" in text:
                    while True:
                        size = int((await reader.readline()).strip() or b"-1", 16)
                        await reader.readexactly(size + 2)
                        if not size:
                            break
                else:
                    length = [line for line in text.split("\r\n") if line.startswith("content-length")]
                    await reader.readexactly(int(length[0].split(":")[1]))
            whole, end = True, "whole"
        except asyncio.TimeoutError:
            whole, end = False, "no end in time"
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
            whole, end = False, f"closed: {type(error).__name__}"
        User.results.append((name, served, answered, whole, sent, time.time()))
        note(id=name, path=path, served_before=served, sent=round(sent - began, 3), status=status, answered=answered,
             end=end)
        return whole and status == 200


def resident_mb(process):
    """The resident memory in MiB, as the platform would count it at the least: without mapped files."""
    try:
        for line in open(f"/proc/{process.pid}/status"):
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class Platform:
    """Kills a process that takes more memory than its machine has, and starts it again."""

    def __init__(self, deployment):
        self.deployment, self.kills, self.peak = deployment, [], 0.0

    async def run(self):
        keys = [key for key in self.deployment.processes if key[1] == "entry"]
        while True:
            for key in keys:
                process = self.deployment.processes[key]
                memory = resident_mb(process)
                self.peak = max(self.peak, memory)
                if memory > MEMORY_MB:
                    self.deployment.kill(key)
                    self.kills.append((key[0], time.time()))
                    note(killed=key[0], resident_mb=round(memory, 1), limit_mb=MEMORY_MB)
                    asyncio.create_task(self.restart(key))
            await asyncio.sleep(0.05)

    async def restart(self, key):
        await asyncio.sleep(0.5)
        self.start(key)

    def start(self, key):
        self.deployment.start(*key)
        pid = self.deployment.processes[key].pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


async def main(deployment):
    global began
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16_000), hard))
    deployment.start_all()
    for (machine, role), process in deployment.processes.items():
        if role == "entry":
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    for n in range(9):
        deployment.start_engine(f"m-{n}", {
            "id": f"m-{n}", "service": "huvo11a", "zone": ZONES[n % 3], "slots": 64, "event_ms": 50,
            "address": f"{deployment.addresses[20 + n]}:{deployment.base + 20}"})
    for n in range(7):
        deployment.start_engine(f"p-{n}", {
            "id": f"p-{n}", "service": "wuno96b", "zone": ZONES[n % 3], "slots": 64, "kind": "plain",
            "work_ms": 208, "address": f"{deployment.addresses[40 + n]}:{deployment.base + 20}"})
    await order(deployment.controls, "PUT", "/config", json.dumps(CONFIG).encode())
    await wait_ready(deployment)
    await asyncio.sleep(3)
    began = time.time()
    platform = Platform(deployment)
    watch = asyncio.create_task(platform.run())
    # All clients are in one zone, whose only front machine takes them.
    address = deployment.entries[0][2]
    tasks = []

    async def arrive(count, seconds, until):
        for _ in range(count):
            tasks.append(asyncio.create_task(User(address, until).run()))
            await asyncio.sleep(seconds / count)

    await arrive(USUAL, RAMP_S, began + END_S)
    await asyncio.sleep(began + BURST_AT - time.time())
    if TROUBLE:
        note(burst=BURST_X, for_s=BURST_S)
        await arrive(int(USUAL * (BURST_X - 1)), BURST_S / 2, began + BURST_AT + BURST_S)
    await asyncio.sleep(began + END_S - time.time())
    await asyncio.wait(tasks, timeout=PAUSE_S[1] + DEADLINE_S)
    watch.cancel()
    return judge(deployment, platform)


def judge(deployment, platform):
    """The rule as written: a machine passes a request from a kept connection on to a sound engine and closes
    that connection without an answer, more than three times. A process that ends by itself counts as running."""
    for line in deployment.runs():
        if "run" in line:
            note(run=line["run"], engine=line["engine"], at=round(line["t"] - began, 3))
    reached = {line["run"] for line in deployment.runs() if "run" in line}
    ended = {line["ended"] for line in deployment.runs() if "ended" in line}
    lost = [name for name, served, answered, whole, sent, at in User.results
            if served and not answered and name in reached and at - sent < DEADLINE_S - 0.1]
    whole = sum(1 for result in User.results if result[3])
    done = sum(1 for name in lost if name in ended)
    note(requests=len(User.results), whole=whole, kills=len(platform.kills), peak_mb=round(platform.peak, 1),
         lost=len(lost), lost_but_done=done)
    print(f"requests {len(User.results)}, whole {whole}, kills {len(platform.kills)}, "
          f"peak {platform.peak:.1f} MB of {MEMORY_MB}, lost {len(lost)}, of these done by their engine {done}")
    if whole < 1000:
        raise CannotRun("too little traffic")
    return 1 if len(lost) > 3 and platform.kills else 0


deployment = None
try:
    deployment = Deployment("crowd")
    code = asyncio.run(main(deployment))
except CannotRun as error:
    print(f"cannot run: {error}")
    code = 2
except Exception:
    traceback.print_exc()
    code = 2
finally:
    if deployment:
        deployment.stop()
        if os.environ.get("KEEP"):
            print(deployment.folder)
        else:
            shutil.rmtree(deployment.folder, ignore_errors=True)
    record.close()
sys.exit(code)
