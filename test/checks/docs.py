"""Checks that what the pages name exists: links, scripts, flags, subcommands, metrics and tests.

usage: docs.py BUILD_FOLDER
"""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PROGRAMS = ["bergamottide-entry", "bergamottide-side", "bergamottidectl", "bergamottide-platform"]


def pages():
    return [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


def broken_links(page, text):
    for target in re.findall(r"\]\(([^)#]+?)(?:#[^)]*)?\)", text):
        if not target.startswith("http") and not (page.parent / target).exists():
            yield f"link to {target}"


def missing_paths(text):
    for path in re.findall(r"`((?:scripts|examples|src|test|docs|bench)/[\w./-]+)`", text):
        full = ROOT / path
        if not full.exists() and not list(full.parent.glob(full.name + ".*")):
            yield f"path {path}"
    for path in re.findall(r"^\s*(scripts/[\w.-]+)", text, re.M):
        if not (ROOT / path).exists():
            yield f"script {path}"


def unknown_flags(text, flags):
    for line in re.findall(r"^.*(?:bergamottide-entry|bergamottide-side|bergamottidectl|bergamottide-platform).*$", text, re.M):
        for program in PROGRAMS:
            if program not in line:
                continue
            command = line[line.index(program):].split("#")[0]
            for flag in re.findall(r"--([a-z_]+)", command):
                if flag not in flags[program]:
                    yield f"{program} --{flag}"


def unknown_subcommands(text, subcommands):
    for line in re.findall(r"`(bergamottidectl [^`]+)`", text) + re.findall(r"^(bergamottidectl .*)$", text, re.M):
        words = [word for word in line.split("#")[0].split()[1:] if not word.startswith("-")]
        if words and words[0] not in subcommands:
            yield f"bergamottidectl {words[0]}"


def unknown_metrics(text, metrics):
    for metric in re.findall(r"\b(bergamottide_[a-z_]+_(?:total|seconds|version|depth|progress|records))\b", text):
        if metric not in metrics:
            yield f"metric {metric}"


def unknown_tests(text, tests):
    for suite, name in re.findall(r"`(\w+Test)::(\w+)`", text):
        if f"{suite}::{name}" not in tests:
            yield f"test {suite}::{name}"


def flags_of(program):
    source = next((ROOT / "src").glob(f"*/{program}.cpp"), ROOT / "platform/main.cpp")
    return set(re.findall(r"DEFINE_\w+\(\s*(\w+)", source.read_text())) | {"help"}


def output(*command):
    return subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False).stdout


def main():
    build = pathlib.Path(sys.argv[1])
    flags = {program: flags_of(program) for program in PROGRAMS}
    subcommands = set(re.findall(r"^  ([a-z]+)\b", output(build / "bergamottidectl", "help"), re.M)) | {"help"}
    metrics = set(re.findall(r'"(bergamottide_[a-z_]+)"', (ROOT / "src/bergamottide/telemetry/metric.h").read_text()))
    tests = set()
    for program in ("bergamottide_test", "bergamottide_processtest"):
        tests.update(output(build / program, "--list").split())
    problems = []
    for page in pages():
        text = page.read_text()
        found = [*broken_links(page, text), *missing_paths(text), *unknown_flags(text, flags),
                 *unknown_subcommands(text, subcommands), *unknown_metrics(text, metrics), *unknown_tests(text, tests)]
        problems += [f"{page.relative_to(ROOT)}: {problem}" for problem in found]
    print("\n".join(problems) if problems else f"{len(pages())} pages name only what exists")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
