"""Stand-in for a model engine or a plain service on an upstream VM."""

from __future__ import annotations

import asyncio
import json
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import asdict, dataclass
from uuid import uuid4

from aiohttp import web

from ..core import sha256_hex
from ._metrics import counters_route
from ._platform import set_faults

WARM_UP_RUNS = 12
CACHE_EVENTS_KEPT = 1000


@dataclass(slots=True)
class EngineFaults:
    """Fault switches of an engine."""

    crash: bool = False
    cold: bool = False
    freeze_ms: int = 0
    poison: str = ""
    slow_ms: int = 0
    reject_orders: bool = False
    lose_order_answers: bool = False


@dataclass(slots=True)
class StagedVersion:
    """Hold the chunks of one version that the agent has delivered so far."""

    manifest: dict
    chunks_by_index: dict[int, bytes]

    def verified(self) -> bool:
        """Check whether every chunk is present and matches its digest."""
        digests = self.manifest["chunks"]
        return len(self.chunks_by_index) == len(digests) and all(
            sha256_hex(self.chunks_by_index[index]) == digest
            for index, digest in enumerate(digests)
        )


class EngineApp:
    """Serve the engine's HTTP API; a plain service has no tokens and no weights.

    The engine crashes if it has more runs than its warm or cold capacity allows, or
    holds more bytes than its memory. It loses its runs and restarts cold under a new
    incarnation.
    """

    def __init__(
        self,
        *,
        service: str = "fold-model",
        model: bool = True,
        digest: str = "",
        memory_bytes: int = 8 * 1024**2,
        bytes_per_token: int = 1024,
        token_interval_s: float = 0.01,
        token_padding: int = 0,
        call_s: float = 0.02,
        max_running: int = 16,
        cold_running: int = 2,
        load_lag_s: float = 2.0,
        restart_s: float = 0.3,
        checks_fencing: bool = True,
        on_crash: Callable[[], None] | None = None,
    ) -> None:
        self.service = service
        self.model = model
        self.digest = digest
        self.memory_bytes = memory_bytes
        self.bytes_per_token = bytes_per_token
        self.token_interval_s = token_interval_s
        self.token_padding = token_padding
        self.call_s = call_s
        self.max_running = max_running
        self.cold_running = cold_running
        self.load_lag_s = load_lag_s
        self.restart_s = restart_s
        self.checks_fencing = checks_fencing
        self.on_crash = on_crash
        self.faults = EngineFaults()
        self.incarnation_ = uuid4().hex[:12]
        self.down_until_ = 0.0
        self.frozen_until_ = 0.0
        self.cold_runs_left_ = WARM_UP_RUNS
        self.digest_ = digest
        self.highest_fencing_ = 0
        self.staged_by_digest_: dict[str, StagedVersion] = {}
        self.tasks_by_id_: dict[str, asyncio.Task] = {}
        self.held_by_id_: dict[str, int] = {}
        self.counters_: Counter[str] = Counter()
        self.runs_by_key_: Counter[str] = Counter()
        self.runs_by_prompt_: Counter[str] = Counter()
        self.load_history_: deque[tuple[float, int]] = deque([(0.0, 0)], maxlen=500)
        self.cache_events_: deque[dict] = deque(maxlen=CACHE_EVENTS_KEPT)

    @property
    def cold(self) -> bool:
        """Check whether the engine has only its cold capacity."""
        return self.cold_runs_left_ > 0

    def build(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(
            client_max_size=64 * 1024**2, middlewares=[self._apply_faults]
        )
        app.add_routes(
            [
                web.get("/healthz", self._health),
                counters_route(self.service, self.counters_),
                web.post("/run/{path:.*}", self._run),
                web.delete("/run/{id}", self._cancel),
                web.get("/state", self._state),
                web.put("/weights/{digest}", self._put_manifest),
                web.put("/weights/{digest}/{index}", self._put_chunk),
                web.get("/weights/{digest}/{index}", self._get_chunk),
                web.post("/orders", self._order),
                web.get("/cache-events", self._cache_events),
                web.get("/faults", self._get_faults),
                web.post("/faults", self._set_faults),
            ]
        )
        return app

    def crash(self) -> None:
        """Lose all runs and restart cold under a new incarnation."""
        self.counters_["crashes"] += 1
        now = asyncio.get_running_loop().time()
        self.down_until_ = now + self.restart_s
        self.incarnation_ = uuid4().hex[:12]
        self.cold_runs_left_ = WARM_UP_RUNS
        self.digest_ = self.digest
        self.staged_by_digest_.clear()
        for task in list(self.tasks_by_id_.values()):
            task.cancel()
        self.tasks_by_id_.clear()
        self.held_by_id_.clear()
        if self.on_crash is not None:
            self.on_crash()

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler):
        if request.path == "/faults":
            return await handler(request)
        loop = asyncio.get_running_loop()
        if self.faults.freeze_ms:
            self.frozen_until_ = loop.time() + self.faults.freeze_ms / 1000
            self.faults.freeze_ms = 0
        if self.faults.crash:
            self.faults.crash = False
            self.crash()
        if self.faults.cold:
            self.faults.cold = False
            self.cold_runs_left_ = WARM_UP_RUNS
        if loop.time() < self.down_until_:
            request.transport.abort()
            raise web.HTTPServiceUnavailable
        await self._wait_while_frozen()
        return await handler(request)

    async def _wait_while_frozen(self) -> None:
        delay = self.frozen_until_ - asyncio.get_running_loop().time()
        if delay > 0:
            await asyncio.sleep(delay)

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _run(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", uuid4().hex)
        body = await request.read()
        key = request.headers.get("Idempotency-Key", "")
        self.counters_["runs"] += 1
        self.tasks_by_id_[request_id] = asyncio.current_task()
        self.held_by_id_[request_id] = len(body)
        self._record_load()
        try:
            self._crash_if_overloaded(request, body)
            if key:
                self.runs_by_key_[key] += 1
            if self.model:
                return await self._generate(request, request_id, json.loads(body))
            return await self._run_plain(request, body)
        except asyncio.CancelledError:
            if request.transport is not None:
                request.transport.abort()
            raise
        except ConnectionResetError as error:
            self.counters_["disconnected"] += 1
            raise asyncio.CancelledError from error
        finally:
            if self.tasks_by_id_.get(request_id) is asyncio.current_task():
                del self.tasks_by_id_[request_id]
                del self.held_by_id_[request_id]
            self._record_load()

    def _crash_if_overloaded(self, request: web.Request, body: bytes) -> None:
        poison = self.faults.poison
        poisoned = poison and poison.encode() in body
        running = len(self.tasks_by_id_)
        overloaded = running > (self.cold_running if self.cold else self.max_running)
        if poisoned or overloaded or self._over_memory():
            self.counters_["poison_crashes" if poisoned else "load_crashes"] += 1
            self.crash()
            raise asyncio.CancelledError

    def _over_memory(self) -> bool:
        return sum(self.held_by_id_.values()) > self.memory_bytes

    async def _generate(
        self, request: web.Request, request_id: str, body: dict
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Weights-Digest": self.digest_,
                "X-Engine-Incarnation": self.incarnation_,
            }
        )
        await response.prepare(request)
        count = int(body.get("max_tokens", 16))
        prompt = str(body.get("prompt", ""))
        self.runs_by_prompt_[prompt] += 1
        digest = self.digest_
        for index in range(int(body.get("resume_from", 0)), count):
            await asyncio.sleep(self._token_interval_s())
            await self._wait_while_frozen()
            self.held_by_id_[request_id] = (
                self.held_by_id_.get(request_id, 0) + self.bytes_per_token
            )
            if self._over_memory():
                self.counters_["load_crashes"] += 1
                self.crash()
                raise asyncio.CancelledError
            token = make_token(digest, prompt, index)
            fields = {"i": index, "t": token}
            if self.token_padding:
                fields["padding"] = "x" * self.token_padding
            event = json.dumps(fields)
            await response.write(f"data: {event}\n\n".encode())
            self.counters_["tokens"] += 1
        end = json.dumps({"n": count})
        await response.write(f"event: end\ndata: {end}\n\n".encode())
        await response.write_eof()
        self._record_completion(prompt)
        return response

    async def _run_plain(self, request: web.Request, body: bytes) -> web.Response:
        await asyncio.sleep(
            self._token_interval_s() - self.token_interval_s + self.call_s
        )
        await self._wait_while_frozen()
        self._record_completion("")
        return web.json_response(
            {
                "path": request.match_info["path"],
                "received": sha256_hex(body),
                "serial": self.counters_["completed"],
            },
            headers={
                "X-Weights-Digest": self.digest_,
                "X-Engine-Incarnation": self.incarnation_,
            },
        )

    def _token_interval_s(self) -> float:
        # A cold engine is several times slower until its caches are warm.
        factor = 3.0 if self.cold else 1.0
        return self.token_interval_s * factor + self.faults.slow_ms / 1000

    def _record_completion(self, prompt: str) -> None:
        self.counters_["completed"] += 1
        self.cold_runs_left_ = max(0, self.cold_runs_left_ - 1)
        if prompt:
            seq = self.cache_events_[-1]["seq"] + 1 if self.cache_events_ else 0
            self.cache_events_.append({"seq": seq, "prefix": prompt[:64]})

    def _record_load(self) -> None:
        now = asyncio.get_running_loop().time()
        self.load_history_.append((now, len(self.tasks_by_id_)))

    async def _cancel(self, request: web.Request) -> web.Response:
        task = self.tasks_by_id_.get(request.match_info["id"])
        if task is not None:
            self.counters_["cancelled"] += 1
            task.cancel()
        return web.json_response({"cancelled": task is not None})

    async def _state(self, request: web.Request) -> web.Response:
        visible_until = asyncio.get_running_loop().time() - self.load_lag_s
        load_at, load = next(
            (item for item in reversed(self.load_history_) if item[0] <= visible_until),
            self.load_history_[0],
        )
        return web.json_response(
            {
                "incarnation": self.incarnation_,
                "digest": self.digest_,
                "cold": self.cold,
                "running": len(self.tasks_by_id_),
                "held_bytes": sum(self.held_by_id_.values()),
                "memory_bytes": self.memory_bytes,
                "load": load,
                "load_at": load_at,
                "fencing": self.highest_fencing_,
                "checks_fencing": self.checks_fencing,
            }
        )

    async def _put_manifest(self, request: web.Request) -> web.Response:
        digest = request.match_info["digest"]
        manifest = await request.json()
        staged = self.staged_by_digest_.setdefault(digest, StagedVersion(manifest, {}))
        self._reuse_chunks(staged)
        return web.json_response({"present": sorted(staged.chunks_by_index)})

    def _reuse_chunks(self, staged: StagedVersion) -> None:
        known = {
            other.manifest["chunks"][index]: chunk
            for other in self.staged_by_digest_.values()
            for index, chunk in other.chunks_by_index.items()
        }
        for index, digest in enumerate(staged.manifest["chunks"]):
            if digest in known:
                staged.chunks_by_index.setdefault(index, known[digest])

    async def _put_chunk(self, request: web.Request) -> web.Response:
        staged = self._find_staged_version(request)
        index = int(request.match_info["index"])
        staged.chunks_by_index[index] = await request.read()
        return web.json_response({"held": len(staged.chunks_by_index)})

    async def _get_chunk(self, request: web.Request) -> web.Response:
        chunk = self._find_staged_version(request).chunks_by_index.get(
            int(request.match_info["index"])
        )
        if chunk is None:
            raise web.HTTPNotFound(text="the chunk is not staged\n")
        return web.Response(body=chunk)

    def _find_staged_version(self, request: web.Request) -> StagedVersion:
        staged = self.staged_by_digest_.get(request.match_info["digest"])
        if staged is None:
            raise web.HTTPNotFound(text="put the manifest first\n")
        return staged

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        self.counters_["orders"] += 1
        if self.faults.reject_orders:
            raise web.HTTPServiceUnavailable(text="orders are switched off\n")
        if self.checks_fencing and order["fencing"] < self.highest_fencing_:
            raise web.HTTPConflict(
                text=f"fencing number {self.highest_fencing_} was seen\n"
            )
        self.highest_fencing_ = max(self.highest_fencing_, order["fencing"])
        if order["order"] == "unload":
            self.staged_by_digest_.pop(order["digest"], None)
        else:
            self._load(order["digest"], switch=order["order"] == "switch")
        if self.faults.lose_order_answers:
            request.transport.abort()
        return web.json_response(
            {"digest": self.digest_, "incarnation": self.incarnation_}
        )

    def _load(self, digest: str, *, switch: bool) -> None:
        staged = self.staged_by_digest_.get(digest)
        if staged is None or not staged.verified():
            raise web.HTTPUnprocessableEntity(text="chunks are missing or corrupt\n")
        if switch:
            self.digest_ = digest

    async def _cache_events(self, request: web.Request) -> web.Response:
        start = int(request.query.get("from", "0"))
        events = [event for event in self.cache_events_ if event["seq"] >= start]
        return web.json_response({"events": events[:-1]})

    async def _get_faults(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "faults": asdict(self.faults),
                "counters": dict(self.counters_),
                "runs_by_key": dict(self.runs_by_key_),
            }
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        set_faults(self.faults, await request.json())
        return await self._get_faults(request)


def make_token(digest: str, prompt: str, index: int) -> str:
    """Return the token that a version generates for a prompt at a position.

    The token depends on the version and the prompt, so that a test can check that an
    answer comes from one version and belongs to its prompt.
    """
    return sha256_hex(f"{digest}/{prompt}/{index}".encode())[:8]
