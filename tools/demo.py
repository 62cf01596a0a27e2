"""Demonstrate the system on loopback: weights, requests, orders, domain evacuation.

Exits with code 0 only if every check passed.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

from fleet import BIN, HERITAGE, Fleet, request_json

from shallotpath.bench import LoadGenerator, LoadResult, Request

TOKEN = "demo-token"
MODEL_BYTES = 16 * 1024**2
LOAD_RATE = 30.0
LOAD_SECONDS = 12.0
MAX_ORIGIN_COPIES = 1.5
OUT_DOMAIN = "twb-a"


class Demo:
    """Run the steps in order and record which checks failed."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.failures: list[str] = []

    def log(self, text: str) -> None:
        """Print a progress message."""
        print(text, flush=True)

    def check(self, held: bool, text: str) -> None:
        """Print the result of a check and record a failure."""
        self.log(f"  {'ok  ' if held else 'FAIL'} {text}")
        if not held:
            self.failures.append(text)

    def ctl(self, *arguments: str) -> str:
        """Run shallotctl as an operator would."""
        command = [BIN / "shallotctl", *arguments, "--platform"]
        command += [self.fleet.platform_url, "--operator", "demo", "--yes"]
        self.log(f"  $ shallotctl {' '.join(arguments)}")
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=60, check=False
        )
        if done.returncode:
            self.check(False, f"shallotctl: {done.stdout}{done.stderr}".strip())
        return done.stdout

    def run(self) -> None:
        """Run all steps."""
        self.start()
        self.configure()
        self.publish("1", "set-up")
        self.generate()
        self.order_twice()
        asyncio.run(self.domain_out_under_load())
        self.timeline()

    def start(self) -> None:
        """Start all processes."""
        self.fleet.plan()
        count = len(self.fleet.specs_by_id)
        self.log(f"Starting {count} processes; logs in {self.fleet.directory}")
        self.fleet.start_all()

    def configure(self) -> None:
        """Create domains, a team and services."""
        self.log("Configuration")
        for domain, region in HERITAGE.regions_by_domain.items():
            self.ctl("domains", "in", domain, "--region", region)
        self.ctl("teams", "put", "halls", "--token", TOKEN, "--max-in-flight", "200")
        self.ctl(
            *("services", "put", "kit-desk", "--kind", "plain"),
            *("--non-repeatable-path", "orders"),
        )
        self.ctl("services", "put", "archive-web", "--kind", "plain")
        self.ctl("services", "put", "fold-model", "--kind", "model", "--model", "fold")
        self.ctl("presets", "apply", "ordinary", "--wait")

    def publish(self, version: str, purpose: str) -> None:
        """Publish a version and wait until all replicas run it."""
        self.log(f"Weights: version {version} ({purpose})")
        self.ctl(
            *("versions", "publish", "fold", version),
            *("--size", "16MiB", "--chunk", "512KiB", "--region", "south"),
        )
        started = time.monotonic()
        self.ctl("services", "set-version", "fold-model", version)
        agents = [
            s for s in self.fleet.specs_by_id.values() if s.service == "fold-model"
        ]
        digest = self._digest(version)
        while time.monotonic() - started < 30:
            states = [request_json("GET", f"{a.http}/status") for a in agents]
            if all(state["digest"] == digest for state in states):
                break
            time.sleep(0.05)
        seconds = time.monotonic() - started
        loaded = sum(s["digest"] == digest for s in states)
        self.check(
            loaded == len(agents),
            f"{loaded} of {len(agents)} replicas run version {version} "
            f"after {seconds:.2f} s",
        )
        counters = request_json("GET", f"{self.fleet.platform_url}/faults")["counters"]
        copies = counters.get(f"origin_bytes/fold/{version}", 0) / MODEL_BYTES
        self.check(copies <= MAX_ORIGIN_COPIES, f"{copies:.2f} copies from the origin")

    def _digest(self, version: str) -> str:
        url = f"{self.fleet.platform_url}/versions/fold/{version}/manifest"
        return request_json("GET", url)["digest"]

    def generate(self) -> None:
        """Stream one answer and check each token."""
        self.log("A streamed answer")
        result = asyncio.run(self._generate())
        self.check(result.counts() == {"answered": 3}, f"outcomes {result.counts()}")

    async def _generate(self) -> LoadResult:
        async with LoadGenerator(lambda: self.fleet.entry_urls) as load:
            for index in range(3):
                await load.send(model_request(f"guide-{index}"))
            return await load.finish()

    def order_twice(self) -> None:
        """Send one order through two entries with one key."""
        self.log("An order sent twice with one key")
        replies = [self._order(url) for url in self.fleet.entry_urls[:2]]
        for reply in replies:
            self.log(f"  {reply}")
        runs = 0
        for spec in self.fleet.specs_by_id.values():
            if spec.service == "kit-desk":
                page = request_json("GET", f"{spec.engine_url}/faults")
                runs += sum(page["runs_by_key"].values())
        self.check(runs == 1, f"the order ran {runs} time(s)")

    def _order(self, url: str) -> str:
        request = urllib.request.Request(
            f"{url}/kit-desk/orders", b'{"kit": "crane"}', method="POST"
        )
        request.add_header("Authorization", f"Bearer {TOKEN}")
        request.add_header("Idempotency-Key", "order-1")
        try:
            with urllib.request.urlopen(request, timeout=15) as response:
                return f"{response.status} {response.read().decode()}"
        except urllib.error.HTTPError as error:
            return f"{error.code} {error.read().decode()}"

    async def domain_out_under_load(self) -> None:
        """Evacuate and restore a failure domain while requests arrive."""
        self.log(f"{OUT_DOMAIN} out and in under {LOAD_RATE:.0f} requests/s")
        async with LoadGenerator(lambda: self.fleet.entry_urls) as load:
            steps = asyncio.create_task(self._evacuate_and_restore())
            await load.steady(
                LOAD_RATE, LOAD_SECONDS, lambda i: model_request(f"load-{i}", 8)
            )
            await steps
            result = await load.finish()
        self.log(f"  outcomes {result.counts()} codes {result.codes()}")
        self.log(
            f"  p50 {result.percentile_ms(50)} ms, p99 {result.percentile_ms(99)} ms"
        )
        bad = [kind for kind in result.counts() if kind not in ("answered", "refused")]
        self.check(not bad, "no request lost, truncated or answered wrongly")
        answered = result.count("answered") / len(result.outcomes)
        self.check(answered == 1.0, f"{answered:.1%} answered")

    async def _evacuate_and_restore(self) -> None:
        await asyncio.sleep(LOAD_SECONDS / 4)
        await asyncio.to_thread(self.ctl, "domains", "out", OUT_DOMAIN, "--wait")
        await asyncio.sleep(2.0)
        before = self._runs(OUT_DOMAIN)
        await asyncio.sleep(2.0)
        self.check(
            self._runs(OUT_DOMAIN) == before, f"no new work in {OUT_DOMAIN} after 2 s"
        )
        await asyncio.to_thread(self.ctl, "domains", "in", OUT_DOMAIN, "--wait")

    def _runs(self, domain: str) -> int:
        runs = 0
        for spec in self.fleet.specs_by_id.values():
            if spec.domain == domain and spec.engine_url:
                page = request_json("GET", f"{spec.engine_url}/faults")
                runs += page["counters"].get("runs", 0)
        return runs

    def timeline(self) -> None:
        """Write the merged timeline of all processes."""
        self.log("Time line")
        urls = [spec.http for spec in self.fleet.specs_by_id.values() if spec.http]
        page = self.fleet.directory / "timeline.html"
        command = [BIN / "shallot-timeline", *urls]
        text = subprocess.run(
            command, capture_output=True, text=True, timeout=30, check=False
        )
        subprocess.run([*command, "--html", page], timeout=30, check=False)
        lines = text.stdout.splitlines()
        for line in lines[:6] + ["  ..."] + lines[-6:]:
            self.log(f"  {line}")
        self.check(text.returncode == 0, f"{len(lines)} events, as a page in {page}")

    def keep(self) -> None:
        """Leave the processes running and show how to use them."""
        entry = self.fleet.entry_urls[0]
        body = json.dumps({"prompt": "crane", "max_tokens": 8})
        self.log("The processes go on; stop them with Ctrl-C.")
        self.log(
            f"  curl -N -H 'Authorization: Bearer {TOKEN}' -d '{body}' "
            f"{entry}/fold-model/generate"
        )
        self.log(f"  .venv/bin/shallotctl status --platform {self.fleet.platform_url}")
        for spec in self.fleet.specs_by_id.values():
            if spec.http:
                self.log(f"  {spec.id}: {spec.http}/metrics")
        try:
            while True:
                time.sleep(1)
        except KeyboardInterrupt:
            return

    def stop(self) -> None:
        """Stop all processes gracefully, upstream processes last."""
        specs = self.fleet.specs_by_id
        running = self.fleet.processes_by_id
        nodes = [name for name in running if "node" in specs[name].sections]
        others = [name for name in running if "node" not in specs[name].sections]
        codes = self.fleet.terminate(*nodes)
        codes |= self.fleet.terminate(*others)
        bad = {name: code for name, code in codes.items() if code}
        self.check(
            not bad, f"all {len(codes)} processes stopped with exit code 0 {bad}"
        )


def model_request(prompt: str, tokens: int = 12) -> Request:
    """Return a request for a fold guide."""
    body = {"prompt": prompt, "max_tokens": tokens}
    return Request(prompt, "fold-model", "generate", body, TOKEN)


def main() -> int:
    """Run the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="leave it running")
    arguments = parser.parse_args()
    directory = Path(tempfile.mkdtemp(prefix="shallot-demo-"))
    demo = Demo(Fleet(HERITAGE, directory))
    started = time.monotonic()
    try:
        demo.run()
        if arguments.keep:
            demo.keep()
    finally:
        demo.stop()
    demo.log(f"Finished after {time.monotonic() - started:.1f} s")
    for failure in demo.failures:
        demo.log(f"FAILED: {failure}")
    return 1 if demo.failures else 0


if __name__ == "__main__":
    sys.exit(main())
