"""One engine spells the name of the transfer coding of a few answers with a capital letter."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from platform_standin import (API_KEY, LIMITS, TENANTS, Engine, Fleet, Store, connect, encode_request,  # noqa: E402
                              read_message, run_case)

CONNECTIONS = 40
WORK_S = 0.2
GARBLE_S = 5.5
# Two in a hundred.
GARBLED_EACH = 50
RESTART_S = 1.0
HOST = "jepu9.example"
PATH = "/bobo563/lo7/2f"

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": HOST, "pathPrefix": "/bobo563/lo7/", "kind": "unsafe", "timeoutMs": 4000,
                "targetLatencyMs": 300, "priority": 2, "service": "fieldbook", "maxAttempts": 1, "public": False}],
    "services": [{"name": "fieldbook", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}],
    "limits": LIMITS,
    "tenants": TENANTS,
}


class AppEngine(Engine):
    """Works on each request for some time and answers in chunks."""

    def __init__(self, *args, faulty=False):
        super().__init__(*args, slots=6)
        self.faulty = faulty
        self.garbles = False
        self.answers = 0
        self.free = asyncio.Semaphore(6)
        self.ran = set()

    async def run(self, request, reader, writer):
        attempt = request.get("attempt-id")
        async with self.free:
            self.ran.add(attempt)
            self.record.write("run", engine=self.name, attempt=attempt)
            await asyncio.sleep(WORK_S)
        coding = "chunked"
        if self.faulty and self.garbles:
            self.answers += 1
            coding = "Chunked" if self.answers % GARBLED_EACH == 0 else coding
        if coding != "chunked":
            self.record.write("garbled answer", engine=self.name, attempt=attempt)
        writer.write((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: {self.name}.{attempt}\r\n"
                      f"Server-Load: {self.load()}\r\nTransfer-Encoding: {coding}\r\n\r\n"
                      "7\r\nreceipt\r\n0\r\n\r\n").encode())
        await writer.drain()
        return True


class Client:
    """A client that keeps a connection for one request after the other."""

    def __init__(self, record, fleet, index):
        self.record = record
        self.fleet = fleet
        self.index = index
        self.sent = 0
        self.answered = 0
        # Attempts whose connection, kept from an earlier request, was closed without an answer.
        self.cut_off = []

    async def run(self, until):
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            node = (self.index + self.sent) % len(self.fleet.nodes)
            try:
                reader, writer = await connect(self.fleet.front(node))
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.3)
                self.sent += 1
                continue
            await self.use(reader, writer, until, node)
            writer.close()

    async def use(self, reader, writer, until, node):
        loop = asyncio.get_running_loop()
        requests = 0
        while loop.time() < until:
            attempt = f"{self.index:08x}{self.sent:08x}"
            self.sent += 1
            headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": 4000, "X-Api-Key": API_KEY}
            self.record.write("sent", attempt=attempt, node=self.fleet.nodes[node]["node"])
            try:
                writer.write(encode_request("POST", PATH, headers, b"ledger"))
                answer = await read_message(reader)
            except (OSError, asyncio.IncompleteReadError):
                self.record.write("closed without answer", attempt=attempt, kept=int(requests > 0))
                if requests > 0:
                    self.cut_off.append(attempt)
                return
            requests += 1
            self.answered += 1
            self.record.write("answered", attempt=attempt, status=answer.status)
            if answer.get("connection").lower() == "close":
                return


async def restart_ended(record, fleet, ends):
    """Starts processes that have ended again after a short delay, as the platform does."""
    while True:
        await asyncio.sleep(0.05)
        for index, node in enumerate(fleet.nodes):
            code = node["process"].poll()
            if code is not None:
                ends.append(node["node"])
                record.write("process ended by itself", node=node["node"], code=code)
                await asyncio.sleep(RESTART_S)
                fleet.start(index)


async def main(record, trouble):
    store = Store()
    await store.start()
    engines = [AppEngine(store, record, f"i-{n}", "fieldbook", faulty=n == 0) for n in range(3)]
    for engine in engines:
        await engine.start()
    await store.put("op/config", CONFIG)
    fleet = Fleet(record, store, ["hall-a", "hall-a", "hall-b", "hall-b", "hall-c"])
    ends = []
    watch = None
    try:
        for index in range(len(fleet.nodes)):
            fleet.start(index)
        await fleet.wait_ready(20)
        await asyncio.sleep(4)
        watch = asyncio.create_task(restart_ended(record, fleet, ends))
        clients = [Client(record, fleet, index) for index in range(CONNECTIONS)]
        until = asyncio.get_running_loop().time() + 2 + GARBLE_S + 2
        work = [asyncio.create_task(client.run(until)) for client in clients]
        await asyncio.sleep(2)
        engines[0].garbles = trouble
        await asyncio.sleep(GARBLE_S)
        engines[0].garbles = False
        await asyncio.gather(*work)
        sound = engines[1].ran | engines[2].ran
        lost = [attempt for client in clients for attempt in client.cut_off if attempt in sound]
        record.write("requests", sent=sum(client.sent for client in clients),
                     answered=sum(client.answered for client in clients), lost_at_sound_engines=len(lost),
                     processes_ended=len(ends))
        print(f"{len(ends)} processes ended by themselves; {len(lost)} requests that sound engines ran on kept "
              "connections got no answer")
        # The rule allows three.
        return len(lost) > 3
    finally:
        if watch is not None:
            watch.cancel()
        fleet.stop()
        for engine in engines:
            await engine.stop()
        await store.stop()


run_case(main, FOLDER)
