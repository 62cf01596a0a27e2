"""Callers that exceed what a listener can hold, and processes that they call."""

import asyncio
import os
import resource
import socket
import sys
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from itertools import cycle

from aiohttp import ClientSession

from shallotpath.cli.ctl import run as run_ctl
from shallotpath.fleet.tests.processes import free_ports, make_config, make_server
from shallotpath.fleet.tests.standins import HOST, Log, StoreStandIn, listen
from shallotpath.forwarding.tests.helpers import Upstream, reply
from shallotpath.platform import OPERATOR_TOPIC, UPSTREAM_TOPIC
from shallotpath.standins import EngineApp, PlatformApp, serve

MEMORY_MB = 160
MAX_DESCRIPTORS = 500
# The platform's machines reserve this many of a process's descriptors for files.
FILE_DESCRIPTORS = 200
BODY_BYTES = 4 * 1024 * 1024
ENTRY_BODY_BYTES = 1024 * 1024
LARGE_ANSWER = b"a" * (1024 * 1024)
KEY = "key-of-the-team"
# Time for which a crowd sends, unless it is done before.
CROWD_S = 4.0
ATTEMPTS = 3
ATTEMPT_TIMEOUT_S = 10
START_TIMEOUT_S = 20
SMALL_BUFFER_BYTES = 4096
PIECE_BYTES = 64 * 1024


def head(target, extra, key):
    """Return the head of a request without its last line."""
    field = target.key_field + (KEY if key == "valid" else "wrong")
    keys = [] if key == "none" else [field]
    lines = [f"{target.method} {target.path} HTTP/1.1", "Host: h.example"]
    return "\r\n".join([*lines, *keys, *extra, ""]).encode()


def whole_body(target, key):
    """Yield a body of the largest legal size but for its last byte."""
    length = f"Content-Length: {target.body_bytes}"
    yield head(target, [length], key) + b"\r\n"
    yield b"a" * (target.body_bytes - 1)


