#!/usr/bin/env python3
"""Writes docs/MEASUREMENTS.md, the log of rounds, from the notes of the commits.

Each round is one commit whose note gives cause, change, figures and conclusion; failed tries are among them.
"""
import pathlib
import re
import subprocess

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEAD = """# Log of rounds

Written by `scripts/measurements.py` from the notes of the commits that give figures, oldest first; failed tries and what
did not help are among them. Figures are those of the run that the note names, most of them on a machine busy with other
work; the present state is in [policy.md](policy.md), [exploration.md](exploration.md), [distribution.md](distribution.md)
and [CAPACITY.md](CAPACITY.md).
"""


def main():
    log = subprocess.run(["git", "log", "--no-merges", "--reverse", "--format=%x1e%h%x1f%s%x1f%b"], cwd=ROOT,
                         stdout=subprocess.PIPE, text=True, check=True).stdout
    text = HEAD
    for entry in log.split("\x1e")[1:]:
        short, subject, body = entry.split("\x1f")
        if not re.search(r"^Figures: (?!none)", body, re.M):
            continue
        paragraphs = re.sub(r"\n(?!(?:Cause|Change|Figures|Conclusion|Tried|Ruled out))", " ", body.strip())
        text += f"\n## {subject} ({short})\n\n"
        text += "\n".join(f"- **{line.split(':', 1)[0]}:**{line.split(':', 1)[1]}" if ":" in line else f"- {line}"
                          for line in paragraphs.splitlines()) + "\n"
    (ROOT / "docs" / "MEASUREMENTS.md").write_text(text)


if __name__ == "__main__":
    main()
