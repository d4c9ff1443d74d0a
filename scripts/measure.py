"""Measures whole processes on the loopback interface; started by capacity.sh.

Prints one JSON object: memory of daemons, added latency, requests and tokens a second through one entry with the
processor time that the entry spent on them.
"""

import argparse
import hashlib
import http.client
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import demo

WORKSPACE_KEY = "measure-key"
# Service times of the stand-ins of the latency measurement, in microseconds.
STAGE_US = 2000
STAGES = ["encoders", "retrievers", "rerankers", "engines"]
LATENCY_REQUESTS = 100
RATE = 1500
RATE_SECONDS = 4
TOKENS = 1000
TOKEN_RATE = 60
TICKS = os.sysconf("SC_CLK_TCK")

DOCUMENT = f"""version: 1
pools:
  encoders: {{kind: encoder, concurrency: 256}}
  retrievers: {{kind: retriever, concurrency: 256}}
  rerankers: {{kind: reranker, concurrency: 256}}
  engines: {{kind: engine, concurrency: 256}}
  services: {{kind: service, concurrency: 256, path: /orders, method: POST}}
models:
  small: {{versions: ["1"], replicas: 1, weights: 1GB}}
pipelines:
  answer:
    stages:
      - {{name: encode, pool: encoders, expected: 2ms}}
      - {{name: retrieve, pool: retrievers, expected: 2ms}}
      - {{name: rerank, pool: rerankers, expected: 2ms}}
      - {{name: generate, pool: engines, expected: 2ms, maxTokens: 1}}
  tokens:
    stages:
      - {{name: generate, pool: engines, expected: 100ms, maxTokens: {TOKENS}}}
  order:
    stages:
      - {{name: place, pool: services, expected: 2ms}}
kinds:
  ordinary: {{}}
workspaces:
  measure:
    keyDigests: [{hashlib.sha256(WORKSPACE_KEY.encode()).hexdigest()}]
    maxInProgress: 10000
bindings:
  - {{workspace: measure, pipeline: answer, model: small}}
  - {{workspace: measure, pipeline: tokens, model: small}}
  - {{workspace: measure, pipeline: order}}
policy: {{}}
...
"""


def memory(process):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


class Measured(demo.Demonstration):
    """One entry and one side for each pool."""

    def start(self):
        demo.POOLS = [(pool, kind, 1, STAGE_US) for pool, kind in (
            ("encoders", "stage"), ("retrievers", "stage"), ("rerankers", "stage"), ("engines", "engine"),
            ("services", "service"))]
        super().start()

    def start_pair(self, pool, kind, index, base, common):
        address = self.fleet.stand_in(f"endpoint-{pool}", kind, base_us=base, token_us=0, concurrency=100000)
        self.endpoints.append(address)
        self.sides.append(self.fleet.daemon(f"side-{pool}", "bergamottide-side", zone=demo.ZONES[0], pool=pool,
                                            endpointAddress=address, **common))

    def process(self, name):
        return next(p for p in self.fleet.processes if any(f"instance={name}," in str(a) for a in p.args))


def sequential(address, path, headers, body):
    """Sends requests one after the other on one connection; returns their times in milliseconds."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port))
    times = []
    for _ in range(LATENCY_REQUESTS):
        begin = time.perf_counter()
        connection.request("POST", path, body=body, headers=headers)
        answer = connection.getresponse()
        text = answer.read()
        if answer.status != 200:
            raise RuntimeError(f"{answer.status}: {text[:200]}")
        times.append((time.perf_counter() - begin) * 1000)
    connection.close()
    return sorted(times)


def warm(entry, headers):
    """Waits until the first request of each pipeline completes; the processes learn of each other by and by."""
    for pipeline in ("order", "answer", "tokens"):
        path = f"/v1/pipelines/{pipeline}"
        demo.wait_until(lambda: demo.call(entry, "POST", path, "{}", headers)[0] == 200, pipeline)


def at(values, share):
    return values[min(len(values) - 1, int(share * len(values)))]


def latency(measured, entry, headers):
    """Added latency of a single-stage pipeline and of one with four stages, over the stand-ins' own time."""
    through = sequential(entry, "/v1/pipelines/order", headers, '{"order":1}')
    direct = sequential(measured.endpoints[-1], "/orders", {"Content-Type": "application/json"}, '{"order":1}')
    four = sequential(entry, "/v1/pipelines/answer", headers, '{"question":1}')
    return {
        "latency_stages": 1,
        "added_ms_p50": at(through, 0.5) - at(direct, 0.5),
        "added_ms_p99": at(through, 0.99) - at(direct, 0.99),
        "four_stages_ms_p50": at(four, 0.5) - len(STAGES) * at(direct, 0.5),
        "four_stages_ms_p99": at(four, 0.99) - len(STAGES) * at(direct, 0.5),
    }


def load(build, folder, entry, pipeline, rate, seconds):
    body = folder / "body.json"
    body.write_text('{"question":"measure"}')
    key = folder / "workspace-key"
    key.write_text(WORKSPACE_KEY)
    done = subprocess.run(
        [build / "bergamottidectl", f"--key_file={key}", f"--rate={rate}", f"--time={seconds}s", "--output=json",
         "load", entry, pipeline, body], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, check=False)
    return json.loads(done.stdout)


def throughput(measured, build, entry, pipeline, rate, seconds):
    """Open load; returns requests completed a second and the entry's processor time for each, in microseconds."""
    process = measured.process("entry-0")
    before, begin = cpu_seconds(process), time.monotonic()
    answer = load(build, measured.fleet.folder, entry, pipeline, rate, seconds)
    elapsed, spent = time.monotonic() - begin, cpu_seconds(process) - before
    completed = answer["outcomes"].get("completed", 0)
    return completed / elapsed, spent / max(1, completed) * 1e6, answer


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path, required=True)
    options = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="bergamottide-measure-"))
    fleet = demo.Fleet(options.build, folder)
    try:
        measured = Measured(fleet, DOCUMENT)
        measured.start()
        entry = measured.entries[0]["callers"]
        headers = {"Authorization": f"Bearer {WORKSPACE_KEY}", "Content-Type": "application/json",
                   "X-Deadline": "9s"}
        result = {"entry_idle_bytes": memory(measured.process("entry-0")),
                  "side_idle_bytes": memory(measured.process("side-services"))}
        warm(entry, headers)
        result.update(latency(measured, entry, headers))
        rate, spent, answer = throughput(measured, options.build, entry, "order", RATE, RATE_SECONDS)
        result.update({"requests_per_second": rate, "entry_request_us": spent, "requests": answer})
        rate, spent, answer = throughput(measured, options.build, entry, "tokens", TOKEN_RATE, RATE_SECONDS)
        result.update({"tokens_per_second": rate * TOKENS, "entry_token_us": spent / TOKENS, "tokens": answer})
        result["entry_loaded_bytes"] = memory(measured.process("entry-0"))
        result["side_loaded_bytes"] = memory(measured.process("side-engines"))
    finally:
        fleet.stop()
        for file in folder.iterdir():
            file.unlink()
        folder.rmdir()
    print(json.dumps(result, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
