"""Stand-ins for the platform of a small deployment: metadata store, engines, clients, and the start of the
project's own processes with the commands and the template of the deploy file. Loopback addresses only."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# Bounds of the threadline-lm deployment.
BOUNDS = {"drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "stableWindowMs": 3000, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "budgetSlack": 58}


TAKEN = set()
# Fleets whose processes have to end with the case.
FLEETS = []
LONGEST_CASE_S = 100


def free_port():
    """Returns a free port below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randint(11000, 29000)
        if port in TAKEN:
            continue
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        TAKEN.add(port)
        return port


def free_address():
    return f"127.0.0.1:{free_port()}"


class Record:
    """Writes what was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, what, **fields):
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {values}\n")
        self.file.flush()


class Message:
    """An HTTP request or response that was read."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name, default)

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader):
    """Reads one chunk; empty at the end of the body."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size) if size else b""
    await reader.readuntil(b"\r\n")
    return data


async def read_message(reader):
    message = await read_head(reader)
    if "content-length" in message.headers:
        message.body = await reader.readexactly(int(message.get("content-length")))
    elif message.get("transfer-encoding").lower() == "chunked":
        while part := await read_chunk(reader):
            message.body += part
    return message


def encode_response(status, headers=None, body=b"", reason="Status"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accepts connections at a loopback address; subclasses answer requests."""

    def __init__(self, address=None):
        self.address = address or free_address()
        self.server = None
        self.writers = set()

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.accept, host, int(port), limit=1 << 22)

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if not await self.handle(request, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError

    async def stop(self):
        """Ends like a process: stops to listen and closes its connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.close()


class Store(Server):
    """The platform's metadata store: lists and watches."""

    HISTORY_S = 20

    def __init__(self):
        super().__init__()
        self.revision = 100
        self.items = {}
        # Time, revision, key and encoded event of each change, and the revision before the first of them.
        self.history = []
        self.dropped_revision = self.revision
        self.changed = asyncio.Condition()

    async def put(self, key, value):
        await self.put_encoded(key, self.encode(value))

    @staticmethod
    def encode(value):
        return base64.b64encode(json.dumps(value).encode()).decode()

    async def put_encoded(self, key, text):
        self.revision += 1
        created = self.items[key]["createdRev"] if key in self.items else self.revision
        item = {"key": key, "value": text, "revision": self.revision, "createdRev": created, "lease": 0}
        self.items[key] = item
        await self.publish(item)

    async def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            await self.publish({"key": key, "revision": self.revision, "tombstone": True})

    async def publish(self, event):
        now = time.monotonic()
        while self.history and now - self.history[0][0] > self.HISTORY_S:
            self.dropped_revision = self.history.pop(0)[1]
        self.history.append((now, event["revision"], event["key"], json.dumps(event).encode()))
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request, reader, writer):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        prefix = query.get("pathPrefix", "")
        body = b"{}"
        status = 200
        if url.path == "/bergamottide/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > query.get("after", ""))
            body = json.dumps({"items": [self.items[key] for key in keys], "hasMore": False,
                               "storeRevision": self.revision}).encode()
        elif url.path == "/bergamottide/kv-watch":
            status, body = await self.watch(prefix, int(query["after"]), int(query["waitMs"]) / 1000)
        else:
            status = 404
        writer.write(encode_response(status, {"Content-Type": "application/json"}, body))
        await writer.drain()
        return True

    async def watch(self, prefix, after, wait):
        until = time.monotonic() + wait
        while True:
            if after < self.dropped_revision:
                return 410, b"{}"
            events = [text for _, revision, key, text in self.history if revision > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, b'{"events":[%s],"storeRevision":%d}' % (b",".join(events), self.revision)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Engine(Server):
    """An engine that registers itself in the store."""

    def __init__(self, store, record, name, service, zone="hall-a", version="v1", slots=64):
        super().__init__()
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.running = 0

    async def start(self):
        await super().start()
        await self.register("ready")

    async def register(self, state):
        await self.store.put(f"servers/{self.name}", {
            "service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
            "slots": self.slots, "state": state, "coldLeftMs": 0, "sequence": 1, "born": self.born, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}]})
        self.record.write("entry", engine=self.name, version=self.version, state=state)

    async def leave(self, linger):
        """Reports draining, serves on for drainMs and a little longer, and exits."""
        await self.register("draining")
        await asyncio.sleep(BOUNDS["drainMs"] / 1000 + linger)
        await self.store.remove(f"servers/{self.name}")
        self.record.write("exit", engine=self.name, version=self.version)
        await self.stop()

    def load(self):
        return f"{self.running},0,{self.slots}"

    async def handle(self, request, reader, writer):
        expected = request.get("expect-instance")
        attempt = {"Attempt-Id": request.get("attempt-id")} if request.get("attempt-id") else {}
        if expected and expected != self.name:
            writer.write(encode_response(421, attempt | {"Instance-Id": self.name, "Not-Executed": "1"}))
            await writer.drain()
            return True
        if request.target.split("?")[0] == "/bergamottide/report":
            body = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                    "sequence": 1, "queued": 0, "running": self.running, "kvUsed": 0, "kvTotal": 370570, "handles": 0,
                    "born": self.born}
            writer.write(encode_response(200, {"Content-Type": "application/json", "Instance-Id": self.name},
                                         json.dumps(body).encode()))
            await writer.drain()
            return True
        self.running += 1
        try:
            return await self.run(request, reader, writer)
        finally:
            self.running -= 1

    async def run(self, request, reader, writer):
        raise NotImplementedError


