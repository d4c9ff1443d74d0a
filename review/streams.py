"""Streams for the cases: engines that write the software version into each event, and clients that take streams up
again."""

import asyncio
import time

from platform_standin import API_KEY, LIMITS, MODEL_ENGINE, TENANTS, Engine, connect, encode_request, read_chunk, read_head

EVENTS = 93
EVENT_PERIOD_S = 0.06
DEADLINE_S = 15.0
# Four times the objective of 1.4 s: clients abandon a stream after such a gap.
LONGEST_GAP_S = 5.6
TRIES = 4
HOST = "pule25.example"
PATH = "/puxa400/2f"

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": HOST, "pathPrefix": "/puxa400/", "kind": "streaming", "timeoutMs": 15000,
                "targetLatencyMs": 1400, "priority": 0, "service": "bergamot-pool", "maxAttempts": 2, "stages": [],
                "public": False, "sticky": True, "resumable": True, "gapAimMs": 200}],
    "services": [{"name": "bergamot-pool", "healthPath": "/health", "maxConnections": 370, "protocol": "h1",
                  "tls": False, "engine": MODEL_ENGINE}],
    "limits": LIMITS,
    "tenants": TENANTS,
}


class ModelEngine(Engine):
    """Streams events that name the software version of their engine."""

    async def run(self, request, reader, writer):
        attempt = request.get("attempt-id")
        after = int(request.get("last-event-id", "0") or 0)
        self.record.write("run", engine=self.name, version=self.version, attempt=attempt, after=after)
        writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {self.name}.{attempt}\r\n"
                      f"Weight-Versions: 1\r\nServer-Load: {self.load()}\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PERIOD_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Client:
    """A client with one stream, which it takes up again with a new attempt after a break or a long gap."""

    def __init__(self, record, proxies, index):
        self.record = record
        self.proxies = proxies
        self.index = index
        self.events = []
        self.first_attempt = ""

    def choose(self, number):
        """The platform's choice by a hash of the client among the daemons in rotation; retries reach other daemons."""
        return (self.index + number * (1 + self.index // len(self.proxies) % (len(self.proxies) - 1))) % len(self.proxies)

    async def run(self):
        until = time.monotonic() + DEADLINE_S
        for number in range(TRIES):
            left = until - time.monotonic()
            if left <= 0:
                return
            wait = await self.attempt(f"{self.index:08x}{number:08x}", self.choose(number), left)
            if wait is None:
                return
            await asyncio.sleep(wait)

    async def attempt(self, attempt, node, left):
        """Makes one attempt; returns the pause before the next one, nothing after the end of the stream."""
        headers = {"Host": HOST, "Attempt-Id": attempt, "Model": "m", "Token-Counts": "543,279",
                   "Prompt-Prefix": f"5c1e07a2:103,{self.index:08x}:440", "Deadline-Ms": int(left * 1000),
                   "X-Api-Key": API_KEY}
        if self.events:
            headers |= {"Last-Event-Id": self.events[-1][0], "Resumes": self.first_attempt}
        self.record.write("sent", attempt=attempt, node=node, after=headers.get("Last-Event-Id", 0),
                          resumes=headers.get("Resumes", "-"))
        try:
            reader, writer = await connect(self.proxies[node].address)
        except (OSError, asyncio.TimeoutError):
            self.record.write("not connected", attempt=attempt)
            return 0.5
        try:
            writer.write(encode_request("POST", PATH, headers, b"{}"))
            answer = await asyncio.wait_for(read_head(reader), LONGEST_GAP_S)
            if answer.status != 200:
                self.record.write("answered", attempt=attempt, status=answer.status)
                return float(answer.get("retry-after", "0.3") or 0.3)
            await self.read_events(attempt, reader)
            self.record.write("complete", attempt=attempt, events=len(self.events))
            return None
        except asyncio.TimeoutError:
            self.record.write("abandoned", attempt=attempt, events=len(self.events))
            return 0.0
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.record.write("broken off", attempt=attempt, events=len(self.events))
            return 0.0
        finally:
            writer.close()

    async def read_events(self, attempt, reader):
        text = b""
        while part := await asyncio.wait_for(read_chunk(reader), LONGEST_GAP_S):
            text += part
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
                self.first_attempt = self.first_attempt or attempt
                self.events.append((int(fields["id"]), fields["data"]))
                self.record.write("event", attempt=attempt, id=fields["id"], version=fields["data"])

    def versions(self):
        return {version for _, version in self.events}
