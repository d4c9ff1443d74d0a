"""Stand-ins of the second review: the platform's store, servers, and clients, on loopback addresses.

They follow PROTOCOL.md: JSON bodies, the names of the pages, and the command and the template of the deploy file.
"""
import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
KEY = "9dnn2ctnfzs989anu6ws"
TENANT = "bozi300"


class CannotRun(Exception):
    """The case could not be set up; says nothing of the rule."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """Writes record.txt beside the case: what was sent, answered and run."""

    def __init__(self, case_file):
        self.file = open(pathlib.Path(case_file).resolve().parent / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


class Headers(list):
    def get(self, name, default=""):
        for key, value in self:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Returns the first line and the headers of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = Headers()
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, self.query = target.partition("?")

    def parameter(self, name, default=""):
        from urllib.parse import parse_qs
        return parse_qs(self.query).get(name, [default])[0]


def response(status, headers=(), body=b""):
    reason = {200: "OK", 404: "Not Found", 409: "Conflict", 421: "Misdirected Request", 503: "Service Unavailable"}
    head = f"HTTP/1.1 {status} {reason.get(status, 'Status')}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Server:
    """HTTP/1.1 server; `handle(request, connection)` writes the response itself."""

    def __init__(self, handle):
        self.handle = handle
        self.address = ""

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        host, bound = self.server.sockets[0].getsockname()
        self.address = f"{host}:{bound}"
        return self

    async def serve(self, reader, writer):
        connection = Connection(reader, writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                length = int(head[1].get("content-length", "0") or 0)
                body = await reader.readexactly(length) if length else b""
                await self.handle(Request(method, target, head[1], body), connection)
                if connection.closes:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            try:
                writer.close()
            except OSError:
                pass


class Connection:
    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.closes = False
        self.state = {}

    def is_closed(self):
        """Whether the caller has closed its end; what it sent may still have to be read."""
        return self.reader.at_eof() or self.reader.exception() is not None or self.writer.is_closing()

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()


class Store:
    """The platform's store: items, lists and watches; keeps all history."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await Server(self.handle).start()
        self.address = self.server.address
        return self

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["createdRev"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(), "revision": self.revision,
                "createdRev": created, "lease": 0}
        self.items[key] = item
        self.publish(item)

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.publish({"key": key, "revision": self.revision, "tombstone": True})

    def publish(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request, connection):
        prefix = request.parameter("pathPrefix")
        if request.path == "/bergamottide/kv-range":
            after = request.parameter("after")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            body = {"items": [self.items[key] for key in keys[:500]], "hasMore": len(keys) > 500,
                    "storeRevision": self.revision}
        elif request.path == "/bergamottide/kv-watch":
            after = int(request.parameter("after", "0"))
            until = time.monotonic() + int(request.parameter("waitMs", "0")) / 1000
            while True:
                events = [one for one in self.events if one["revision"] > after and one["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            body = {"events": events, "storeRevision": self.revision}
        else:
            await connection.send(response(404))
            return
        await asyncio.sleep(0.004)
        await connection.send(response(200, [("Content-Type", "application/json")], json.dumps(body).encode()))

    def put_server(self, name, service, address, slots=64, zone="hall-a", state="ready", version="v1"):
        self.put(f"servers/{name}", {"service": service, "address": address, "zone": zone, "version": version,
                                     "slots": slots, "state": state, "coldLeftMs": 0, "stage": "both",
                                     "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": 1})


ENGINE = {"slots": 64, "kvCapacityTokens": 373913, "kvTokenBytes": 163840, "linkMbps": 740000.0, "moves": True,
          "backups": True, "stride": 3, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0,
          "models": [{"name": "m"}]}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def configuration(routes, services, version=7):
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS,
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]}


def service(name, **more):
    return {"name": name, "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": False, **more}


def route(name, kind, to, prefix="/p/", **more):
    return {"name": name, "host": "pule25.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 8000,
            "targetLatencyMs": 1500, "priority": 1, "service": to, "maxAttempts": 2, "stages": [], "public": False,
            "sticky": kind == "streaming", "resumable": False, "gapAimMs": 200, **more}


