#!/usr/bin/env python3
"""Writes docs/capacity-sidecars.md from docs/capacity.json, the figures that scripts/capacity.sh has measured.

usage: scripts/capacity.py [--check]

--check writes nothing and fails if the page is not what the figures give.
"""
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA = ROOT / "docs" / "capacity.json"
PAGE = ROOT / "docs" / "capacity-sidecars.md"

# The size to design for.
ENTRIES, ENGINES, ACCELERATORS = 350, 4000, 8100
REQUESTS, TOKENS = 9500, 3.9e6
STAGES = 4.5  # pipelines have three to six
WORKSPACES, MODELS, PIPELINES = 520, 16, 6
REGIONS, ZONES = 8, 31
CHANGES = 16000
DEADLINE = 9.0
CORE, MEMORY, BYTES = 0.023, 128e6, 10e3

# Settings at that size, and sizes of frames below the messages.
REPORT_PERIOD = 1.0
FRAME = 14  # header of gRPC (5) and of HTTP/2 (9)
PACKET = 40  # headers of IP and TCP, for a frame alone in its packet


def slope(rows, size, value):
    """Least squares line through the rows: (slope, intercept)."""
    xs, ys = [r[size] for r in rows], [r[value] for r in rows]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    top = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys))
    return top / sum((x - mean_x) ** 2 for x in xs), mean_y - top / sum((x - mean_x) ** 2 for x in xs) * mean_x


def number(value):
    """Writes a figure with three digits that count."""
    if abs(value) >= 1e6:
        return f"{value / 1e6:.3g} M"
    if abs(value) >= 1e4:
        return f"{value / 1e3:.3g} k"
    return f"{value:.3g}"


def table(rows):
    """A table of one measurement, a column for each value."""
    names = list(rows[0])
    lines = ["| " + " | ".join(n.replace("_", " ") for n in names) + " |", "|" + " ---: |" * len(names)]
    lines += ["| " + " | ".join(number(r[n]) for n in names) + " |" for r in rows]
    return "\n".join(lines)


def mean(rows, value):
    return sum(r[value] for r in rows) / len(rows)


