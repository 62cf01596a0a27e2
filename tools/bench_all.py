"""Run all experiments one after the other and write docs/BENCHMARKS.md."""

from __future__ import annotations

import json
import os
import platform
import subprocess
import sys
import time
from datetime import UTC, datetime
from pathlib import Path

from fleet import BIN

TOOLS = Path(__file__).parent
BENCH = BIN / "shallot-bench"
COMMANDS = {
    "weights": [BENCH, "weights"],
    "domain": [BENCH, "domain"],
    "burst": [BENCH, "burst"],
    "slow": [BENCH, "slow"],
    "claims": [BENCH, "claims"],
    "config": [BENCH, "config"],
    "overhead (one process for each program)": [
        *(sys.executable, TOOLS / "overhead.py"),
    ],
    "core": [BENCH, "core"],
}
TIMEOUT_S = 300
PAGE = Path(__file__).parents[1] / "docs" / "BENCHMARKS.md"


def main() -> int:
    """Run the experiments; return 1 if one did not finish."""
    sections = [header()]
    failed = False
    for name, command in COMMANDS.items():
        print(name, flush=True)
        started = time.monotonic()
        done = subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        seconds = time.monotonic() - started
        lines = done.stdout.strip().splitlines()
        if done.returncode or not lines:
            failed = True
            sections.append(f"## {name}\n\nDid not finish: exit {done.returncode}.\n")
            continue
        sections.append(section(name, json.loads(lines[-1]), seconds))
        PAGE.write_text("\n".join(sections), encoding="utf-8")
    return int(failed)


def header() -> str:
    """Return date, commit and machine."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    ).stdout.strip()
    now = datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC")
    return (
        "# Benchmarks\n\n"
        f"Written by `make bench` on {now} at commit {commit}, "
        f"{os.cpu_count()} cores, {platform.machine()}, "
        f"Python {platform.python_version()}. Load at the start: "
        f"{os.getloadavg()[0]:.1f}. Keys that start with `naive` are the baseline of "
        "the same run. Targets are in section 12 of `docs/design.md`. Worth per day on "
        "the users' sites: [BENCHMARKS-platform.md](BENCHMARKS-platform.md).\n"
    )


def section(name: str, result: dict, seconds: float) -> str:
    """Return one result as a table."""
    rows = "\n".join(
        f"| `{key}` | {json.dumps(value)} |" for key, value in result.items()
    )
    return f"## {name}\n\nTook {seconds:.0f} s.\n\n| key | value |\n|---|---|\n{rows}\n"


if __name__ == "__main__":
    sys.exit(main())
