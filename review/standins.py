"""Stand-ins for the platform that the cases share: store, workers, clients, machines.

They follow the pages of the users' platform. A case starts the programs of the deploy
file through `Machine`, one process each, and judges only what workers and clients see.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import uuid
from contextlib import suppress
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
OPERATOR_TOPIC = "keyed.op"
SERVER_TOPIC = "keyed.servers"
HEARTBEAT_S = 1.2
MODEL = "m0"
LAYERS, PIECES, PIECE_BYTES = 16, 96, 24576
STORE_DELAY_S = 0.004
# Bounds of the settings, as on the sheets of the small sites.
DRAIN_S = 2.0
CONTACT_S = 3.0
START_LIMIT_S = 15.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """Report that a case could not run."""


class Record:
    """Write what was sent, answered and run to a file, with the time since start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", buffering=1)
        self.started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")


class Store:
    """Keep keyed topics as a log and serve them over HTTP."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.changed = asyncio.Event()
        self.polls: dict[str, float] = {}
        self.runners: list[web.ServerRunner] = []

    async def listen(self, machine: str, port: int) -> None:
        """Serve one machine on a port of its own, so that its reads are known."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._answer(machine, request)

        runner = web.ServerRunner(web.Server(handle), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, HOST, port).start()
        self.runners.append(runner)

    async def close(self) -> None:
        """Close all listeners."""
        for runner in self.runners:
            await runner.cleanup()

    def put(self, topic: str, key: str, value: object | bytes | None) -> None:
        """Append a record; it is acknowledged at once."""
        if value is None:
            data = b""
        else:
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.topics.setdefault(topic, []).append((key, data))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _answer(
        self, machine: str, request: web.BaseRequest
    ) -> web.StreamResponse:
        await asyncio.sleep(STORE_DELAY_S)
        topic = request.query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if request.path == "/log-newest":
            return web.json_response(self._newest(records))
        if request.path == "/log-read":
            self.polls[f"{machine} {topic}"] = self.record.now()
            return await self._read(request, topic)
        if request.path == "/log-append" and topic not in (
            OPERATOR_TOPIC,
            SERVER_TOPIC,
        ):
            body, offset = await request.read(), len(records)
            while body:
                size = int.from_bytes(body[:4], "big")
                content, body = body[4 : 4 + size], body[4 + size :]
                key = content[1 : 1 + content[0]].decode()
                self.put(topic, key, content[1 + content[0] :])
            return web.json_response({"offset": offset, "end": len(records)})
        return web.Response(status=403 if request.path == "/log-append" else 404)

    @staticmethod
    def _newest(records: list[tuple[str, bytes]]) -> dict[str, object]:
        newest = {key: (value, n) for n, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": n}
            for key, (value, n) in sorted(newest.items())
            if value
        ]
        return {"items": items, "hasMore": False, "end": len(records)}

    async def _read(self, request: web.BaseRequest, topic: str) -> web.Response:
        start = int(request.query["from"])
        wait_s = min(int(request.query.get("waitMs", "0")), 30000) / 1000
        records = self.topics[topic]
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while len(records) <= start:
                    await self.changed.wait()
        body = len(records).to_bytes(8, "big") + bytes(8)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += len(content).to_bytes(4, "big") + content
        return web.Response(body=body)


