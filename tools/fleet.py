"""Start and stop a set of shallotpath processes on loopback, for demo and bench.

The programs themselves start no processes; this launcher starts them.
"""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

BIN = Path(sys.executable).parent
STOP_TIMEOUT_S = 30.0
PLATFORM_TIMEOUT_S = 30.0


@dataclass(slots=True, frozen=True)
class ServiceLayout:
    """Describe how many upstreams of a service each failure domain has."""

    service: str
    kind: str
    workers_by_domain: dict[str, int]
    engine_settings: dict[str, str] = field(default_factory=dict)
    agent_limits: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Layout:
    """Describe failure domains, entries and services."""

    regions_by_domain: dict[str, str]
    services: list[ServiceLayout]
    entries_per_domain: int = 1


# Domains and services of the demo customer, the Heritage Office; one entry per domain.
HERITAGE = Layout(
    regions_by_domain={"bne-a": "south", "twb-a": "south", "tsv-a": "north"},
    services=[
        ServiceLayout("fold-model", "model", {"bne-a": 2, "twb-a": 2, "tsv-a": 1}),
        ServiceLayout("kit-desk", "plain", {"bne-a": 1, "twb-a": 1, "tsv-a": 1}),
        ServiceLayout("archive-web", "plain", {"bne-a": 1}),
    ],
)


@dataclass(slots=True)
class ProcessSpec:
    """Describe one process, its settings and its addresses."""

    id: str
    program: str
    sections: dict[str, dict[str, str]]
    domain: str = ""
    http: str = ""
    engine_url: str = ""
    service: str = ""

    def ini(self) -> str:
        """Return the settings as INI text."""
        lines: list[str] = []
        for section, values in self.sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
            lines.append("")
        return "\n".join(lines)


