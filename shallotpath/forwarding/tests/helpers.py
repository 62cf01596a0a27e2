"""Run a forwarder on loopback in front of scripted upstreams."""

import asyncio
import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta
from random import Random

from shallotpath.core import MonotonicClock
from shallotpath.forwarding import (
    ConnectionPool,
    Forwarder,
    ForwarderParts,
    Listener,
)
from shallotpath.gateway import (
    Breaker,
    BudgetLimit,
    CallerLimits,
    Catalog,
    CatalogAnnounced,
    CrashSuspects,
    Dispatcher,
    EntrySubsets,
    LoadTracker,
    OperatorState,
    PlacementRules,
    Retries,
    RetryBudget,
    Route,
    RouteKind,
    Service,
    Team,
    UpstreamRecord,
    UpstreamTable,
    WeightedService,
    WriteTime,
)
from shallotpath.platform import PlatformHeaderCodec

HOST = "127.0.0.1"
SEAL = "Shallotpath-Server-Seal: s"


def ms(value):
    return timedelta(milliseconds=value)


class RecordingReporter:
    """Keep the reported events in memory."""

    def __init__(self):
        self.events = []
        self.counted = []

    def event(self, kind, **fields):
        self.events.append((kind, fields))

    def count(self, name, **labels):
        self.counted.append(name)

    def observe(self, name, duration, **labels):
        pass


async def read_message(reader):
    """Read an HTTP message with a Content-Length; return its head and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = 0
    for line in head.split("\r\n"):
        if line.lower().startswith("content-length:"):
            length = int(line.split(":")[1])
    return head, await reader.readexactly(length)


def request_id(head):
    for line in head.split("\r\n"):
        if line.lower().startswith("shallotpath-request-id:"):
            return line.split(":")[1].strip()
    return ""


def answer(head, body=b"ok", *, status="200 OK", extra=(), sealed=True, length=True):
    """Return the bytes of a response to a request."""
    lines = [f"HTTP/1.1 {status}", f"Shallotpath-Request-Id: {request_id(head)}"]
    if sealed:
        lines.append(SEAL)
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, *extra]).encode() + b"\r\n\r\n" + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream_head(head):
    extra = ["Transfer-Encoding: chunked", "Content-Type: text/event-stream"]
    return answer(head, b"", extra=extra, length=False)


class Upstream:
    """Answer each request by the next step of a script; the last step repeats."""

    def __init__(self, *steps):
        self.steps = list(steps)
        self.requests = []
        self.lost = asyncio.Event()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                head, body = await read_message(reader)
                self.requests.append((head, body))
                step = self.steps.pop(0) if len(self.steps) > 1 else self.steps[0]
                if await step(reader, writer, head) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            self.lost.set()
        finally:
            writer.close()


def reply(*args, **kwargs):
    """Return a step that sends an answer."""

    async def step(reader, writer, head):
        writer.write(answer(head, *args, **kwargs))
        await writer.drain()

    return step


def reset_connection(writer):
    """Close a connection with a reset (RST) instead of a FIN."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def reset(reader, writer, head):
    """Reset the connection without an answer."""
    reset_connection(writer)
    return False


async def silence(reader, writer, head):
    """Never answer."""
    await reader.read()
    return False


ROUTE = Route(
    id="r",
    host="h.example",
    prefix="/a/",
    kind=RouteKind.REPEATABLE,
    timeout=ms(2000),
    target_latency=ms(100),
    priority=1,
    shares=(WeightedService("s", 1),),
    max_attempts=2,
    public=False,
    resumable=False,
    gap_target=ms(100),
    regions=frozenset(),
)


class SuspendedClock(MonotonicClock):
    """Count suspensions of the VM, unlike the event loop's clock."""

    def __init__(self):
        super().__init__()
        self.suspended = timedelta()

    def now(self):
        return super().now() + self.suspended


class World:
    """Hold a running forwarder and its reporter."""

    def __init__(self, port, reporter, forwarder, listener):
        self.port = port
        self.reporter = reporter
        self.forwarder = forwarder
        self.listener = listener

    async def connect(self):
        return await asyncio.open_connection(HOST, self.port)

    async def call(self, **options):
        """Send one request; return the head and body of the answer."""
        reader, writer = await self.connect()
        try:
            writer.write(make_request(**options))
            return await read_answer(reader)
        finally:
            writer.close()

    @property
    def outcomes(self):
        return [f["outcome"] for kind, f in self.reporter.events if kind == "request"]


def make_request(
    *,
    method="GET",
    target="/a/x",
    key="k",
    number=1,
    body=b"",
    caller_timeout=3000,
    parts=(),
):
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: h.example",
        f"Shallotpath-Request-Id: q{number}",
        f"Shallotpath-Deadline-Ms: {caller_timeout}",
        f"X-Api-Key: {key}",
        f"Content-Length: {len(body)}",
    ]
    if parts:
        prompt = ",".join(f"{part}:40" for part in parts)
        lines.append(f"Shallotpath-Prompt-Prefix: {prompt}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader):
    """Read an answer with a length or in chunks; raise if it is truncated."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    if "chunked" not in head.lower():
        for line in head.split("\r\n"):
            if line.lower().startswith("content-length:"):
                return head, await reader.readexactly(int(line.split(":")[1]))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    return head, body


@asynccontextmanager
async def make_world(
    *upstreams, fresh=True, budget=100, clock=None, memory=None, **route
):
    """Run a forwarder in front of upstreams on loopback."""
    clock = clock or MonotonicClock()
    operator, table = OperatorState(), UpstreamTable()
    catalog = Catalog(
        version=3,
        routes=(replace(ROUTE, **route),),
        services_by_id={"s": Service("s", "/", 100, timedelta(), 0.0)},
        origins_by_id={},
        teams_by_key={"k": Team("team", ("k",), None, frozenset())},
        limits=CallerLimits(16384, 4 << 20, ms(3000), ms(15000)),
        requires_keys=True,
    )
    operator.apply(CatalogAnnounced(catalog), WriteTime(clock.now()))
    for number, upstream in enumerate(upstreams):
        port = upstream if isinstance(upstream, int) else await upstream.start()
        address, zero = f"{HOST}:{port}", timedelta()
        record = UpstreamRecord(
            f"u{number}", "s", address, "a-1", 6, False, zero, 1, {}
        )
        table.apply(record, clock.now())
    subsets = EntrySubsets("e", "a")
    dispatcher = Dispatcher(
        rules=PlacementRules("a-1", {"a-1": "a"}, ms(8000), 1.5, 5.0),
        operator=operator,
        upstreams=table,
        loads=LoadTracker(service_of=table.service_id),
        breaker=Breaker(),
        subsets=subsets,
        random=Random(1),
    )
    limit = BudgetLimit(0.2, budget, ms(10_000))
    reporter = RecordingReporter()
    parts = ForwarderParts(
        dispatcher=dispatcher,
        retries=Retries(RetryBudget(limit, subsets, clock.now() - limit.window)),
        suspects=CrashSuspects(),
        pool=ConnectionPool(clock, reporter),
        header_codec=PlatformHeaderCodec(),
        clock=clock,
    )
    forwarder = Forwarder(parts, operator, lambda: fresh, reporter)
    listener = Listener(forwarder.handle, memory=memory)
    port = await listener.start(HOST, 0)
    try:
        yield World(port, reporter, forwarder, listener)
    finally:
        await listener.stop()
        parts.pool.close()
        for upstream in upstreams:
            if not isinstance(upstream, int):
                upstream.server.close()
