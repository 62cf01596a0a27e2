"""HTTP clients of an engine and of the origin that serves weights."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import aiohttp
import msgspec

from ..core import PlatformError
from ..webclient import read_body
from ._decoding import DECODING_ERRORS, describe_error
from ._settings import Endpoint

# Calls within a VM take milliseconds unless the VM is paused.
LOCAL_TIMEOUT = timedelta(seconds=2)
# Largest response body by default: a chunk, a manifest or a page of records.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Largest response of an engine that carries no chunk.
MAX_REPORT_BYTES = 1024 * 1024
_OK = 200
_ACCEPTED = 202


class CallError(PlatformError):
    """Report a call that failed, with the HTTP status if there was a response."""

    def __init__(self, message: str, status: int = 0) -> None:
        super().__init__(message)
        self.status = status


@dataclass(slots=True, frozen=True)
class HeldModel:
    """Describe which weights of a model an engine holds."""

    model: str
    version: int
    layers_from: int
    # Exclusive end of the range.
    layers_to: int


@dataclass(slots=True, frozen=True)
class EngineState:
    """Hold the report of an engine."""

    models: list[HeldModel]
    # An order to load weights is in progress.
    ordering: bool
    # Orders that the engine has begun to execute since its start.
    orders_accepted: int
    queued: int
    active: int
    # Multiple of the usual step time; over 1 for an engine that turned slow.
    pace: float
    # Start time of the engine; a changed value means that it has restarted.
    started_ms: int


@dataclass(slots=True, frozen=True)
class ChunkManifest:
    """List the digests of the chunks of a model version."""

    model: str
    version: int
    layers: int
    digests: list[str]
    # Size of a chunk, 0 if not given.
    chunk_bytes: int = 0


class HttpCaller:
    """Make HTTP calls with a time-out and typed errors."""

    __slots__ = ("session",)

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def call(
        self,
        method: str,
        url: str,
        timeout: timedelta,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        *,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> bytes:
        """Return the body of a successful response or raise `CallError`."""
        limit = aiohttp.ClientTimeout(total=timeout.total_seconds())
        try:
            async with self.session.request(
                method, url, data=body, headers=headers, timeout=limit
            ) as response:
                payload = await read_body(response, max_bytes)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise CallError(
                f"{method} {url} got no response: {error!r}; the call will be retried"
            ) from error
        if response.status not in (_OK, _ACCEPTED):
            raise CallError(
                f"{method} {url} returned status {response.status}; "
                "the call will be retried",
                response.status,
            )
        return payload


class OriginClient:
    """Fetch manifests and chunks from the origin."""

    __slots__ = ("caller", "chunk_caller")

    def __init__(
        self, caller: HttpCaller, chunk_caller: HttpCaller | None = None
    ) -> None:
        self.caller = caller
        # May keep its connections, as the bytes are compared with a digest.
        self.chunk_caller = chunk_caller or caller

    async def manifest(
        self, address: str, model: str, version: int | None, timeout: timedelta
    ) -> ChunkManifest:
        """Return the manifest of a version, the newest one by default."""
        query = "" if version is None else f"?version={version}"
        url = f"http://{address}/manifest/{model}{query}"
        body = await self.caller.call("GET", url, timeout)
        return decode_manifest(body)

    async def chunk(
        self, address: str, model: str, version: int, index: int, timeout: timedelta
    ) -> bytes:
        """Return the bytes of a chunk."""
        # `num` is the index of the chunk.
        url = f"http://{address}/piece/{model}?num={index}&version={version}"
        return await self.chunk_caller.call("GET", url, timeout)


class EngineClient:
    """Call the engine on the same VM."""

    __slots__ = ("address", "caller", "chunk_caller")

    def __init__(
        self,
        address: Endpoint,
        caller: HttpCaller,
        chunk_caller: HttpCaller | None = None,
    ) -> None:
        self.address = address
        self.caller = caller
        # May keep its connections, as staged chunks are compared with a digest.
        self.chunk_caller = chunk_caller or caller

    def with_chunk_caller(self, chunk_caller: HttpCaller) -> EngineClient:
        """Return a client that stages and reads chunks by another caller."""
        return EngineClient(self.address, self.caller, chunk_caller)

    async def state(self) -> EngineState:
        """Return the engine's report."""
        body = await self._call("GET", "/report")
        return decode_engine_state(body)

    async def stage(self, model: str, index: int, payload: bytes) -> None:
        """Put a chunk into the engine's staging area."""
        url = f"http://{self.address}/stage-put/{model}?num={index}"
        await self.chunk_caller.call(
            "PUT", url, LOCAL_TIMEOUT, payload, max_bytes=MAX_REPORT_BYTES
        )

    async def staged(self, model: str, index: int) -> bytes:
        """Return a staged chunk."""
        url = f"http://{self.address}/stage-get/{model}?num={index}"
        return await self.chunk_caller.call("GET", url, LOCAL_TIMEOUT)

    async def staged_indices(self, model: str) -> list[int]:
        """Return the indices of the staged chunks."""
        body = await self._call("GET", f"/stage-get/{model}")
        try:
            # `held` lists the indices of the staged chunks.
            indices = msgspec.json.decode(body, type=dict).get("held") or []
            return [int(index) for index in indices]
        except DECODING_ERRORS as error:
            raise CallError(
                f"list of staged chunks cannot be decoded: {describe_error(error)}; "
                "all chunks will be staged again"
            ) from error

    async def load(self, model: str, version: int, orders_accepted: int) -> None:
        """Order the engine to load the staged weights once its requests have ended.

        The engine refuses the order with status 409 if it has begun another one since
        it reported the number of orders.
        """
        order = {
            # `start` loads the staged weights; `wait` lets running requests end.
            "operation": "start",
            "model": model,
            "version": version,
            "mode": "wait",
            "expect": orders_accepted,
        }
        headers = {"Content-Type": "application/json"}
        await self._call("POST", "/order", msgspec.json.encode(order), headers)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> bytes:
        url = f"http://{self.address}{path}"
        return await self.caller.call(
            method, url, LOCAL_TIMEOUT, body, headers, max_bytes=MAX_REPORT_BYTES
        )