def page(data):
    d = data
    per_entry = REQUESTS / ENTRIES
    runs = per_entry * STAGES
    tokens_entry = TOKENS / ENTRIES
    tokens_side = TOKENS / ENGINES
    engines_zone, entries_zone = ENGINES / ZONES, ENTRIES / ZONES
    in_progress = per_entry * DEADLINE

    endpoint_heap, endpoint_base = slope(d["endpoints"], "endpoints", "heap_bytes")
    workspace_heap, _ = slope(d["workspaces"], "workspaces", "entry_heap_bytes")
    side_workspace_heap, _ = slope(d["workspaces"], "workspaces", "side_heap_bytes")
    document_bytes, document_base = slope(d["workspaces"], "workspaces", "document_bytes")
    apply_us, _ = slope(d["workspaces"], "workspaces", "apply_us")
    view_us, _ = slope(d["endpoints"], "endpoints", "view_change_us")
    request_heap, _ = slope(d["requests"], "requests", "heap_bytes")
    record_heap, _ = slope(d["ledger"], "records", "finished_heap_bytes")
    subscriber_us, subscriber_base = slope(d["subscribers"], "subscribers", "report_round_us")
    message_us = mean(d["transport"], "single_us") / 2
    report_bytes = mean(d["subscribers"], "report_bytes")

    # Entry, control: reports heard, changes applied, views applied.
    reports_heard = engines_zone / REPORT_PERIOD
    view_changes = (1000 + 29) * 2 / 86400
    change_rate = CHANGES / 86400
    document_at = document_base + document_bytes * WORKSPACES
    entry_cpu = (reports_heard * (message_us + mean(d["endpoints"], "report_us"))
                 + change_rate * apply_us * WORKSPACES + view_changes * view_us * engines_zone) / 1e6
    entry_bytes = reports_heard * (report_bytes + FRAME + PACKET)
    entry_memory = (d["processes"]["entry_idle_bytes"] + endpoint_heap * engines_zone
                    + workspace_heap * WORKSPACES + request_heap * in_progress)
    # Side, control: reports sent, changes applied.
    reports_sent = entries_zone / REPORT_PERIOD
    side_cpu = (reports_sent * message_us + (subscriber_us * entries_zone + subscriber_base) / REPORT_PERIOD
                + change_rate * apply_us * WORKSPACES) / 1e6
    side_bytes = reports_sent * (report_bytes + FRAME + PACKET)
    side_records = REQUESTS / ENGINES * (DEADLINE + 20)
    side_memory = (d["processes"]["side_idle_bytes"] + side_workspace_heap * WORKSPACES + record_heap * side_records)
    # Entry, work for callers.
    work_cpu = (per_entry * mean(d["requests"], "request_us") + tokens_entry * mean(d["tokens"], "token_us")) / 1e6

    p = data["processes"]
    whole_cpu = (per_entry * p["entry_request_us"] + tokens_entry * p["entry_token_us"]) / 1e6

    def against(value, limit):
        return f"{limit / value:.1f} times below" if value <= limit else f"{value / limit:.1f} times ABOVE"

    default_bytes = engines_zone / 0.25 * (report_bytes + FRAME + PACKET)
    c = d["configuration"]
    lines = f"""# Capacity of entries and sidecars

Written by `scripts/capacity.py` from `docs/capacity.json`; a test fails if the page and the figures differ.
`scripts/capacity.sh` measures anew. Machine: {d["machine"]}.

The size: {ENTRIES} daemons before {ENGINES:,} engines ({ACCELERATORS:,} accelerators), {REQUESTS:,} requests and
{TOKENS / 1e6:.1f} million tokens a second at the peak, {PIPELINES} pipelines of three to six stages, deadlines of
{DEADLINE:.0f} s, {WORKSPACES} workspaces, {MODELS} models, {REGIONS} regions with {ZONES} availability zones, {CHANGES:,}
changes of configuration a day in force within 11 s. Control spends at most {CORE:.1%} of a core, {MEMORY / 1e6:.0f} MB and
{BYTES / 1e3:.0f} KB a second at each daemon. 1,000 restarts and 29 failures a day.

## Assumptions

- The {ENTRIES} daemons are entries; one side process runs beside each engine. If the {ENTRIES} include sides, an entry
  carries more: all rows "a request" and "a token" grow by the same factor, those of a side do not change.
- Load is spread evenly: {per_entry:.0f} requests, {runs:.0f} stage runs (at {STAGES} stages) and {tokens_entry / 1e3:.1f}
  thousand tokens a second at an entry; {REQUESTS / ENGINES:.1f} generation runs and {tokens_side:.0f} tokens a second at a
  side; {entries_zone:.0f} entries and {engines_zone:.0f} engines in a zone.
- An entry keeps streams to the sides of its own zone. Sides of other pools (encoders, retrievers, rerankers, services)
  are not in the letter; each adds one row of "endpoint in view".
- At this size the document sets `reportPeriod: {REPORT_PERIOD:.0f}s`. With the default of 250 ms, made for today's sizes,
  an entry would hear {default_bytes / 1e3:.0f} KB of reports a second.

## Worked out for each role

| role | resource | at the size | limit | margin | mechanism that carries it | what gives way first |
| --- | --- | ---: | ---: | --- | --- | --- |
| entry | control, processor | {entry_cpu:.2%} of a core | {CORE:.1%} | {against(entry_cpu, CORE)} | one small report a period and side, streams to the own zone only | reports of a zone with more engines: longer period |
| entry | control, bytes | {entry_bytes / 1e3:.1f} KB/s | 10 KB/s | {against(entry_bytes, BYTES)} | reports of {report_bytes:.0f} bytes when nothing is queued | the same |
| entry | memory, all | {entry_memory / 1e6:.0f} MB | 128 MB | {against(entry_memory, MEMORY)} | only requests in progress are kept ({in_progress:.0f} at one deadline each) | bodies and results of requests in progress |
| entry | work for callers | {whole_cpu:.0%} of a core, of which decisions {work_cpu:.1%} | | | results by offset, batches | tokens relayed one by one: the streams' cost |
| side | control, processor | {side_cpu:.2%} of a core | {CORE:.1%} | {against(side_cpu, CORE)} | reports to the entries of the zone | entries in a zone |
| side | control, bytes | {side_bytes / 1e3:.2f} KB/s | 10 KB/s | {against(side_bytes, BYTES)} | the same | the same |
| side | memory, all | {side_memory / 1e6:.0f} MB | 128 MB | {against(side_memory, MEMORY)} | ledger of rate x (deadline + retention): {side_records:.0f} records | kept results |
| any | a change in force everywhere | {c["worst_seconds"]:.1f} s (worst of {c["changes"]} changes, virtual clock) | 11 s | {against(c["worst_seconds"], 11)} | tree of a zone, deltas of sections | lost messages, stale reads |
| any | bytes of a change | {c["delta_bytes"]} B of a document of {document_at / 1e3:.0f} KB | | | sections for each workspace | a burst of 20 changes a second at an inner process of the tree (see below) |
| service | reads a second, whole fleet | {c["reads_per_second"]:.0f} | 500 (of 2,000) | {against(c["reads_per_second"], 500)} | 128 readers of a zone share about two reads a second | stale service: more rounds |
| service | size of the document | {document_at / 1e3:.0f} KB | 1 MB | {against(document_at, 1e6)} | | workspaces: {(1e6 - document_base) / document_bytes:,.0f} fill a megabyte |
| fleet | requests refused by restarts | {c["restart_share"]:.4%} | 0.01% | {against(c["restart_share"], 1e-4)} | only keyed requests wait for a restarted home; others go elsewhere | window of a restarted home ({c["warming_seconds"]:.0f} s) |
| bergamottidectl | memory, time | one document of {document_at / 1e3:.0f} KB | | | reads files, asks one daemon at a time | |

In the minute of a burst of 20 changes a second an inner process of the tree spends {c["burst_bytes"] / 1e3:.1f} KB a second on
changes: {against(c["burst_bytes"], BYTES)} the limit; over a day it is {c["day_bytes"] / 1e3:.2f} KB a second.

Times, reads and bytes of changes are those of [distribution.md](distribution.md): trials of the real reducer for a zone of
140 processes on a virtual clock, calculated for 31 zones.

The share of refusals: 1,000 restarts a day, {c["warming_seconds"]:.0f} s each in which the new process refuses keyed
requests, at {REQUESTS / ENGINES:.1f} requests a second and side if *every* request carried an idempotency key, of
{REQUESTS * 86400 / 1e6:.0f} million requests a day at the peak rate. That is a process started anew under the name of its
instance. An instance that is *replaced* changes the list, and its keys move: two windows, {2 * c["restart_share"]:.4%}, above the
aim if more than {1e-4 / (2 * c["restart_share"]):.0%} of all requests carry keys and every one of the 1,000 is a replacement.

Latency at the size (first token in 1.5 s, 71 ms between tokens) is the engines' own but for the time that entry and
side add: {p["added_ms_p50"]:.2f} ms in the median and {p["added_ms_p99"]:.2f} ms for 99 in 100 on loopback for a pipeline of
one stage; {p["four_stages_ms_p50"]:.2f} ms in the median for one of four. One core of an entry carries
{1e6 / p["entry_request_us"]:,.0f} short requests or {1e6 / p["entry_token_us"]:,.0f} tokens a second; 3,000 and 100,000 are aimed at.

## Slopes

All measured by `build/capacity` but where another command is named. Processor time of one thread unless said otherwise;
heap in use; bytes of frames.

### Endpoints in view of an entry

{table(d["endpoints"])}

Fit: {endpoint_heap:.0f} bytes an endpoint on top of {endpoint_base / 1e3:.0f} KB; {view_us:.2f} us an endpoint for each change of
the view.

### Workspaces in the document

{table(d["workspaces"])}

Fit: {document_bytes:.0f} bytes of text, {workspace_heap:.0f} bytes at an entry and {side_workspace_heap:.0f} bytes at a side for each
workspace; {apply_us:.2f} us a workspace to put a new version in force. Reading and checking the text is the reader's
(`build/distribution`, [distribution.md](distribution.md)).

### Requests in progress at an entry

Bodies of 1,000 bytes, four stages, 129 endpoints; `request us` is the decisions from arrival to answer.

{table(d["requests"])}

Fit: {request_heap:.0f} bytes a request in progress.

### Tokens relayed by an entry

Decoding and decisions of one piece of one token each, without the sockets.

{table(d["tokens"])}

### Records in the ledger of a side

{table(d["ledger"])}

Fit: {record_heap:.0f} bytes a finished record with a result of 400 bytes and a body of 1,000.

### Entries that hear the reports of a side

{table(d["subscribers"])}

Fit: {subscriber_us:.2f} us an entry and round.

### Messages between processes

Processor time of all threads of both ends together, over loopback. One at a time each message wakes both ends; in a
burst those that wait leave in one frame.

{table(d["transport"])}

### Whole processes

`scripts/measure.py` (started by `scripts/capacity.sh`); figures of one run.

| figure | value |
| --- | ---: |
| memory of an idle entry | {p["entry_idle_bytes"] / 1e6:.1f} MB |
| memory of an entry under load | {p["entry_loaded_bytes"] / 1e6:.1f} MB |
| memory of an idle side | {p["side_idle_bytes"] / 1e6:.1f} MB |
| memory of a side under load | {p["side_loaded_bytes"] / 1e6:.1f} MB |
| requests a second through one entry | {p["requests_per_second"]:,.0f} |
| processor time of the entry for a request | {p["entry_request_us"]:.0f} us |
| tokens a second relayed by one entry | {p["tokens_per_second"]:,.0f} |
| processor time of the entry for a token | {p["entry_token_us"]:.1f} us |
| added latency, median | {p["added_ms_p50"]:.2f} ms |
| added latency, 99 in 100 | {p["added_ms_p99"]:.2f} ms |
"""
    return lines


def main():
    text = page(json.loads(DATA.read_text()))
    if "--check" in sys.argv[1:]:
        if PAGE.read_text() != text:
            print("docs/capacity-sidecars.md is not what docs/capacity.json gives; run scripts/capacity.py")
            return 1
        return 0
    PAGE.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