def fill_template(text, settings):
    """Fills in the placeholders that the project's template uses."""

    def value(match):
        path, as_json = match.group(1), match.group(2)
        current = settings
        for part in path.split("."):
            current = current[part]
        return json.dumps(current) if as_json else str(current)

    return re.sub(r"\{\{([A-Za-z.]+)(\|json)?\}\}", value, text)


class Fleet:
    """The project's processes, one for each front machine."""

    def __init__(self, record, store, zones, settings_changes=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="bergamottide-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            template = file.read()
        self.program = os.path.join(ROOT, role["run"].split(" ")[0])
        if not os.path.exists(self.program):
            raise FileNotFoundError("build the program of the deploy file first")
        FLEETS.append(self)
        self.nodes = []
        for index, zone in enumerate(zones):
            self.nodes.append({
                "node": f"front-{zone}-{index + 1}", "ip": "127.0.0.1", "zone": zone, "region": "neng",
                "listen": {"front": free_address(), "ready": free_address(), "control": free_address()}})
        seeds = [node["listen"]["control"] for node in self.nodes[:3]]
        for node in self.nodes:
            node |= {"zones": {zone: "neng" for zone in zones}, "seeds": seeds, "bounds": BOUNDS,
                     "limits": {"cpuShare": 0.19, "linkMbps": 1000.0}, "provider": {"address": store.address}}
            node["path"] = os.path.join(self.folder, node["node"] + ".yaml")
            text = fill_template(template, node)
            # All machines share one address here, so that each needs a port of its own for its metrics.
            text = re.sub(r'metricsAddress: ".*"', f'metricsAddress: "{free_address()}"', text)
            with open(node["path"], "w", encoding="utf-8") as file:
                file.write(text)
            node["process"] = None

    def start(self, index):
        node = self.nodes[index]
        log = open(os.path.join(self.folder, node["node"] + ".log"), "ab")
        node["process"] = subprocess.Popen([self.program, "--settings", node["path"]], cwd=ROOT, stdin=subprocess.DEVNULL,
                                           stdout=log, stderr=log)
        log.close()
        self.record.write("start", node=node["node"], pid=node["process"].pid)

    def send_signal(self, index, which):
        process = self.nodes[index]["process"]
        if process is not None and process.poll() is None:
            process.send_signal(which)
            self.record.write("signal", node=self.nodes[index]["node"], signal=which.name)

    def kill(self, index):
        self.send_signal(index, signal.SIGKILL)
        self.nodes[index]["process"].wait()

    def front(self, index):
        return self.nodes[index]["listen"]["front"]

    async def is_ready(self, index):
        try:
            reader, writer = await connect(self.nodes[index]["listen"]["ready"])
            writer.write(b"GET /bergamottide/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all([await self.is_ready(index) for index in range(len(self.nodes))]):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("the processes did not become ready")

    def stop(self):
        for node in self.nodes:
            process = node["process"]
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS") and os.path.isdir(self.folder):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def connect(address, timeout=1.0):
    """Opens a connection; clients allow one second for it."""
    host, port = address.rsplit(":", 1)
    return await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 22), timeout)


def encode_request(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
TENANTS = [{"name": "bozi300", "apiKeys": ["9dnn2ctnfzs989anu6ws"], "priority": 1}]
API_KEY = "9dnn2ctnfzs989anu6ws"
MODEL_ENGINE = {"slots": 64, "kvCapacityTokens": 370570, "kvTokenBytes": 163840, "linkMbps": 1100000.0, "moves": True,
                "backups": True, "stride": 3, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0,
                "models": [{"name": "m"}]}


def run_case(main, folder):
    """Runs a case and exits: with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.write("case", trouble=int(trouble))

    def end(code, text):
        for fleet in FLEETS:
            fleet.stop()
        record.write("result", exit=code)
        print(text, flush=True)
        # Tasks and connections that are left end with the program.
        os._exit(code)

    async def run():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            broken = await asyncio.wait_for(main(record, trouble), LONGEST_CASE_S)
        except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
            end(2, f"could not run: {error!r}")
        end(int(broken), "rule broken" if broken else "rule held")

    watchdog = threading.Timer(LONGEST_CASE_S + 5, end, (2, "could not run: no end in time"))
    watchdog.daemon = True
    watchdog.start()
    asyncio.run(run())


class FrontProxy(Server):
    """The way from clients to one front machine; while the machine has no power, what is open goes silent."""

    def __init__(self, target):
        super().__init__()
        self.target = target
        self.is_dark = False

    async def accept(self, reader, writer):
        try:
            there, back = await connect(self.target)
        except (OSError, asyncio.TimeoutError):
            writer.close()
            return
        try:
            await asyncio.gather(self.pass_on(reader, back), self.pass_on(there, writer))
        except asyncio.CancelledError:
            pass

    async def pass_on(self, reader, writer):
        try:
            while data := await reader.read(1 << 16):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        if not self.is_dark:
            writer.close()
