"""An engine that preempts a run in the middle of its stream, and reads it in again.

The stand-in behaves like a sound engine but for the pause: its run goes on and its stream is whole. It
tells a client's attempt from a continuation by `Last-Event-Id`.
"""

import asyncio

from deployment import Server, read_body

EVENTS = 11
EVENT_INTERVAL = 0.025
# The runs pause after this event.
PAUSE_AFTER = 3
# Shorter than the shortest gap after which a client may abandon a stream (two seconds, PROTOCOL.md).
PAUSE = 1.8


class Engine(Server):
    """Serves streams; `pauses` decides by the request id whether a run is preempted."""

    def __init__(self, deployment, host, zone, record, pauses, drops_closed=True, is_full=False):
        super().__init__(deployment, host, "llm", zone, self.handle_stream)
        self.record, self.pauses = record, pauses
        self.drops_closed, self.is_full = drops_closed, is_full
        # By request id: when the run began and when it ended, and whether its stream was read to the end.
        self.runs = {}

    async def handle_stream(self, _server, line, fields, reader, writer):
        request = fields["x-celerycove-request-id"]
        await read_body(reader, fields)
        after = fields.get("last-event-id")
        self.record(f"{self.id} gets {request}: {line}, last event {after}")
        if self.is_full:
            writer.write(
                "HTTP/1.1 503 Service Unavailable\r\nX-Celerycove-Not-Executed: full\r\n"
                f"X-Celerycove-Request-Id: {request}\r\nX-Celerycove-Server-Load: 64,192,64\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            self.record(f"{self.id} declines {request}: it is full")
            return True
        run = {"began": self.record.now(), "ended": None, "last": int(after or 0), "whole": False, "closed": None}
        self.runs[request] = run
        try:
            return await self.run(request, run, after, reader, writer)
        finally:
            run["ended"] = self.record.now()
            self.record(f"{self.id} ends its run of {request} after event {run['last']}")

    def notice_close(self, request, run, reader, writer):
        """Notes whether the connection was closed by its other side."""
        is_closed = reader.exception() is not None or reader.at_eof() or writer.transport.is_closing()
        if is_closed and run["closed"] is None:
            run["closed"] = self.record.now()
            self.record(f"{self.id} has its connection for {request} closed by the sender")

    async def run(self, request, run, after, reader, writer):
        def send(text):
            if run["closed"] is None:
                writer.write(text)

        send(
            f"HTTP/1.1 200 OK\r\nX-Celerycove-Request-Id: {request}\r\nContent-Type: text/event-stream\r\n"
            f"X-Celerycove-Response-Seal: {self.id}.{request}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(run["last"] + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_INTERVAL)
            if number == PAUSE_AFTER + 1 and after is None and self.pauses(request):
                self.record(f"{self.id} preempts {request} after event {PAUSE_AFTER}")
                await self.pause(request, run, reader, writer)
                self.record(f"{self.id} goes on with {request}")
            self.notice_close(request, run, reader, writer)
            if run["closed"] is not None and self.drops_closed:
                return False
            event = f"id: {number}\ndata: {number} of {request}\n\n".encode()
            send(b"%x\r\n%s\r\n" % (len(event), event))
            run["last"] = number
        send(b"0\r\n\r\n")
        run["whole"] = True
        return run["closed"] is None

    async def pause(self, request, run, reader, writer):
        end = self.record.now() + PAUSE
        while self.record.now() < end:
            self.notice_close(request, run, reader, writer)
            if run["closed"] is not None and self.drops_closed:
                return
            await asyncio.sleep(0.01)
