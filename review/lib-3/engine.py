"""Stand-in model engine of the third review's cases: one process, one engine.

    engine.py FILE          FILE: JSON with the keys below

id, service, address ("IP:PORT"), zone, slots, controls (list of "IP:PORT"), log (file that gets one JSON
line for each run), heartbeat_ms, events, event_ms, framing ("close" or "chunked"), cold_ms, kind
("stream" or "plain"), work_ms.

It follows the pages: it registers by heartbeats, runs what names it or nobody, echoes the request id,
answers 421 to what names another engine, and streams events with increasing ids.
"""
import asyncio, json, random, socket, struct, sys, time

config = json.load(open(sys.argv[1]))
born = int(time.time() * 1000)
log = open(config["log"], "a", buffering=1)
running = 0
host, port = config["address"].rsplit(":", 1)


def note(**fields):
    log.write(json.dumps({"t": time.time(), "engine": config["id"], **fields}) + "\n")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if value:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer(status, headers, body=b"", close=False):
    lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}"] + (["Connection: close"] if close else [])
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def set_reset_at_close(writer, is_reset):
    """A process that crashes resets its connections; one that ends an answer closes them."""
    linger = struct.pack("ii", int(is_reset), 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def serve(reader, writer):
    global running
    try:
        set_reset_at_close(writer, True)
        while True:
            line, headers = await read_head(reader)
            method, path, _ = line.split(" ")
            body = await read_body(reader, headers)
            name = headers.get("x-celerycove-request-id")
            base = {"X-Celerycove-Request-Id": name or "-"}
            expected = headers.get("x-celerycove-expect-instance")
            if path == config.get("health_path", "/health"):
                writer.write(answer("200 OK", {"X-Celerycove-Instance-Id": config["id"]}))
            elif name is None:
                writer.write(answer("400 Bad Request", {"X-Celerycove-Not-Executed": "1"}))
            elif expected not in (None, config["id"]):
                writer.write(answer("421 Misdirected Request", base))
            else:
                running += 1
                try:
                    await run(writer, method, path, headers, body, base)
                finally:
                    running -= 1
                if config["kind"] == "stream" and config["framing"] == "close":
                    return
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        pass
    finally:
        set_reset_at_close(writer, False)
        writer.close()


async def run(writer, method, path, headers, body, base):
    name = headers["x-celerycove-request-id"]
    note(run=name, method=method, path=path, tenant=headers.get("x-celerycove-tenant-name"),
         previous=headers.get("x-celerycove-previous-turn"), bytes=len(body))
    base = {**base, "X-Celerycove-Response-Seal": f"seal.{name}",
            "X-Celerycove-Server-Load": f"{running},0,{config['slots']}"}
    if config["kind"] == "plain":
        await asyncio.sleep(config["work_ms"] / 1000)
        writer.write(answer("200 OK", base, b"done " + name.encode()))
        note(ended=name)
        return
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
    lines += [f"{key}: {value}" for key, value in base.items()]
    chunked = config["framing"] == "chunked"
    lines += ["Transfer-Encoding: chunked" if chunked else "Connection: close"]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    first = int(headers.get("last-event-id", 0)) + 1
    for number in range(first, config["events"] + 1):
        await asyncio.sleep(config["event_ms"] / 1000 * random.uniform(0.8, 1.2))
        event = f"id: {number}\ndata: {name[:8]}.{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event) if chunked else event)
        await writer.drain()
    if chunked:
        writer.write(b"0\r\n\r\n")
    await writer.drain()
    note(ended=name)


async def beat():
    sequence, controls, next_control = 0, config["controls"], random.randrange(len(config["controls"]))
    cold_until = time.time() + config.get("cold_ms", 0) / 1000
    while True:
        sequence += 1
        body = json.dumps({
            "service": config["service"], "address": config["address"], "zone": config["zone"],
            "version": "v1", "slots": config["slots"], "state": "ready", "seq": sequence, "born": born,
            "cold_remaining_ms": max(0, int((cold_until - time.time()) * 1000)),
            "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}).encode()
        for _ in controls:
            try:
                if await asyncio.wait_for(put(controls[next_control], body), 1):
                    break
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            next_control = (next_control + 1) % len(controls)
        await asyncio.sleep(config["heartbeat_ms"] / 1000)


async def put(control, body):
    address, port = control.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(address, int(port), local_addr=(host, 0))
    try:
        writer.write(f"PUT /instances/{config['id']} HTTP/1.1\r\nHost: {control}\r\n"
                     f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                     "Connection: close\r\n\r\n".encode() + body)
        line, _ = await read_head(reader)
        return line.split(" ")[1].startswith("2")
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, host, int(port), backlog=512)
    note(started=config["id"], born=born)
    asyncio.create_task(beat())
    async with server:
        await server.serve_forever()


asyncio.run(main())
