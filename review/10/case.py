"""Three engines crash, one after the other; a tenant's conversations are refused long after that.

Engines end their streams with the connection, as the pages allow. See claim.txt.
"""
import asyncio, json, os, random, shutil, sys, time, traceback
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
from standins import Broken, CannotRun, Deployment, call, order, wait_ready

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRAMING = os.environ.get("FRAMING", "close")
KEYS = {"hule930": "3fexd9dnn2ctnfzs989a", "mira112": "nu6wsjnbanfqasnmgkcu"}
ENGINES, SLOTS, CONTACT_S, RETENTION_S, DEADLINE_S = 7, 64, 3.0, 60.0, 5.0
CRASHES_AT, DOWN_S = [20.0, 24.5, 29.0], 3.0
RETURN_S, END_S = 40.0, 56.0
CONFIG = {
    "version": 3,
    "routes": [{"name": "r-advisor", "host": "ficu95.example", "path_prefix": "/advisor/", "kind": "streaming",
                "timeout_ms": 5000, "target_latency_ms": 200, "priority": 0, "service": "huvo11a",
                "max_attempts": 2, "retained": True, "retention_s": RETENTION_S, "public": False, "sticky": True,
                "resumable": False, "target_gap_ms": 500}],
    "services": [{"name": "huvo11a", "health_path": "/health", "max_connections": 380, "protocol": "h1",
                  "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0,
                  "engine": {"slots": SLOTS, "kv_capacity": 171099, "kv_token_bytes": 163840, "stride_tokens": 3,
                             "models": [{"name": "m"}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
    "tenants": [{"name": name, "api_keys": [key], "priority": 1, "rate_per_s": 155, "burst": 155}
                for name, key in KEYS.items()]}
record = open(HERE / "record.txt", "w", buffering=1)
began = time.time()


def note(**fields):
    record.write(json.dumps({"t": round(time.time() - began, 3), **fields}) + "\n")


class Program:
    """A conversation: turns that each name the one before. Its clients follow the pages."""

    def __init__(self, deployment, tenant, path, finish_s):
        self.deployment, self.tenant, self.path = deployment, tenant, path
        self.id, self.session = f"{random.getrandbits(48):012x}", f"{random.getrandbits(48):012x}"
        self.finish = time.time() + finish_s
        self.previous = None
        self.answered_at = None
        self.history = [("5c1e07a2", 800)]

    async def turn(self, number):
        """Sends a turn, again at most twice; returns the tries, each with its id and its answer."""
        tries, body = [], f"{self.id} asks {number}: ".encode() + random.randbytes(1500).hex().encode()
        deadline = DEADLINE_S
        for resend in range(3):
            if resend:
                await asyncio.sleep(random.uniform(0.1, 0.4))
            until = time.time() + deadline
            for attempt in range(2):
                left = until - time.time()
                if left <= 0.05:
                    break
                name = f"{random.getrandbits(64):016x}"
                headers = {"Host": "ficu95.example", "X-Celerycove-Request-Id": name,
                           "Authorization": f"Token {KEYS[self.tenant]}", "X-Celerycove-Program-Id": self.id,
                           "X-Celerycove-Session-Id": self.session,
                           "X-Celerycove-Finish-Ms": str(max(0, int((self.finish - time.time()) * 1000))),
                           "X-Celerycove-Token-Budget": "6000", "X-Celerycove-Token-Usage": "1330,33",
                           "X-Celerycove-Model": "m", "X-Celerycove-Deadline-Ms": str(int(left * 1000)),
                           "X-Celerycove-Prompt-Prefix": ",".join(f"{part}:{n}" for part, n in self.history)}
                if self.previous:
                    headers["X-Celerycove-Previous-Turn"] = self.previous
                machine, _, address, _ = random.choice(self.deployment.entries)
                sent, status, retry_after = time.time(), 0, None
                try:
                    status, answered, text = await call(address, "POST", self.path, headers, body, left)
                    retry_after = answered.get("retry-after")
                    whole = status == 200 and text.count(b"\n\n") == 11
                except Broken as error:
                    whole, text = False, str(error).encode()
                tries.append({"id": name, "sent": sent, "status": status})
                note(tenant=self.tenant, program=self.id, turn=number, previous=self.previous, id=name, via=machine,
                     sent=round(sent - began, 3), status=status, whole=whole, retry_after=retry_after,
                     text="" if whole else text[:60].decode("latin-1"))
                if whole:
                    self.previous, self.answered_at = name, time.time()
                    self.history.append((name[:8], 530))
                    return True, tries
                if status in (400, 401, 402, 403, 404, 413):
                    return False, tries
                if status not in (408, 421, 429, 503):
                    break
                wait = min(float(retry_after or 0.1), (until - time.time()) / 3)
                await asyncio.sleep(max(0.0, wait))
        return False, tries


async def main(deployment):
    deployment.start_all()
    engines = []

    def start_engine(n, life):
        address = f"{deployment.addresses[20 + n]}:{deployment.base + 20}"
        name = f"i-{n}-{life}"
        deployment.start_engine(name, {"id": name, "service": "huvo11a", "address": address,
                                       "zone": ["zilina-a", "martin-b", "bystrica-c"][n % 3], "slots": SLOTS,
                                       "framing": FRAMING})
        return name

    engines = [start_engine(n, 0) for n in range(ENGINES)]
    await order(deployment.controls, "PUT", "/config", json.dumps(CONFIG).encode())
    await wait_ready(deployment)
    await asyncio.sleep(3)
    global began
    began = time.time()
    judged, firsts, tasks = [], [], []

    async def talker():
        """Turn after turn, with hardly a pause."""
        program = Program(deployment, "hule930", "/advisor/turn", 60)
        ok, tries = await program.turn(1)
        firsts.append(tries)
        for number in range(2, 60):
            if not ok or time.time() > began + END_S - 8:
                return
            await asyncio.sleep(random.uniform(0.1, 0.3))
            ok, _ = await program.turn(number)

    async def thinker(first_at):
        """One turn, a long call of a tool, and the next turn."""
        await asyncio.sleep(first_at)
        program = Program(deployment, "hule930", "/advisor/turn", 60)
        ok, tries = await program.turn(1)
        firsts.append(tries)
        if ok:
            await asyncio.sleep(began + RETURN_S + random.uniform(0, 2) - time.time())
            answered_at = program.answered_at
            ok, tries = await program.turn(2)
            judged.append((program, answered_at, ok, tries))

    async def visitor(thing):
        """A short conversation of the other tenant, about one thing."""
        program = Program(deployment, "mira112", f"/advisor/{thing}", 10)
        ok, tries = await program.turn(1)
        firsts.append(tries)
        if ok:
            await program.turn(2)

    async def visitors():
        n = 0
        while time.time() < began + END_S - 8:
            tasks.append(asyncio.create_task(visitor(f"{n:03x}")))
            n += 1
            await asyncio.sleep(random.uniform(0.1, 0.3))

    async def crashes():
        lives = 0
        for at in CRASHES_AT:
            await asyncio.sleep(began + at - time.time())
            counts = {name: 0 for name in engines}
            for line in deployment.runs():
                if line["engine"] in counts:
                    counts[line["engine"]] += ("run" in line) - ("ended" in line)
            victim = max(counts, key=counts.get)
            deployment.kill(("engine", victim))
            note(crashed=victim, running=counts[victim])
            await asyncio.sleep(DOWN_S)
            lives += 1
            n = engines.index(victim)
            engines[n] = start_engine(n, lives)
            note(started=engines[n])

    tasks += [asyncio.create_task(talker()) for _ in range(24)]
    tasks += [asyncio.create_task(thinker(12 + n)) for n in range(6)]
    tasks.append(asyncio.create_task(visitors()))
    if TROUBLE:
        tasks.append(asyncio.create_task(crashes()))
    await asyncio.sleep(END_S)
    await asyncio.wait(tasks, timeout=12)
    return judge(deployment, judged, firsts)


def judge(deployment, judged, firsts):
    """The rule as written: five tries or more of a turn reach no engine, with no unplanned disruption from
    contact_ms before, while nine tenths of first turns reach one."""
    runs = [line for line in deployment.runs() if "run" in line]
    for line in runs:
        note(run=line["run"], engine=line["engine"], tenant=line["tenant"], at=round(line["t"] - began, 3))
    reached = {line["run"] for line in runs}
    calm_from = began + (CRASHES_AT[-1] + DOWN_S if TROUBLE else 0.0) + CONTACT_S
    calm = [tries for tries in firsts if tries and tries[0]["sent"] > calm_from]
    served = sum(any(a["id"] in reached for a in tries) for tries in calm)
    share = served / max(1, len(calm))
    all_share = sum(any(a["id"] in reached for a in tries) for tries in firsts) / max(1, len(firsts))
    broken = []
    for program, answered_at, ok, tries in judged:
        lost = (len(tries) >= 5 and not any(a["id"] in reached for a in tries) and tries[0]["sent"] >= calm_from
                and tries[-1]["sent"] < min(program.finish, answered_at + RETENTION_S))
        note(judged=program.id, ok=ok, tries=len(tries), statuses=[a["status"] for a in tries], lost=lost,
             age_s=round(tries[0]["sent"] - answered_at, 1))
        broken += [program.id] if lost else []
    note(first_turns=len(calm), share_served=round(share, 3), share_of_all=round(all_share, 3), judged=len(judged),
         lost=len(broken))
    print(f"judged {len(judged)}, lost {len(broken)}, first turns served {share:.3f} (all: {all_share:.3f})")
    if not judged or len(calm) < 20:
        raise CannotRun("too little traffic")
    return 1 if broken and share >= 0.9 else 0


deployment = None
try:
    deployment = Deployment("quarantine")
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
sys.exit(code)