class Fleet:
    """Processes of the system, started with the command and the template of the deploy file."""

    def __init__(self, store_address, count=1, values=None, more="", stores=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bergamottide-review-"))
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        self.command = re.search(r'^run = "([^"]+)"', deploy, re.M).group(1).split()
        template = ROOT / re.search(r'^template = "([^"]+)"', deploy, re.M).group(1)
        self.template = template.read_text()
        self.nodes = []
        ports = [[free_port() for _ in range(4)] for _ in range(count)]
        seeds = [f"127.0.0.1:{one[2]}" for one in ports[:3]]
        for index, (front, ready, control, metrics) in enumerate(ports):
            settings = {
                "node": f"front-hall-a-{index + 1}", "zone": "hall-a", "region": "bc-lower", "ip": "127.0.0.1",
                "zones": {"hall-a": "bc-lower"}, "seeds": seeds,
                "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}",
                           "control": f"127.0.0.1:{control}"},
                "provider": {"address": (stores or {}).get(index, store_address)}, "limits": {"cpuShare": 0.19, "linkMbps": 1000.0},
                "bounds": {"graceS": 8, "retryBudgetRatio": 0.2, "budgetSlack": 58, "budgetWindowS": 10},
                **(values or {})}
            path = self.folder / f"node-{index}.yaml"
            # The port for metrics is fixed in the template; here several processes share one address.
            path.write_text(self.render(settings).replace(":9464", f":{metrics}") + more)
            self.nodes.append({"settings": path, "front": front, "ready": ready, "metrics": metrics,
                               "control": control, "process": None})

    def render(self, settings):
        def value(match):
            name, _, form = match.group(1).partition("|")
            found = settings
            for part in name.split("."):
                found = found[part]
            return json.dumps(found) if form == "json" else str(found)
        return re.sub(r"\{\{([^}]+)\}\}", value, self.template)

    def start(self, index):
        node = self.nodes[index]
        command = [str(node["settings"]) if word.startswith("/etc/") else word for word in self.command]
        log = open(self.folder / f"node-{index}.log", "ab")
        try:
            node["process"] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        except OSError as error:
            raise CannotRun(f"the program does not start: {error}") from error

    async def start_all(self):
        for index in range(len(self.nodes)):
            self.start(index)
        for index in range(len(self.nodes)):
            await self.wait_ready(index)

    async def wait_ready(self, index, patience=20):
        end = time.monotonic() + patience
        while time.monotonic() < end:
            if self.nodes[index]["process"].poll() is not None:
                raise CannotRun(f"process {index} has ended at its start")
            answer = await call(f"127.0.0.1:{self.nodes[index]['ready']}", "GET", "/bergamottide/readiness", timeout=1)
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"process {index} is not ready")

    def address(self, index=0):
        return f"127.0.0.1:{self.nodes[index]['front']}"

    def is_running(self, index=0):
        return self.nodes[index]["process"].poll() is None

    def signal(self, index, number):
        self.nodes[index]["process"].send_signal(number)

    def memory_kib(self, index, field):
        try:
            text = pathlib.Path(f"/proc/{self.nodes[index]['process'].pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(rf"^{field}:\s+(\d+) kB", text, re.M)
        return int(found.group(1)) if found else 0

    def log(self, index=0):
        return (self.folder / f"node-{index}.log").read_text(errors="replace")

    def stop(self):
        for node in self.nodes:
            process = node["process"]
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for node in self.nodes:
            if node["process"] is not None:
                node["process"].wait()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


class Proxy:
    """Passes connections on to an address; may reset all of them, or hold up what comes back."""

    def __init__(self, target):
        self.target = target
        self.is_cut = False
        self.delay = 0.0
        self.writers = set()
        self.on_request = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    @staticmethod
    def reset(writer):
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        writer.transport.abort()

    def cut(self):
        self.is_cut = True
        for writer in list(self.writers):
            self.reset(writer)

    def heal(self):
        self.is_cut = False

    async def serve(self, reader, writer):
        if self.is_cut:
            self.reset(writer)
            return
        host, port = self.target.rsplit(":", 1)
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.reset(writer)
            return
        self.writers.add(writer)

        async def forward():
            while data := await reader.read(65536):
                if self.on_request:
                    self.on_request(data)
                back_writer.write(data)
                await back_writer.drain()

        async def back():
            while data := await back_reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
        try:
            tasks = [asyncio.ensure_future(forward()), asyncio.ensure_future(back())]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            for one in (writer, back_writer):
                one.close()


class Answer:
    def __init__(self):
        self.status, self.headers, self.body = 0, Headers(), b""
        self.complete = False
        self.error = ""
        self.ended_at = 0.0


async def call(address, method, target, headers=(), body=b"", timeout=20, rate=None, buffer=None, on_piece=None):
    """One client attempt on a new connection. `rate`: bytes a second at which the response is read."""
    answer = Answer()
    host, port = address.rsplit(":", 1)
    writer = None

    async def run():
        nonlocal writer
        sock = socket.socket()
        if buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=sock, limit=buffer or 1 << 16)
        head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        got = await read_head(reader)
        if got is None:
            raise ConnectionError("closed without an answer")
        answer.status, answer.headers = int(got[0].split(" ")[1]), got[1]

        async def take(size):
            if rate:
                await asyncio.sleep(size / rate)
            data = await reader.readexactly(size)
            answer.body += data
            if on_piece:
                on_piece(data)
        if answer.headers.get("transfer-encoding").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                if size:
                    await take(size)
                await reader.readexactly(2)
                if size == 0:
                    answer.complete = True
                    return
        left = int(answer.headers.get("content-length", "0") or 0)
        while left:
            size = min(left, 8192)
            await take(size)
            left -= size
        answer.complete = True

    try:
        await asyncio.wait_for(run(), timeout)
    except asyncio.TimeoutError:
        answer.error = "no complete answer in time"
    except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    finally:
        answer.ended_at = time.monotonic()
        if writer is not None:
            writer.close()
    return answer


def run_case(case, case_file):
    """Runs a case, which returns HELD or BROKEN, and exits with its result."""
    record = Record(case_file)
    try:
        result = asyncio.run(asyncio.wait_for(case(record), 115))
    except Exception as error:  # Whatever stops the case says nothing of the rule.
        record.line(f"could not run: {error!r}")
        result = NOT_RUN
    record.line({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}[result])
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[result])
    sys.exit(result)
