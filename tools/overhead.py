"""Measure the overhead of entry and agent, with one process for each program.

Prints the result of `shallot-bench overhead`, whose last line is a JSON object.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from fleet import BIN, Fleet, Layout, ServiceLayout, request_json

TOKEN = "overhead-token"
DOMAIN = "bne-a"
AGENTS = 4
READY_TIMEOUT_S = 30.0
LAYOUT = Layout(
    regions_by_domain={DOMAIN: "south"},
    services=[
        ServiceLayout(
            "fold-model",
            "model",
            {DOMAIN: AGENTS},
            # The engines must not be the bottleneck.
            engine_settings={
                "token_interval": "20ms",
                "max_running": "256",
                "cold_running": "256",
                "memory": "1GiB",
            },
            agent_limits={"cold_limit": "64"},
        )
    ],
)
CONFIGURATION = [
    ["domains", "in", DOMAIN, "--region", "south"],
    ["teams", "put", "halls", "--token", TOKEN, "--max-in-flight", "500"],
    ["services", "put", "fold-model", "--kind", "model", "--model", "fold"],
    ["presets", "apply", "ordinary", "--wait"],
    [
        *("versions", "publish", "fold", "1", "--size", "256KiB"),
        *("--chunk", "64KiB", "--region", "south"),
    ],
    ["services", "set-version", "fold-model", "1"],
]


def configure(fleet: Fleet) -> None:
    """Create the service and wait until all replicas run its version."""
    for arguments in CONFIGURATION:
        command = [BIN / "shallotctl", *arguments, "--platform", fleet.platform_url]
        command += ["--operator", "overhead", "--yes"]
        subprocess.run(command, check=True, timeout=60, stdout=subprocess.DEVNULL)
    deadline = time.monotonic() + READY_TIMEOUT_S
    while not all(
        request_json("GET", f"{url}/status")["digest"] for url in agent_urls(fleet)
    ):
        if time.monotonic() > deadline:
            raise TimeoutError("the weights do not arrive; read the *.log files")
        time.sleep(0.1)


def agent_urls(fleet: Fleet) -> list[str]:
    """Return the operators' URLs of the agents."""
    return [spec.http for spec in fleet.specs_by_id.values() if spec.service]


def measure(fleet: Fleet, seconds: float, seed: int) -> int:
    """Run the benchmark against the processes and return its exit code."""
    entry = fleet.specs_by_id[f"entry-{DOMAIN}-0"]
    command = [BIN / "shallot-bench", "overhead", "--entry", fleet.entry_urls[0]]
    command += ["--token", TOKEN, "--entry-metrics", entry.http]
    command += ["--seconds", str(seconds), "--seed", str(seed)]
    for spec in fleet.specs_by_id.values():
        if spec.service:
            command += ["--direct", spec.engine_url, "--agent-metrics", spec.http]
    return subprocess.run(command, check=False, timeout=seconds * 2 + 90).returncode


def stop(fleet: Fleet) -> bool:
    """Stop entry and agents, then the others; return whether all exited with 0."""
    running = list(fleet.processes_by_id)
    nodes = [name for name in running if "node" in fleet.specs_by_id[name].sections]
    codes = fleet.terminate(*nodes)
    codes |= fleet.terminate(*(name for name in running if name not in nodes))
    return not any(codes.values())


def main() -> int:
    """Start the processes, measure and stop them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--profile", action="store_true", help="profile entry and one agent"
    )
    arguments = parser.parse_args()
    directory = Path(tempfile.mkdtemp(prefix="shallot-overhead-"))
    fleet = Fleet(LAYOUT, directory)
    if arguments.profile:
        fleet.profiled_ids = {f"entry-{DOMAIN}-0", f"agent-fold-model-{DOMAIN}-0"}
        print(f"profiles are written to {directory}", file=sys.stderr)
    fleet.plan()
    try:
        fleet.start_all()
        configure(fleet)
        code = measure(fleet, arguments.seconds, arguments.seed)
    finally:
        stopped = stop(fleet) if fleet.processes_by_id else True
    return code or int(not stopped)


if __name__ == "__main__":
    sys.exit(main())