def decode_manifest(body: bytes) -> ChunkManifest:
    """Decode a manifest or raise `CallError`."""
    try:
        fields = msgspec.json.decode(body, type=dict)
        return ChunkManifest(
            model=str(fields["model"]),
            version=int(fields["version"]),
            layers=int(fields.get("layers") or 0),
            digests=[str(digest) for digest in fields["digests"]],
            chunk_bytes=int(fields.get("chunkBytes") or 0),
        )
    except DECODING_ERRORS as error:
        raise CallError(
            f"manifest cannot be decoded: {describe_error(error)}; it will be fetched "
            "again"
        ) from error


def decode_engine_state(body: bytes) -> EngineState:
    """Decode an engine's report or raise `CallError`."""
    try:
        fields = msgspec.json.decode(body, type=dict)
        # Layer range of the models that name none of their own.
        default_layers = fields.get("layers")
        return EngineState(
            models=[
                _decode_held_model(item, default_layers)
                for item in fields.get("models") or ()
            ],
            ordering=bool(fields.get("busy")),
            # `seq` counts the orders that the engine began to execute.
            orders_accepted=int(fields.get("seq") or 0),
            queued=int(fields.get("queued") or 0),
            active=int(fields.get("active") or 0),
            pace=float(fields.get("pace") or 1.0),
            # `born` is the start time of the engine.
            started_ms=int(fields.get("born") or 0),
        )
    except DECODING_ERRORS as error:
        raise CallError(
            f"engine report cannot be decoded: {describe_error(error)}; it will be "
            "requested again"
        ) from error


def _decode_held_model(item: dict[str, Any], default_layers: Any) -> HeldModel:
    layers = item.get("layers") or default_layers or {}
    # Of a list of ranges, the first one is used.
    if isinstance(layers, list):
        layers = layers[0] if layers else {}
    return HeldModel(
        model=str(item["name"]),
        version=int(item.get("version") or 0),
        layers_from=int(layers.get("from") or 0),
        layers_to=int(layers.get("to") or 0),
    )
