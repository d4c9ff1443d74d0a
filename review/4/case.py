"""A stage server sends some answers twice, the second one late: at the point where its next answer is expected."""
import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standin2 as s  # noqa: E402

STAGE_SERVERS = 4
FAULTY_SERVERS = 2  # share .5
EXTRA_EVERY = 40  # x .025
SECONDS = 45
GAP_S = 0.04


class StageServer:
    """One call at a time, as `slots` = 1 says; 150 ms a call and 16 ms a piece."""

    def __init__(self, name, record, owners, is_faulty):
        self.name, self.record, self.owners, self.is_faulty = name, record, owners, is_faulty
        self.turn = asyncio.Lock()
        self.answers = 0
        self.extras = 0
        self.handles = 0

    async def start(self):
        self.server = await s.Server(self.handle).start()
        return self

    async def handle(self, request, connection):
        if request.headers.get("expect-instance") not in ("", self.name):
            await connection.send(s.response(421, [("Instance-Id", self.name)]))
            return
        if request.path == "/bergamottide/stage-run":
            await self.stage_run(request, connection)
            return
        await connection.send(s.response(200, [("Content-Type", "application/json")],
                                         json.dumps({"queued": 0, "busy": False, "freeMb": 36}).encode()))

    async def stage_run(self, request, connection):
        late = connection.state.pop("late", None)
        if late is not None:
            self.extras += 1
            self.record.line(f"{self.name} sends its former answer once more, before that of this call")
            await connection.send(late)
        items = json.loads(request.body)["items"]
        async with self.turn:
            await asyncio.sleep(0.15 + 0.016 * len(items))
        results = []
        for item in items:
            self.handles += 1
            handle = f"{self.server.address}/{self.name[-1]}{self.handles:06x}"
            self.owners[handle] = (item["id"], item["stage"], item["piece"])
            self.record.line(f"{self.name} made {handle} for {item['id']} stage {item['stage']} piece {item['piece']}")
            results.append({"handle": handle})
        headers = [("Content-Type", "application/json"), ("Server-Load", "0,0,1")]
        # Servers echo this header; a call that names itself with it can tell its answer.
        if request.headers.get("attempt-id"):
            headers.append(("Attempt-Id", request.headers.get("attempt-id")))
        answer = s.response(200, headers, json.dumps({"items": results}).encode())
        self.answers += 1
        if s.TROUBLE and self.is_faulty and self.answers % EXTRA_EVERY == 0:
            connection.state["late"] = answer
        await connection.send(answer)


class ModelServer:
    def __init__(self, name, record, owners):
        self.name, self.record, self.owners = name, record, owners
        self.runs = 0
        self.foreign = []

    async def handle(self, request, connection):
        if request.headers.get("expect-instance") not in ("", self.name):
            await connection.send(s.response(421, [("Instance-Id", self.name)]))
            return
        if request.method == "GET":
            report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                      "sequence": 1, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 373913, "handles": 0}
            await connection.send(s.response(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
            return
        attempt = request.headers.get("attempt-id")
        inputs = [one.strip() for one in request.headers.get("inputs").split(",")]
        unknown = [one for one in inputs if one not in self.owners]
        if unknown:
            await connection.send(s.response(409, [("Attempt-Id", attempt), ("Not-Executed", "1")]))
            return
        self.runs += 1
        foreign = [(one, self.owners[one]) for one in inputs if self.owners[one][0] != attempt]
        self.record.line(f"{self.name} runs {attempt} with inputs {','.join(inputs)}"
                         + (f"; made for {', '.join(owner[0] for _, owner in foreign)}" if foreign else ""))
        if foreign:
            self.foreign.append((attempt, foreign))
        events = b"".join(b"id: %d\ndata: token\n\n" % number for number in range(1, 9))
        head = (f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {attempt}\r\n"
                f"Response-Seal: 3e1b.{attempt}\r\nServer-Load: 1,0,64\r\nTransfer-Encoding: chunked\r\n\r\n")
        await connection.send(head.encode() + b"%x\r\n%s\r\n0\r\n\r\n" % (len(events), events))


async def case(record):
    owners = {}
    store = await s.Store().start()
    stage_servers = []
    for number in range(STAGE_SERVERS):
        name = f"i-stage{number}"
        one = await StageServer(name, record, owners, number < FAULTY_SERVERS).start()
        stage_servers.append(one)
        store.put_server(name, "kafi81c", one.server.address, slots=1)
    model = ModelServer("i-model0", record, owners)
    model_address = (await s.Server(model.handle).start()).address
    store.put_server("i-model0", "huvo11a", model_address)
    pieces = {"slots": 1, "queue": 2, "batch": 8, "callMs": 150.0, "itemMs": 16.0, "headroomMb": 36.0, "handleS": 4.0,
              "linkMbps": 10000}
    store.put("op/config", s.configuration(
        [s.route("r-mix", "streaming", "huvo11a", resumable=True, timeoutMs=6000,
                 stages=[{"service": "kafi81c", "after": [], "bytes": 8000}])],
        [s.service("huvo11a", engine=s.ENGINE), s.service("kafi81c", pieces=pieces)]))
    fleet = s.Fleet(store.address)
    try:
        await fleet.start_all()
        await asyncio.sleep(2)
        served = 0
        calls = []

        async def one(number):
            nonlocal served
            attempt = f"{0xa000000000000000 + number:016x}"
            record.line(f"client sends {attempt}")
            answer = await s.call(fleet.address(), "POST", "/p/2f", [
                ("Host", "pule25.example"), ("Attempt-Id", attempt), ("Model", "m"), ("Token-Counts", "1460,80"),
                ("Prompt-Prefix", f"5c1e07a2:800,{number + 1:x}:660"), ("Deadline-Ms", "6000"), ("Pieces", "1"),
                ("Piece-Key", f"{number:012x}"), ("X-Api-Key", s.KEY)], b"prompt", timeout=7)
            record.line(f"client got {answer.status} for {attempt} {answer.error}")
            served += answer.status == 200 and answer.complete
        for number in range(int(SECONDS / GAP_S)):
            calls.append(asyncio.create_task(one(number)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*calls)
        extras = sum(one.extras for one in stage_servers)
        total = sum(one.answers for one in stage_servers)
        record.line(f"{total} stage calls answered, {extras} of them once more; {served} requests served, "
                    f"{len(model.foreign)} runs with inputs of another request")
        if served == 0 or (s.TROUBLE and extras == 0):
            return s.NOT_RUN
        return s.BROKEN if model.foreign else s.HELD
    finally:
        fleet.stop()

s.run_case(case, __file__)