class Worker:
    """Register in the store and serve requests of one service."""

    def __init__(
        self,
        store: Store,
        *,
        service: str,
        zone: str,
        port: int,
        slots: int = 6,
        models: list[dict[str, object]] | None = None,
    ) -> None:
        self.store, self.record = store, store.record
        self.service, self.zone, self.port = service, zone, port
        self.slots, self.models = slots, models or []
        self.id = f"i-{uuid.uuid4().hex[:10]}"
        self.state, self.sequence = "ready", 0
        self.registered = True
        self.born = int(time.time() * 1000)
        # Times at which the requests that it ran arrived, with the sending machine.
        self.runs: list[tuple[float, str, str]] = []
        self.active = 0
        self.runner: web.ServerRunner | None = None
        self.beat_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, register and write heartbeats."""
        self.runner = web.ServerRunner(
            web.Server(self._handle, handler_cancellation=True), shutdown_timeout=0.1
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, self.port).start()
        self.beat_task = asyncio.create_task(self._beat())

    def entry(self) -> dict[str, object]:
        """Return the entry of the worker, with the next sequence number."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "models": self.models,
            "seq": self.sequence,
            "born": self.born,
        }

    def register(self) -> None:
        """Write the entry."""
        self.store.put(SERVER_TOPIC, self.id, self.entry())

    async def _beat(self) -> None:
        while self.registered:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def deregister(self) -> None:
        """Remove the entry; the worker serves on until it ends."""
        self.registered = False
        self.beat_task.cancel()
        self.store.put(SERVER_TOPIC, self.id, None)
        self.record.write(f"store acknowledged: {self.id} is gone from the list")

    def drain(self) -> None:
        """Report that the worker is leaving; the store acknowledges it."""
        self.state = "draining"
        self.register()
        self.record.write(f"store acknowledged: {self.id} is draining")

    async def stop(self) -> None:
        """End the worker."""
        if self.beat_task is not None:
            self.beat_task.cancel()
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    async def crash(self) -> None:
        """End at once: all connections are reset and the entry stays behind."""
        self.registered = False
        self.beat_task.cancel()
        for connection in self.runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        self.record.write(f"worker {self.id} crashes")
        runner, self.runner = self.runner, None
        await runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get("Shallotpath-Request-Id", "")
        headers = {"Shallotpath-Request-Id": request_id}
        if request.headers.get("Shallotpath-Expect-Instance") not in (None, self.id):
            headers["Shallotpath-Instance-Id"] = self.id
            return web.Response(status=421, headers=headers)
        if self.active >= self.slots:
            headers["Shallotpath-Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)
        await request.read()
        sender = request_id.partition("-")[0]
        self.runs.append((self.record.now(), sender, request_id))
        self.record.write(f"worker {self.id} runs {request_id}")
        self.active += 1
        try:
            headers["Shallotpath-Server-Seal"] = f"seal-{self.id}"
            return await self.answer(request, headers)
        finally:
            self.active -= 1

    async def answer(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Do the work of a request and answer it."""
        await asyncio.sleep(0.02)
        return web.Response(body=b"done", headers=headers)


class Machine:
    """Run a program of the deploy file as a separate process."""

    PROGRAMS = {"edge": "shallotpath.cli.edge", "mate": "shallotpath.cli.mate"}

    def __init__(
        self,
        name: str,
        *,
        zone: str,
        zones: dict[str, str],
        store_port: int,
        folder: Path,
        record: Record,
        engine: str = "",
    ) -> None:
        self.name, self.zone, self.folder, self.record = name, zone, folder, record
        # Address of the worker on the same machine; empty for an entry process.
        self.engine = engine
        self.zones, self.store_port = zones, store_port
        self.front, self.ready_port, self.control, self.peer = free_ports_once(4)
        self.process: asyncio.subprocess.Process | None = None
        # When it was last started, killed or stopped.
        self.disturbed_at = 0.0

    def settings(self) -> str:
        """Return the settings file, as for a machine of a small site."""
        role, machine_class, serves = ("edge", "edge", "edge,control")
        if self.engine:
            role, machine_class, serves = ("mate", "side", "side")
        lines = [
            f"node={self.name}",
            f"role={role}",
            f"class={machine_class}",
            f"serves={serves}",
            f"ip={HOST}",
            f"zone={self.zone}",
            f"region={self.zones[self.zone]}",
            *(f"zones.{zone}={region}" for zone, region in self.zones.items()),
            *self._role_lines(),
            f"internalPorts={self.peer},{self.peer}",
            f"seeds={HOST}:{self.control}",
            "heartbeatMs=1200",
            f"bounds.contactMs={CONTACT_S * 1000:.0f}",
            f"bounds.drainMs={DRAIN_S * 1000:.0f}",
            "bounds.graceS=8",
            "bounds.configApplyMs=2000",
            "bounds.budgetRatio=0.2",
            "bounds.budgetWindowS=10",
            "bounds.budgetExtra=102",
            "bounds.coldExcess=1.5",
            "bounds.coldSlack=5",
            "bounds.evacuateMs=5000",
            "bounds.version_ms=8000",
            f"platform.address={HOST}:{self.store_port}",
            "platform.form=log",
        ]
        return "\n".join(lines) + "\n"

    def _role_lines(self) -> list[str]:
        if self.engine:
            limits = ["limits.memoryMb=168", "limits.linkMbps=3.65"]
            return [f"app={self.engine}", "service=llm", *limits]
        return [
            f"listen.front={HOST}:{self.front}",
            f"listen.ready={HOST}:{self.ready_port}",
            f"listen.control={HOST}:{self.control}",
            "limits.memoryMb=300",
            "limits.linkMbps=1000.0",
        ]

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.folder / f"{self.name}.conf"
        path.write_text(self.settings())
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
            "SHALLOTPATH_CONFIG": str(path),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self.PROGRAMS["mate" if self.engine else "edge"],
                env=environment,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.disturbed_at = self.record.now()
        self.record.write(f"{self.name} starts")

    async def kill(self) -> None:
        """Kill the process."""
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.disturbed_at = self.record.now()
        self.record.write(f"{self.name} is killed")

    def freeze(self) -> None:
        """Stop the process until `wake`."""
        self.process.send_signal(signal.SIGSTOP)
        self.record.write(f"{self.name} is frozen")

    def wake(self) -> None:
        """Let the process go on."""
        self.process.send_signal(signal.SIGCONT)
        self.disturbed_at = self.record.now()
        self.record.write(f"{self.name} wakes")

    async def end(self) -> None:
        """End the process at the end of a case."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def wait_until_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait for a successful readiness probe."""
        url = f"http://{HOST}:{self.ready_port}/ready"
        ends = time.monotonic() + START_LIMIT_S
        while time.monotonic() < ends:
            with suppress(aiohttp.ClientError, OSError):
                async with session.get(url) as response:
                    if response.status == web.HTTPOk.status_code:
                        self.record.write(f"{self.name} is ready")
                        return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} did not get ready")

    def in_touch(self, at: float) -> bool:
        """Check whether it ran undisturbed for `contactMs` before a time."""
        return at - self.disturbed_at >= CONTACT_S


_GIVEN_PORTS: set[int] = set()
# Below the range of outgoing connections.
PORT_RANGE = (20000, 32000)


def free_ports_once(count: int) -> list[int]:
    """Return free ports that were not given out before."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as probe, suppress(OSError):
            if port not in _GIVEN_PORTS:
                probe.bind((HOST, port))
                _GIVEN_PORTS.add(port)
                found.append(port)
    return found


class Clients:
    """Send requests of one route to machines at a constant rate."""

    def __init__(self, record: Record, session: aiohttp.ClientSession) -> None:
        self.record, self.session = record, session
        self.tasks: set[asyncio.Task] = set()
        self.count = 0

    async def send(  # noqa: PLR0917
        self,
        machine: Machine,
        method: str,
        path: str,
        host: str,
        headers: dict[str, str] | None = None,
        deadline_ms: int = 4000,
    ) -> tuple[int, bytes]:
        """Send one request and return its status and body, 0 if there is none."""
        self.count += 1
        request_id = f"{machine.name}-{self.count:06d}"
        sent = {
            "Host": host,
            "Shallotpath-Request-Id": request_id,
            "Shallotpath-Deadline-Ms": str(deadline_ms),
            "X-Api-Key": "key-of-the-case",
        } | (headers or {})
        url = f"http://{HOST}:{machine.front}{path}"
        self.record.write(f"client sends {request_id} to {machine.name}: {method}")
        status, body = 0, b""
        # No two requests are alike.
        body_sent = request_id.encode() if method == "POST" else None
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000)
            async with self.session.request(
                method, url, headers=sent, timeout=timeout, data=body_sent
            ) as response:
                status = response.status
                body = await response.read()
        self.record.write(f"client gets {status or 'no answer'} for {request_id}")
        return status, body

    def start(self, *args, **kwargs) -> None:
        """Send one request in the background."""
        task = asyncio.create_task(self.send(*args, **kwargs))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def press(self, machine: Machine, interval_s: float, *args, **kwargs) -> None:
        """Send requests to a machine until cancelled."""
        while True:
            if machine.process is not None and machine.process.returncode is None:
                self.start(machine, *args, **kwargs)
            await asyncio.sleep(interval_s)


def configuration(
    routes: list[dict[str, object]], services: list[dict[str, object]]
) -> dict[str, object]:
    """Return a configuration with one tenant."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    tenant = {
        "name": "team",
        "apiKeys": ["key-of-the-case"],
        "priority": 1,
        "allowedRegions": [],
    }
    return {
        "version": 1,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": [tenant],
    }


