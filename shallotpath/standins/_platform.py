"""Stand-in for the platform: append-only log, VM list and origin of weights."""

from __future__ import annotations

import asyncio
from base64 import b64decode
from collections import Counter, defaultdict
from contextlib import suppress
from dataclasses import asdict, dataclass, fields
from random import Random

from aiohttp import web

from ._link import RateLimiter
from ._metrics import counters_route
from ._weights import Manifest, chunk_count, make_chunk, make_manifest

POLL_INTERVAL_S = 0.02
MAX_READ_WAIT_MS = 30_000


@dataclass(slots=True)
class PlatformFaults:
    """Fault switches of the platform."""

    log_down: bool = False
    log_delay_ms: int = 0
    log_lose_answers: float = 0.0
    log_duplicate: float = 0.0
    log_retention: int = 1_000_000
    log_append_rate: float = 400.0
    vms_down: bool = False
    vms_lag_ms: int = 0
    origin_down: bool = False
    origin_rate: float = 0.0
    corrupt: float = 0.0


@dataclass(slots=True)
class StoredRecord:
    """One record of a stream."""

    offset: int
    time: float
    data: str


class Stream:
    """Keep the records of one log stream within its retention."""

    __slots__ = ("appended_", "next_offset_", "records_")

    def __init__(self) -> None:
        self.records_: list[StoredRecord] = []
        self.next_offset_ = 0
        self.appended_ = asyncio.Event()

    @property
    def first_offset(self) -> int:
        """Return the oldest offset that is still kept."""
        return self.records_[0].offset if self.records_ else self.next_offset_

    def append(self, data: list[str], time: float, retention: int) -> int:
        """Append records and return the offset of the first."""
        first = self.next_offset_
        for item in data:
            self.records_.append(StoredRecord(self.next_offset_, time, item))
            self.next_offset_ += 1
        del self.records_[: max(0, len(self.records_) - retention)]
        self.appended_.set()
        self.appended_ = asyncio.Event()
        return first

    def read(self, start: int, limit: int) -> list[StoredRecord]:
        """Return up to `limit` records from an offset."""
        skip = max(0, start - self.first_offset)
        return self.records_[skip : skip + limit]


@dataclass(slots=True)
class PublishedVersion:
    """Published version and the seeds that generate its chunks."""

    manifest: Manifest
    seeds: list[int]


