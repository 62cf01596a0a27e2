"""Stand-ins of the second review: the store, workers, clients, and the programs.

They speak what the users' pages say, with the standard library only.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import uuid
from collections import defaultdict
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Loopback addresses of this run alone, so that no other connection takes their ports.
NETWORK = f"127.{64 | os.getpid() >> 8 & 63}.{os.getpid() & 255}"
HOST = f"{NETWORK}.200"
HEARTBEAT_S = 1.2
SERVERS = "keyed.servers"
OPERATOR = "keyed.op"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
# Bounds of the site qlho-lanterns.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 102,
    "coldExcess": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "passMs": 120,
    "version_ms": 8000,
}
ZONES = {"bne-a": "brisbane", "tsv-a": "townsville", "twb-a": "toowoomba"}


def trouble() -> bool:
    """Check whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")
        self.file.flush()


@dataclass
class Request:
    """Hold one request that arrived at a stand-in."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Return the id that the client gave the request."""
        return self.headers.get("shallotpath-request-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request, `None` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, found, value = line.partition(":")
        if found:
            headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def encode(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """Serve the platform's log over HTTP; answers are linearizable."""

    def __init__(self) -> None:
        self.records: dict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self.changed: dict[str, asyncio.Event] = defaultdict(asyncio.Event)
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, topic: str, key: str, value: object | None) -> None:
        """Append a record; `None` drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.records[topic].append((key, data))
        event, self.changed[topic] = self.changed[topic], asyncio.Event()
        event.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError, asyncio.CancelledError):
            while request := await read_request(reader):
                writer.write(await self._answer(request))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Request) -> bytes:
        path, _, text = request.target.partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if "=" in part)
        topic = query.get("topic", "")
        records = self.records[topic]
        if path == "/log-newest":
            newest = {key: (n, value) for n, (key, value) in enumerate(records)}
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": n}
                for key, (n, value) in newest.items()
                if value
            ]
            page = {"items": items, "hasMore": False, "end": len(records)}
            return encode(200, {}, json.dumps(page).encode())
        if path == "/log-read":
            start = int(query["from"])
            if start >= len(records) and "waitMs" in query:
                with suppress(TimeoutError):
                    await asyncio.wait_for(
                        self.changed[topic].wait(), int(query["waitMs"]) / 1000
                    )
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(content)) + content
            return encode(200, {}, body)
        if path == "/log-append":
            offset, position, body = len(records), 0, request.body
            while position + 4 <= len(body):
                (size,) = struct.unpack_from(">I", body, position)
                content = body[position + 4 : position + 4 + size]
                key = content[1 : 1 + content[0]].decode()
                records.append((key, content[1 + content[0] :]))
                position += 4 + size
            event, self.changed[topic] = self.changed[topic], asyncio.Event()
            event.set()
            page = {"offset": offset, "end": len(records)}
            return encode(200, {}, json.dumps(page).encode())
        return encode(404, {})


Behaviour = Callable[["Worker", Request, asyncio.StreamWriter], Awaitable[None]]


class Worker:
    """Register in the store and answer requests as a behaviour says."""

    def __init__(
        self,
        store: Store,
        record: Record,
        *,
        service: str,
        behaviour: Behaviour,
        zone: str = "bne-a",
        slots: int = 6,
        **fields: object,
    ) -> None:
        self.store, self.record, self.behaviour = store, record, behaviour
        self.service, self.zone, self.slots = service, zone, slots
        self.fields = fields
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.runs: list[str] = []
        self.heart: asyncio.Task | None = None

    @property
    def address(self) -> str:
        """Return the address at which the worker listens."""
        return f"{HOST}:{self.port}"

    def entry(self) -> dict[str, object]:
        """Return the entry in the store."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
        } | self.fields

    def beat(self) -> None:
        """Write the entry once."""
        self.store.put(SERVERS, self.id, self.entry())

    async def start(self) -> None:
        """Listen, at the address of before if there was one, and register."""
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.server = await asyncio.start_server(
            self._serve, HOST, self.port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.heart = asyncio.ensure_future(self._beat())
        self.record.write("worker-start", worker=self.id, born=self.born)

    async def _beat(self) -> None:
        while True:
            self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self) -> None:
        """End at once: no more heartbeats, all connections reset."""
        self.record.write("worker-crash", worker=self.id)
        if self.heart is not None:
            self.heart.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            with suppress(OSError):
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            writer.transport.abort()
        self.writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                expected = request.headers.get("shallotpath-expect-instance")
                if expected not in (None, self.id):
                    headers = self.echo(request) | {"Shallotpath-Not-Executed": "1"}
                    writer.write(encode(421, headers))
                    continue
                await self.behaviour(self, request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def echo(self, request: Request) -> dict[str, str]:
        """Return the header that names the request."""
        return {"Shallotpath-Request-Id": request.id}

    def seal(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer of a run, and note the run."""
        self.runs.append(request.id)
        return self.echo(request) | {
            "Shallotpath-Server-Seal": f"{self.id}.{request.id}.{len(self.runs)}"
        }


@dataclass
class Edge:
    """Run one entry as a separate process with the command of the deploy file."""

    number: int
    store_port: int
    record: Record
    folder: Path
    zone: str = "bne-a"
    memory_mb: int = 300
    front: int = field(default_factory=free_port)
    ready_port: int = field(default_factory=free_port)
    control: int = field(default_factory=free_port)
    peer: int = field(default_factory=free_port)
    process: asyncio.subprocess.Process | None = None

    @property
    def host(self) -> str:
        """Return the loopback address of the machine."""
        return f"{NETWORK}.{self.number + 1}"

    def settings(self) -> str:
        """Return the settings file in the platform's format."""
        lines = [
            f"node=edge-{self.number}",
            "role=edge",
            "class=edge",
            "serves=edge,control",
            f"ip={self.host}",
            f"zone={self.zone}",
            f"region={ZONES[self.zone]}",
            *(f"zones.{zone}={region}" for zone, region in ZONES.items()),
            f"listen.front={self.host}:{self.front}",
            f"listen.ready={self.host}:{self.ready_port}",
            f"listen.control={self.host}:{self.control}",
            f"internalPorts={self.peer},{self.peer}",
            f"seeds={self.host}:{self.control}",
            f"limits.memoryMb={self.memory_mb}",
            "limits.maxFds=4100",
            "limits.linkMbps=1000.0",
            f"platform.address={HOST}:{self.store_port}",
            "platform.form=log",
            *(f"bounds.{name}={value}" for name, value in BOUNDS.items()),
        ]
        return "\n".join(lines) + "\n"

    async def start(self) -> None:
        """Start the process and wait until it says that it is ready."""
        path = self.folder / f"edge-{self.number}.conf"
        path.write_text(self.settings())
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment |= {
            "SHALLOTPATH_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self.folder / f"edge-{self.number}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "shallotpath.cli.edge",
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write("edge-start", edge=self.number, pid=self.process.pid)
        for _ in range(200):
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the entry did not become ready")

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        client = Client(self.host, self.ready_port)
        try:
            await client.connect()
            answer = await client.ask("GET", "/ready", {"Host": "ready.example"})
            return answer.status == 200
        except OSError:
            return False
        finally:
            client.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record.write("signal", edge=self.number, signal=number.name)
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def log(self) -> str:
        """Return what the process has written."""
        return (self.folder / f"edge-{self.number}.log").read_text()


@dataclass
class Answer:
    """Hold what a client got for a request."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    # Whether the answer came to its end as its framing says.
    complete: bool = False


class Client:
    """Send requests on one connection; it may read slowly."""

    def __init__(self, host: str, port: int, *, receive_buffer: int = 0) -> None:
        self.host, self.port, self.receive_buffer = host, port, receive_buffer
        self.socket: socket.socket | None = None
        self.received = b""

    async def connect(self) -> None:
        """Open the connection within a second."""
        loop = asyncio.get_running_loop()
        self.socket = socket.socket()
        if self.receive_buffer:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer
            )
        self.socket.setblocking(False)
        await asyncio.wait_for(
            loop.sock_connect(self.socket, (self.host, self.port)), 1
        )

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def _receive(self, size: int = 65536) -> bytes:
        try:
            return await asyncio.get_running_loop().sock_recv(self.socket, size)
        except ConnectionError:
            return b""

    async def ask(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        *,
        bytes_per_s: float = 0,
    ) -> Answer:
        """Send a request and read its answer, at a limited rate if one is given."""
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        await self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return await self.read(bytes_per_s=bytes_per_s)

    async def read(self, *, bytes_per_s: float = 0) -> Answer:
        """Read one answer."""
        answer, started = Answer(), time.monotonic()
        data, taken, total = self.received, 0, 0
        while b"\r\n\r\n" not in data:
            part = await self._receive(4096)
            if not part:
                return answer
            data += part
        head, _, data = data.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        answer.status = int(first.split(" ")[1])
        for line in lines:
            name, _, value = line.partition(":")
            answer.headers[name.lower()] = value.strip()
        length = answer.headers.get("content-length")
        chunked = "chunked" in answer.headers.get("transfer-encoding", "")
        while True:
            if length is not None and len(data) >= int(length):
                answer.body, self.received = data[: int(length)], data[int(length) :]
                answer.complete = True
                return answer
            if chunked:
                body, rest = _decode_chunks(data)
                if rest is not None:
                    answer.body, self.received, answer.complete = body, rest, True
                    return answer
            part = await self._receive(2048 if bytes_per_s else 65536)
            if not part:
                answer.body = _decode_chunks(data)[0] if chunked else data
                answer.complete = length is None and not chunked
                return answer
            data += part
            taken += len(part)
            if bytes_per_s:
                total = started + taken / bytes_per_s - time.monotonic()
                await asyncio.sleep(max(0.0, total))

    def close(self) -> None:
        """Close the connection."""
        if self.socket is not None:
            self.socket.close()


def _decode_chunks(data: bytes) -> tuple[bytes, bytes | None]:
    """Return a body in chunks and what follows it, `None` while it is incomplete."""
    body, position = b"", 0
    while True:
        end = data.find(b"\r\n", position)
        if end < 0:
            return body, None
        size = int(data[position:end].split(b";")[0] or b"0", 16)
        start = end + 2
        if len(data) < start + size + 2:
            return body + data[start : start + size], None
        body += data[start : start + size]
        position = start + size + 2
        if not size:
            return body, data[position:]


async def play(folder: Path, scenario: Callable[..., Awaitable[bool]]) -> int:
    """Run a scenario with a record, a store and a temporary folder."""
    record = Record(folder)
    store = Store()
    await store.start()
    edges: list[Edge] = []
    with tempfile.TemporaryDirectory() as name:
        try:
            broken = await asyncio.wait_for(
                scenario(record, store, Path(name), edges), 110
            )
        except (RuntimeError, TimeoutError, OSError) as error:
            record.write("could-not-run", error=repr(error))
            print(f"could not run: {error!r}", file=sys.stderr)
            return COULD_NOT_RUN
        finally:
            for edge in edges:
                if edge.process is not None and edge.process.returncode is None:
                    edge.process.kill()
                    await edge.process.wait()
                if os.environ.get("KEEP_LOGS"):
                    target = Path(os.environ["KEEP_LOGS"])
                    (target / f"edge-{edge.number}.log").write_text(edge.log())
    record.write("verdict", broken=broken)
    return BROKEN if broken else HELD