def plain_route(service: str) -> dict[str, object]:
    """Return a route whose requests may be repeated."""
    return {
        "name": "r-desk",
        "host": "desk.example",
        "pathPrefix": "/desk/",
        "kind": "idempotent",
        "timeoutMs": 4000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "allowedRegions": [],
    }


def plain_service(name: str) -> dict[str, object]:
    """Return a service without engines."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": 100,
        "protocol": "h1",
        "tls": False,
        "coldS": 0.0,
        "coldPerS": 0.0,
    }


def engine_service() -> dict[str, object]:
    """Return the service of the engines."""
    engine = {
        "slots": 16,
        "kvTokens": 317000,
        "stride": 5,
        "models": [{"name": MODEL, "pace": 1.0, "loadS": 4.0, "warmS": 0.3}],
        "step_ms": 9.27,
        "per_seq_ms": 0.0232,
        "context_per_k": 0.0322,
        "read_per_s": 20700.0,
        "pairs_per_m": 1.18,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 979, "answer": 92},
        "layers": LAYERS,
        "layer_mb": 4090.0,
        "chunks": PIECES,
        "chunkBytes": PIECE_BYTES,
    }
    return {
        "name": "llm",
        "healthPath": "/health",
        "maxConns": 294,
        "coldS": 3.0,
        "coldPerS": 26.0,
        "engine": engine,
    }


def engine_route() -> dict[str, object]:
    """Return the streaming route."""
    return {
        "name": "r-guide",
        "host": "guide.example",
        "pathPrefix": "/guide/",
        "kind": "streaming",
        "timeoutMs": 6000,
        "targetLatencyMs": 506,
        "priority": 1,
        "service": "llm",
        "maxAttempts": 2,
        "public": False,
        "sticky": True,
        "canResume": True,
        "gapTargetMs": 400,
        "allowedRegions": [],
    }


class DeskFleet:
    """Run two entry processes of one zone and workers of a plain service."""

    SERVICE = "desk"
    ZONES = {"a-1": "a", "b-1": "b"}
    # A worker serves for `drainMs` and a little longer after its entry is removed.
    LINGER_S = 3.0
    REQUEST_INTERVAL_S = 0.05

    def __init__(self, record: Record, folder: Path) -> None:
        self.record, self.folder = record, folder
        self.store = Store(record)
        self.machines: list[Machine] = []
        self.workers: list[Worker] = []
        self.tasks: list[asyncio.Task] = []

    async def start(self, session: aiohttp.ClientSession, workers: int) -> None:
        """Start everything, and clients that press both entry processes."""
        routes = [plain_route(self.SERVICE)]
        services = [plain_service(self.SERVICE)]
        self.store.put(OPERATOR_TOPIC, "config", configuration(routes, services))
        for _ in range(workers):
            await self.add_worker()
        for name in ("edge1", "edge2"):
            (port,) = free_ports_once(1)
            await self.store.listen(name, port)
            machine = Machine(
                name,
                zone="a-1",
                zones=self.ZONES,
                store_port=port,
                folder=self.folder,
                record=self.record,
            )
            self.machines.append(machine)
            await machine.start()
        for machine in self.machines:
            await machine.wait_until_ready(session)
        clients = Clients(self.record, session)
        request = ("GET", "/desk/orders", "desk.example")
        for machine in self.machines:
            pressing = clients.press(machine, self.REQUEST_INTERVAL_S, *request)
            self.tasks.append(asyncio.create_task(pressing))

    async def add_worker(self) -> None:
        """Start one more worker."""
        (port,) = free_ports_once(1)
        worker = Worker(self.store, service=self.SERVICE, zone="a-1", port=port)
        await worker.start()
        self.workers.append(worker)

    def take_leaver(self) -> Worker:
        """Return the oldest worker, which has to get requests."""
        leaver = self.workers.pop(0)
        if not any(at > self.record.now() - 2 for at, _, _ in leaver.runs):
            raise CaseError("the worker that is to leave got no requests")
        return leaver

    async def count_late_arrivals(self, leaver: Worker, removed_at: float) -> int:
        """Let a worker serve on, end it, and count what reached it too late."""
        await asyncio.sleep(DRAIN_S + self.LINGER_S)
        await leaver.stop()
        self.record.write(f"worker {leaver.id} ends")
        by_name = {machine.name: machine for machine in self.machines}
        late = 0
        for at, sender, request_id in leaver.runs:
            if at - removed_at > DRAIN_S and by_name[sender].in_touch(at):
                late += 1
                self.record.write(
                    f"DRAIN: {request_id} reached {leaver.id} from {sender} "
                    f"{(at - removed_at) * 1000:.0f} ms after its removal"
                )
        return late

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            await machine.end()
        for worker in self.workers:
            await worker.stop()
        await self.store.close()


def run_case(name: str, case) -> int:
    """Run a case in a temporary folder and return its exit code."""
    # Ends the processes of the case if its time limit is reached.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    record = Record(ROOT / "review" / name / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"case {name}, with the disruption: {trouble}")
    code = NOT_RUN
    try:
        code = asyncio.run(case(record, folder, trouble))
    except SystemExit:
        record.write("the time limit was reached")
        raise
    except (CaseError, OSError, TimeoutError) as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the programs: {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record.write(f"exit code {code}")
    return code