class PlatformApp:
    """Serve the platform's HTTP API from memory."""

    def __init__(self, seed: int = 1, faults: PlatformFaults | None = None) -> None:
        self.seed = seed
        self.faults = faults or PlatformFaults()
        self.random_ = Random(seed)
        self.streams_by_name_: dict[str, Stream] = defaultdict(Stream)
        self.versions_by_key_: dict[tuple[str, str], PublishedVersion] = {}
        self.vms_by_id_: dict[str, dict] = {}
        self.vm_history_: list[tuple[float, int, list[dict]]] = [(0.0, 0, [])]
        self.origin_link_ = RateLimiter()
        self.counters_: Counter[str] = Counter()
        self.next_append_at_ = 0.0

    def build(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=64 * 1024**2)
        app.add_routes(
            [
                web.get("/healthz", self._health),
                counters_route("platform", self.counters_),
                web.post("/log/{stream}", self._append),
                web.get("/log/{stream}", self._read),
                web.get("/vms", self._list_vms),
                web.put("/vms/{id}", self._put_vm),
                web.delete("/vms/{id}", self._delete_vm),
                web.put("/versions/{model}/{version}", self._publish),
                web.get("/versions/{model}/{version}/manifest", self._manifest),
                web.get("/versions/{model}/{version}/chunks/{index}", self._chunk),
                web.get("/faults", self._get_faults),
                web.post("/faults", self._set_faults),
            ]
        )
        return app

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _append(self, request: web.Request) -> web.Response:
        await self._apply_log_faults()
        body = await request.json()
        records = body["records"]
        for record in records:
            b64decode(record, validate=True)
        await self._wait_for_append_slot()
        now = asyncio.get_running_loop().time()
        stream = self.streams_by_name_[request.match_info["stream"]]
        first = stream.append(records, now, self.faults.log_retention)
        if self.random_.random() < self.faults.log_duplicate:
            stream.append(records, now, self.faults.log_retention)
        self.counters_["appends"] += 1
        if self.random_.random() < self.faults.log_lose_answers:
            self.counters_["lost_answers"] += 1
            raise web.HTTPGatewayTimeout(text="answer lost after the append\n")
        return web.json_response({"first_offset": first})

    async def _apply_log_faults(self) -> None:
        if self.faults.log_delay_ms:
            await asyncio.sleep(self.faults.log_delay_ms / 1000)
        if self.faults.log_down:
            raise web.HTTPServiceUnavailable(text="the log is down\n")

    async def _wait_for_append_slot(self) -> None:
        now = asyncio.get_running_loop().time()
        step = 1 / self.faults.log_append_rate
        self.next_append_at_ = max(self.next_append_at_, now) + step
        await asyncio.sleep(max(0.0, self.next_append_at_ - now - step))

    async def _read(self, request: web.Request) -> web.Response:
        await self._apply_log_faults()
        stream = self.streams_by_name_[request.match_info["stream"]]
        start = int(request.query.get("from", "0"))
        limit = int(request.query.get("limit", "1000"))
        wait_ms = min(int(request.query.get("wait", "0")), MAX_READ_WAIT_MS)
        records = stream.read(start, limit)
        if not records and wait_ms:
            with suppress(TimeoutError):
                await asyncio.wait_for(stream.appended_.wait(), wait_ms / 1000)
            await self._apply_log_faults()
            records = stream.read(start, limit)
        self.counters_["reads"] += 1
        return web.json_response(
            {
                "records": [
                    {"offset": r.offset, "time": r.time, "data": r.data}
                    for r in records
                ],
                "first_offset": stream.first_offset,
                "next": records[-1].offset + 1 if records else start,
            }
        )

    async def _list_vms(self, request: web.Request) -> web.Response:
        if self.faults.vms_down:
            raise web.HTTPServiceUnavailable(text="the VM list is down\n")
        visible_until = (
            asyncio.get_running_loop().time() - self.faults.vms_lag_ms / 1000
        )
        version, vms = next(
            (version, vms)
            for time, version, vms in reversed(self.vm_history_)
            if time <= visible_until or version == 0
        )
        return web.json_response({"version": version, "vms": vms})

    async def _put_vm(self, request: web.Request) -> web.Response:
        vm_id = request.match_info["id"]
        self.vms_by_id_[vm_id] = {**await request.json(), "id": vm_id}
        return self._record_vms()

    async def _delete_vm(self, request: web.Request) -> web.Response:
        self.vms_by_id_.pop(request.match_info["id"], None)
        return self._record_vms()

    def _record_vms(self) -> web.Response:
        version = self.vm_history_[-1][1] + 1
        now = asyncio.get_running_loop().time()
        self.vm_history_.append((now, version, list(self.vms_by_id_.values())))
        return web.json_response({"version": version})

    async def _publish(self, request: web.Request) -> web.Response:
        query = request.query
        size, chunk = int(query["size"]), int(query["chunk"])
        seed = int(query.get("seed", "1"))
        shared = float(query.get("shared", "0"))
        model = request.match_info["model"]
        version = request.match_info["version"]
        seeds = [seed] * chunk_count(size, chunk)
        base = self.versions_by_key_.get((model, query.get("base", "")))
        if base is not None:
            kept = int(len(seeds) * shared)
            seeds[:kept] = base.seeds[:kept]
        manifest = make_manifest(model, version, size, chunk, seeds)
        self.versions_by_key_[model, version] = PublishedVersion(manifest, seeds)
        return self._manifest_response(manifest)

    async def _manifest(self, request: web.Request) -> web.Response:
        return self._manifest_response(self._find_version(request).manifest)

    def _manifest_response(self, manifest: Manifest) -> web.Response:
        return web.json_response({**asdict(manifest), "digest": manifest.digest})

    def _find_version(self, request: web.Request) -> PublishedVersion:
        if self.faults.origin_down:
            raise web.HTTPServiceUnavailable(text="the origin is down\n")
        key = (request.match_info["model"], request.match_info["version"])
        if key not in self.versions_by_key_:
            raise web.HTTPNotFound(text="publish the version first\n")
        return self.versions_by_key_[key]

    async def _chunk(self, request: web.Request) -> web.Response:
        version = self._find_version(request)
        index = int(request.match_info["index"])
        manifest = version.manifest
        size = manifest.chunk_size(index)
        payload = make_chunk(version.seeds[index], index, size)
        self.origin_link_.bytes_per_second = self.faults.origin_rate
        await self.origin_link_.send(size)
        self.counters_[f"origin_bytes/{manifest.model}/{manifest.version}"] += size
        if self.random_.random() < self.faults.corrupt:
            self.counters_["corrupted"] += 1
            payload = bytes([payload[0] ^ 1]) + payload[1:]
        return web.Response(body=payload)

    async def _get_faults(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"faults": asdict(self.faults), "counters": dict(self.counters_)}
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        set_faults(self.faults, await request.json())
        return await self._get_faults(request)


def set_faults(faults: object, changes: dict) -> None:
    """Set fault switches by name."""
    known = {field.name for field in fields(faults)}
    for name, value in changes.items():
        if name not in known:
            raise web.HTTPUnprocessableEntity(
                text=f"unknown fault {name!r}; use one of {', '.join(sorted(known))}\n"
            )
        setattr(faults, name, value)
