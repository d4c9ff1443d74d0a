"""All processes are killed beside a release; streams of sessions, whose prompts end with the same part, are taken up."""
import asyncio
import collections
import pathlib
import re
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standin2 as s  # noqa: E402

SESSIONS = 40
DOWN_S = 1.0
DRAIN_S = 2.0
EVENTS = 93
GAP_S = 0.06
RETRIES = 3


class Engine:
    def __init__(self, name, version, record):
        self.name, self.version, self.record = name, version, record
        self.kept = {}
        self.running = 0
        self.is_gone = False
        self.began = collections.defaultdict(list)

    async def start(self):
        self.server = await s.Server(self.handle).start()
        return self

    def load(self):
        return ("Server-Load", f"{self.running},0,64")

    async def handle(self, request, connection):
        if self.is_gone:
            connection.closes = True
            s.Proxy.reset(connection.writer)
            return
        if request.headers.get("expect-instance") not in ("", self.name):
            await connection.send(s.response(421, [("Instance-Id", self.name)]))
            return
        if request.path == "/bergamottide/kv-list":
            held = ",".join(f'["","{part}",{tokens},"m"]' for part, tokens in self.kept.items())
            await connection.send(s.response(200, [("Content-Type", "application/json")],
                                             f'{{"epoch":1,"nextToken":1,"held":[{held}]}}'.encode()))
            return
        attempt = request.headers.get("attempt-id")
        if not attempt:
            await connection.send(s.response(200, [("Content-Type", "application/json")],
                                             b'{"stage":"both","sequence":1}'))
            return
        for part in request.headers.get("prompt-prefix").split(","):
            identity, _, tokens = part.partition(":")
            self.kept[identity] = int(tokens)
        last = int(request.headers.get("last-event-id") or 0)
        count = int(request.headers.get("token-counts").split(",")[1]) // 3
        self.running += 1
        self.began[attempt].append(last)
        self.record.line(f"{self.name} ({self.version}) runs {attempt} from event {last + 1}")
        try:
            await asyncio.sleep(0.03)
            await connection.send((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt}\r\n"
                                   f"Response-Seal: 3e1b.{attempt}\r\n{': '.join(self.load())}\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n").encode())
            for number in range(last + 1, count + 1):
                if self.is_gone:
                    s.Proxy.reset(connection.writer)
                    connection.closes = True
                    return
                event = b"id: %d\ndata: %s\n\n" % (number, self.version.encode())
                await connection.send(b"%x\r\n%s\r\n" % (len(event), event))
                await asyncio.sleep(GAP_S)
            await connection.send(b"0\r\n\r\n")
        finally:
            self.running -= 1


async def case(record):
    store = await s.Store().start()
    engines = []
    for name, version in (("i-old0", "v1"), ("i-new0", "v2")):
        engine = await Engine(name, version, record).start()
        engines.append(engine)
        store.put_server(name, "huvo11a", engine.server.address, version=version)
    old, new = engines
    store.put("op/config", s.configuration(
        [s.route("r-flags", "streaming", "huvo11a", resumable=True, timeoutMs=15000, targetLatencyMs=1400,
                 maxAttempts=2)],
        [s.service("huvo11a", engine=s.ENGINE)]))
    fleet = s.Fleet(store.address, 2)
    try:
        await fleet.start_all()
        await asyncio.sleep(3.5)
        attempts = iter(range(1 << 30))

        async def ask(session, events, began_by="", last=0, deadline=15.0, front=0, chunks=None):
            attempt = f"{0xc000000000000000 + next(attempts):016x}"
            headers = [("Host", "pule25.example"), ("Attempt-Id", attempt), ("Model", "m"),
                       ("Token-Counts", f"543,{events * 3}"), ("Prompt-Prefix", f"5c1e07a2:172,{session:x}:371"),
                       ("Deadline-Ms", str(int(deadline * 1000))), ("X-Api-Key", s.KEY)]
            if last:
                headers += [("Last-Event-Id", str(last)), ("Resumes", began_by)]
            answer = await s.call(fleet.address(front), "POST", "/p/2f", headers, b"prompt", timeout=deadline,
                                  on_piece=chunks)
            return attempt, answer

        # The first request of each session; some run at the newer version.
        for session in range(1, SESSIONS + 1):
            await ask(session, 3, front=session % 2)
        # Other work of the newer server, so that some second requests of these sessions begin at the older one.
        others = [asyncio.create_task(ask(session, 200, front=session % 2)) for session in
                  [number for number in range(1, SESSIONS + 1) if f"{number:x}" in new.kept] * 2]
        await asyncio.sleep(0.5)
        streams = {}

        async def client(session):
            """A client's request and its tries: it goes on behind the last event that it has."""
            ends_at = time.monotonic() + 15
            events = []
            began_by, tries = "", 0
            while tries <= RETRIES and time.monotonic() < ends_at - 0.5:
                buffer = bytearray()

                def take(data):
                    buffer.extend(data)
                attempt, answer = await ask(session, EVENTS, began_by, len(events), ends_at - time.monotonic(),
                                            (session + tries) % 2, take)
                got = re.findall(rb"id: (\d+)\ndata: (\w+)\n\n", bytes(buffer))
                if got and not began_by:
                    began_by = attempt
                events += [(int(number), version.decode()) for number, version in got]
                streams[session] = events
                record.line(f"client of session {session}: {attempt} got {answer.status}, {len(got)} events, "
                            f"{'complete' if answer.complete else answer.error}")
                if answer.status == 200 and answer.complete:
                    return
                if answer.status:
                    tries += 1
                await asyncio.sleep(float(answer.headers.get("retry-after", "0.2") or 0.2))
        sessions = [number for number in range(1, SESSIONS + 1) if f"{number:x}" in new.kept]
        clients = [asyncio.create_task(client(session)) for session in sessions]
        await asyncio.sleep(1.0)
        record.line("i-old0 reports draining")
        store.put_server("i-old0", "huvo11a", old.server.address, version="v1", state="draining")
        await asyncio.sleep(DRAIN_S)
        if s.TROUBLE:
            record.line("all machines lose power")
            for index in (0, 1):
                fleet.signal(index, signal.SIGKILL)
        await asyncio.sleep(0.2)
        old.is_gone = True
        store.delete("servers/i-old0")
        record.line("i-old0 has ended, and its entry is removed")
        await asyncio.sleep(DOWN_S)
        if s.TROUBLE:
            for index in (0, 1):
                fleet.nodes[index]["process"].wait()
                fleet.start(index)
            record.line("the machines are back")
        await asyncio.gather(*clients)
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        begun_at_old = sum(bool(events) and events[0][1] == "v1" for events in streams.values())
        mixed = [session for session, events in streams.items() if len({version for _, version in events}) > 1]
        for session in mixed:
            versions = [version for _, version in streams[session]]
            record.line(f"session {session}: {versions.count('v1')} events of v1, then {versions.count('v2')} of v2")
        record.line(f"{len(streams)} streams, {begun_at_old} begun at v1; {len(mixed)} hold events of two versions")
        if begun_at_old == 0:
            return s.NOT_RUN
        return s.BROKEN if len(mixed) > 2 else s.HELD
    finally:
        fleet.stop()

s.run_case(case, __file__)