@dataclass(slots=True)
class Fleet:
    """Hold the processes of one layout."""

    layout: Layout
    directory: Path
    specs_by_id: dict[str, ProcessSpec] = field(default_factory=dict)
    processes_by_id: dict[str, subprocess.Popen] = field(default_factory=dict)
    entry_urls: list[str] = field(default_factory=list)
    platform_url: str = ""
    profiled_ids: set[str] = field(default_factory=set)

    def plan(self) -> None:
        """Choose ports and write the settings files."""
        ports = PortAllocator()
        self._plan_platform(ports)
        seeds: list[str] = []
        for domain, region in self.layout.regions_by_domain.items():
            for index in range(self.layout.entries_per_domain):
                seeds.append(self._plan_entry(ports, domain, region, index))
        for service in self.layout.services:
            for domain, count in service.workers_by_domain.items():
                for index in range(count):
                    self._plan_upstream(ports, service, domain, index)
        for spec in self.specs_by_id.values():
            if "node" in spec.sections:
                spec.sections["peers"] = {"seeds": ", ".join(seeds)}
            path = self.directory / f"{spec.id}.ini"
            path.write_text(spec.ini(), encoding="utf-8")

    def start(self, *ids: str) -> None:
        """Start the named processes, or all that do not run."""
        for spec_id in ids or list(self.specs_by_id):
            process = self.processes_by_id.get(spec_id)
            if process is None or process.poll() is not None:
                self._start(self.specs_by_id[spec_id])

    def register(self, *ids: str) -> None:
        """Add VMs to the platform's list, as the platform itself would."""
        for spec_id in ids or list(self.specs_by_id):
            node = self.specs_by_id[spec_id].sections.get("node")
            if node is None:
                continue
            body = {
                "incarnation": node["vm_incarnation"],
                "address": f"tcp://{node['peer']}",
                "http": f"http://{node['http']}",
                "domain": node["domain"],
                "state": "live",
            }
            url = f"{self.platform_url}/vms/{spec_id}"
            request_json("PUT", url, body)

    def start_all(self) -> None:
        """Start all processes, the platform first, and wait until they answer."""
        self.start("platform")
        deadline = time.monotonic() + PLATFORM_TIMEOUT_S
        while not answers(f"{self.platform_url}/healthz"):
            if time.monotonic() > deadline:
                raise TimeoutError("the platform does not answer; read platform.log")
            time.sleep(0.05)
        self.register()
        self.start()
        self.wait_until_healthy()

    def wait_until_healthy(self, timeout_s: float = 30.0) -> None:
        """Wait until every process that serves `/healthz` answers."""
        deadline = time.monotonic() + timeout_s
        urls = [spec.http for spec in self.specs_by_id.values() if spec.http]
        urls += [spec.engine_url for spec in self.specs_by_id.values()]
        for url in filter(None, [self.platform_url, *urls]):
            while not answers(f"{url}/healthz"):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{url} does not answer; read the *.log files")
                time.sleep(0.05)

    def terminate(self, *ids: str) -> dict[str, int]:
        """Stop the named processes gracefully and return their exit codes."""
        chosen = list(ids or reversed(self.processes_by_id))
        for spec_id in chosen:
            process = self.processes_by_id[spec_id]
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        return {spec_id: self._wait(spec_id, deadline) for spec_id in chosen}

    def kill(self, spec_id: str) -> None:
        """Kill a process, to simulate the crash of a VM."""
        process = self.processes_by_id[spec_id]
        process.kill()
        process.wait()

    def signal(self, spec_id: str, number: signal.Signals) -> None:
        """Send a signal such as SIGSTOP to a process."""
        self.processes_by_id[spec_id].send_signal(number)

    def _wait(self, spec_id: str, deadline: float) -> int:
        process = self.processes_by_id[spec_id]
        try:
            return process.wait(max(0.1, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def _start(self, spec: ProcessSpec) -> None:
        log = (self.directory / f"{spec.id}.log").open("ab")
        command = [BIN / spec.program, "--config", self.directory / f"{spec.id}.ini"]
        if spec.id in self.profiled_ids:
            output = self.directory / f"{spec.id}.prof"
            command = [sys.executable, "-m", "cProfile", "-o", output, *command]
        self.processes_by_id[spec.id] = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def _plan_platform(self, ports: PortAllocator) -> None:
        address = ports.address()
        self.platform_url = f"http://{address}"
        self._add(
            ProcessSpec(
                "platform", "shallot-platform", {"platform": {"listen": address}}
            )
        )

    def _plan_entry(
        self, ports: PortAllocator, domain: str, region: str, index: int
    ) -> str:
        sections = self._node(ports, f"entry-{domain}-{index}", domain, region)
        listen = ports.address()
        sections["entry"] = {"listen": listen}
        self.entry_urls.append(f"http://{listen}")
        spec_id = sections["node"]["id"]
        http = f"http://{sections['node']['http']}"
        self._add(ProcessSpec(spec_id, "shallot-entry", sections, domain, http))
        return sections["node"]["peer"]

    def _plan_upstream(
        self, ports: PortAllocator, service: ServiceLayout, domain: str, index: int
    ) -> None:
        name = f"{service.service}-{domain}-{index}"
        listen = ports.address()
        engine = {"listen": listen, "service": service.service, "kind": service.kind}
        engine |= service.engine_settings
        self._add(
            ProcessSpec(f"engine-{name}", "shallot-engine", {"engine": engine}, domain)
        )
        region = self.layout.regions_by_domain[domain]
        sections = self._node(ports, f"agent-{name}", domain, region)
        sections["engine"] = {
            "url": f"http://{listen}",
            "service": service.service,
        }
        if service.agent_limits:
            sections["limits"] = dict(service.agent_limits)
        self._add(
            ProcessSpec(
                f"agent-{name}",
                "shallot-agent",
                sections,
                domain,
                f"http://{sections['node']['http']}",
                f"http://{listen}",
                service.service,
            )
        )

    def _node(
        self, ports: PortAllocator, name: str, domain: str, region: str
    ) -> dict[str, dict[str, str]]:
        return {
            "node": {
                "id": name,
                "vm_incarnation": f"{name}-vm-1",
                "domain": domain,
                "region": region,
                "peer": ports.address(),
                "bulk": ports.address(),
                "http": ports.address(),
            },
            "platform": {"url": self.platform_url, "vm_list_interval": "1s"},
        }

    def _add(self, spec: ProcessSpec) -> None:
        self.specs_by_id[spec.id] = spec


class PortAllocator:
    """Allocate loopback ports that are free at the time of the call.

    A port is found by binding port 0; SO_REUSEADDR lets the program bind it
    right after the probe has closed.
    """

    def __init__(self) -> None:
        self.used_: set[int] = set()

    def address(self) -> str:
        """Return a free loopback address."""
        while True:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                port = probe.getsockname()[1]
            if port not in self.used_:
                self.used_.add(port)
                return f"127.0.0.1:{port}"


def request_json(method: str, url: str, body: dict | None = None) -> dict:
    """Send a JSON request on loopback and return the JSON answer."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data, method=method)
    request.add_header("Content-Type", "application/json")
    with urllib.request.urlopen(request, timeout=10) as response:
        return json.loads(response.read())


def answers(url: str) -> bool:
    """Check whether a URL answers with success."""
    try:
        with urllib.request.urlopen(url, timeout=1):
            return True
    except OSError:
        return False