def pieces(target, key):
    """Yield the same body in chunks, without the last one."""
    yield head(target, ["Transfer-Encoding: chunked"], key) + b"\r\n"
    for _ in range(target.body_bytes // PIECE_BYTES - 1):
        yield b"%x\r\n%s\r\n" % (PIECE_BYTES, b"a" * PIECE_BYTES)


def single_bytes(target, key):
    """Yield the same body in chunks of one byte, without the last one."""
    yield head(target, ["Transfer-Encoding: chunked"], key) + b"\r\n"
    for _ in range(target.body_bytes // PIECE_BYTES - 1):
        yield b"1\r\na\r\n" * PIECE_BYTES


def long_fields(target, key):
    """Yield a head of many long fields that does not end."""
    yield head(target, [], key)
    for number in range(120):
        yield b"X-%d: %s\r\n" % (number, b"a" * 60_000)


def short_fields(target, key):
    """Yield a head that grows by a short field at a time."""
    yield head(target, [], key)
    for number in range(120):
        yield b"X-%d: a\r\n" % number


def silence(target, key):
    """Yield nothing, so that the connection stays idle."""
    yield b""


def pipelining(target, key):
    """Yield many whole requests whose answers are not read."""
    request = head(target, [f"X: {'a' * 6000}", "Content-Length: 2"], key)
    for _ in range(200):
        yield request + b"\r\n{}"


def large_answer(target, key):
    """Yield a request for a large answer, which is read one byte at a time."""
    yield head(target, ["Content-Length: 2"], key) + b"\r\n{}"


MIXED = (whole_body, pieces, single_bytes, long_fields, short_fields, pipelining)


class Target:
    """Describe a listener and an ordinary request to it."""

    def __init__(self, process, port, path="/", method="GET", **options):
        self.process = process
        self.port = port
        self.path = path
        self.method = method
        self.key_field = options.get("key_field", "X-Api-Key: ")
        self.body_bytes = options.get("body_bytes", BODY_BYTES)

    async def answer(self):
        """Send an ordinary request up to three times; return the last status."""
        status = 0
        for _ in range(ATTEMPTS):
            with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                    status = await self._answer()
            if status == 200:
                break
            await asyncio.sleep(1)
        return status

    async def _answer(self):
        reader, writer = await asyncio.open_connection(HOST, self.port)
        extra = ["Content-Length: 2", "Connection: close"]
        writer.write(head(self, extra, "valid") + b"\r\n{}")
        try:
            return int((await reader.readline()).split()[1])
        except IndexError:
            return 0
        finally:
            writer.close()


class Crowd:
    """Open many connections that each send the bytes of a kind of caller."""

    def __init__(self, target, kinds, count, keys=("none", "wrong", "valid")):
        self.target = target
        self.kinds = kinds
        self.count = count
        self.keys = keys
        self.sockets = []
        self.tasks = []
        self.most_descriptors = 0

    async def __aenter__(self):
        """Return once all was sent or the time of the crowd is over."""
        # Keys change once all kinds had their turn, so that each kind has each key.
        kinds = cycle((kind, key) for key in self.keys for kind in self.kinds)
        for _, (kind, key) in zip(range(self.count), kinds, strict=False):
            task = asyncio.create_task(self._call(kind, key))
            self.tasks.append(task)
        watch = asyncio.create_task(self._watch())
        await asyncio.wait(self.tasks, timeout=CROWD_S)
        watch.cancel()
        return self

    async def __aexit__(self, *exc_info):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for sock in self.sockets:
            sock.close()

    async def _call(self, kind, key):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.setblocking(False)
        self.sockets.append(sock)
        with suppress(OSError):
            await loop.sock_connect(sock, (HOST, self.target.port))
            for part in kind(self.target, key):
                await loop.sock_sendall(sock, part)
            while kind is large_answer and await loop.sock_recv(sock, 1):  # noqa: ASYNC110
                await asyncio.sleep(0.1)
            if kind in (silence, pipelining):
                # All bytes are sent; the server must not end while they are handled.
                await asyncio.sleep(CROWD_S)

    async def _watch(self):
        while True:
            self.most_descriptors = max(
                self.most_descriptors, self.target.process.descriptors
            )
            await asyncio.sleep(0.05)


class Program:
    """Run one program with a limit on its descriptors."""

    def __init__(self, process, log_path):
        self.process = process
        self.log_path = log_path

    @property
    def alive(self):
        return self.process.returncode is None

    @property
    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd")) if self.alive else 0

    @property
    def peak_mb(self):
        if not self.alive:
            return 0
        with open(f"/proc/{self.process.pid}/status") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * 1024 // 1_000_000
        return 0


@asynccontextmanager
async def program(module, path, *arguments, **environment):
    """Start a program; its log is written next to its settings file."""

    def limit_descriptors():
        limit = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.setrlimit(resource.RLIMIT_NOFILE, limit)

    with path.with_suffix(".log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            f"from {module} import main; main()",
            *arguments,
            env=os.environ | environment,
            stdout=log,
            stderr=log,
            preexec_fn=limit_descriptors,
        )
    try:
        yield Program(process, path.with_suffix(".log"))
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def until_answered(target):
    """Wait until an ordinary request is answered."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            with suppress(OSError, asyncio.IncompleteReadError):
                if await target._answer() == 200:
                    return
            await asyncio.sleep(0.1)


@asynccontextmanager
async def edge(folder):
    """Run `shallot-edge` between a store and an upstream; yield its listeners."""
    async with AsyncExitStack() as stack:
        log = Log()
        runner, store_port = await listen(StoreStandIn(log).handle)
        stack.push_async_callback(runner.cleanup)
        upstream = Upstream(reply(LARGE_ANSWER))
        upstream_port = await upstream.start()
        stack.callback(upstream.server.close)
        callers, ready, peer, metrics = free_ports(4)
        route = {
            "name": "r",
            "host": "h.example",
            "pathPrefix": "/a/",
            "kind": "idempotent",
            "service": "desk",
            "timeoutMs": 6000,
            "targetLatencyMs": 400,
        }
        config = make_config(1) | {
            "routes": [route],
            "services": [{"name": "desk"}],
            "tenants": [{"name": "t", "apiKeys": [KEY]}],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": BODY_BYTES,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 60000,
            },
        }
        log.put(OPERATOR_TOPIC, "config", config)
        record = make_server(
            service="desk", address=f"{HOST}:{upstream_port}", slots=1000
        )
        log.put(UPSTREAM_TOPIC, "u-1", record)
        path = folder / "edge.conf"
        path.write_text(
            f"node=edge-1\nip={HOST}\nzone=a-1\nzones.a-1=a\n"
            f"internalPorts={peer},{peer}\nplatform.address={HOST}:{store_port}\n"
            f"listen.front={HOST}:{callers}\nlisten.ready={HOST}:{ready}\n"
            f"limits.memoryMb={MEMORY_MB}\nlimits.maxFds={MAX_DESCRIPTORS}\n"
        )
        process = await stack.enter_async_context(
            program(
                "shallotpath.cli.edge",
                path,
                SHALLOTPATH_CONFIG=str(path),
                SHALLOTPATH_METRICS_PORT=str(metrics),
            )
        )
        target = Target(process, callers, "/a/x", "POST")
        await until_answered(target)
        yield {
            "callers": target,
            "readiness": Target(process, ready),
            "peers": Target(process, peer, "/status"),
            "metrics": Target(process, metrics, "/metrics"),
        }


@asynccontextmanager
async def entry(folder):
    """Run `shallot-entry` and `shallot-agent`; yield their HTTP listeners."""
    async with AsyncExitStack() as stack:
        engine = EngineApp(
            service="desk", model=False, call_s=0.0, max_running=1000, cold_running=1000
        )
        engine_url = await stack.enter_async_context(serve(engine.build()))
        platform = await stack.enter_async_context(serve(PlatformApp().build()))
        ports = free_ports(7)
        entry_ports, agent_ports, (callers,) = ports[:3], ports[3:6], ports[6:]
        session = await stack.enter_async_context(ClientSession())
        processes = {}
        for name, (peer, bulk, http), seed, more in (
            ("entry", entry_ports, agent_ports[0], f"[entry]\nlisten={HOST}:{callers}"),
            (
                "agent",
                agent_ports,
                entry_ports[0],
                # The engine is no bottleneck, so that only the entry limits callers.
                f"[engine]\nurl={engine_url}\nservice=desk\n"
                "[limits]\ncold_limit=500\nmax_limit=500\nqueue=1000",
            ),
        ):
            path = folder / f"{name}.ini"
            path.write_text(
                f"[node]\nid={name}-1\ndomain=a\nregion=r\npeer={HOST}:{peer}\n"
                f"bulk={HOST}:{bulk}\nhttp={HOST}:{http}\n"
                f"[platform]\nurl={platform}\n[peers]\nseeds={HOST}:{seed}\n{more}\n"
            )
            body = {"incarnation": f"{name}-1", "domain": "a", "state": "live"}
            body["address"] = f"tcp://{HOST}:{peer}"
            await session.put(f"{platform}/vms/{name}-1", json=body)
            processes[name] = await stack.enter_async_context(
                program(f"shallotpath.cli.{name}", path, "--config", str(path))
            )
        for line in (
            "domains in a --region r",
            f"teams put t --token {KEY}",
            "services put desk --kind plain",
            "presets apply ordinary --yes",
        ):
            assert await run_ctl([*line.split(), "--platform", platform]) == 0
        target = Target(
            processes["entry"],
            callers,
            "/desk/stock",
            "POST",
            key_field="Authorization: Bearer ",
            body_bytes=ENTRY_BODY_BYTES,
        )
        await until_answered(target)
        yield {
            "callers": target,
            "control": Target(processes["entry"], entry_ports[2], "/healthz"),
            "agent": Target(processes["agent"], agent_ports[2], "/healthz"),
        }
