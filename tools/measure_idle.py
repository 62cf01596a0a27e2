"""Measure the CPU time and memory of idle entry and agent processes."""

from __future__ import annotations

import json
import os
import sys
import tempfile
import time
from pathlib import Path

from demo import Demo
from fleet import HERITAGE, Fleet, Layout, ServiceLayout

SETTLE_S = 12.0
MEASURE_S = 15.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


def layout(scale: int) -> Layout:
    """Return the layout of the demo with `scale` times the upstreams."""
    services = [
        ServiceLayout(
            service.service,
            service.kind,
            {d: n * scale for d, n in service.workers_by_domain.items()},
        )
        for service in HERITAGE.services
    ]
    return Layout(HERITAGE.regions_by_domain, services, scale)


def sample(pid: int) -> tuple[float, int]:
    """Return the processor seconds and resident kilobytes of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    seconds = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return seconds, pages * PAGE_KB


def measure(scale: int) -> dict:
    """Start a layout, configure it and measure it without load."""
    demo = Demo(Fleet(layout(scale), Path(tempfile.mkdtemp(prefix="shallot-idle-"))))
    try:
        demo.start()
        demo.configure()
        demo.publish("1", "set-up")
        time.sleep(SETTLE_S)
        pids = {
            name: process.pid
            for name, process in demo.fleet.processes_by_id.items()
            if name.startswith(("entry", "agent"))
        }
        before = {name: sample(pid) for name, pid in pids.items()}
        time.sleep(MEASURE_S)
        after = {name: sample(pid) for name, pid in pids.items()}
        return {
            "processes": len(pids),
            **summarise("entry", before, after),
            **summarise("agent", before, after),
        }
    finally:
        demo.stop()


def summarise(role: str, before: dict, after: dict) -> dict:
    """Return the mean share of a core and the highest memory of a role."""
    names = [name for name in before if name.startswith(role)]
    used = [after[name][0] - before[name][0] for name in names]
    return {
        f"{role}_core_share": round(sum(used) / len(used) / MEASURE_S, 4),
        f"{role}_resident_mb": round(max(after[n][1] for n in names) / 1024, 1),
    }


if __name__ == "__main__":
    for size in map(int, sys.argv[1:] or ["1"]):
        print(json.dumps({"scale": size, **measure(size)}), flush=True)
