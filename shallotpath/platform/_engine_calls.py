"""Calls to an engine, to the origin of weights, and their shapes."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import aiohttp
import msgspec

from ..core import PlatformError
from ..webclient import read_body
from ._settings import Endpoint

# Calls on the own VM take milliseconds unless the VM is paused.
LOCAL_TIMEOUT = timedelta(seconds=2)
# Largest answer to a call: a chunk, a manifest, or a page of records.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Largest report of an engine, listing of what is staged, or answer to an order.
MAX_REPORT_BYTES = 1024 * 1024
_OK = 200
_ACCEPTED = 202


class CallError(PlatformError):
    """Report a call that was refused or not answered."""

    def __init__(self, message: str, status: int = 0) -> None:
        super().__init__(message)
        self.status = status


@dataclass(slots=True, frozen=True)
class HeldModel:
    """Describe which weights of a model an engine holds."""

    model: str
    version: int
    layers_from: int
    # Exclusive.
    layers_to: int


@dataclass(slots=True, frozen=True)
class EngineState:
    """Report of an engine."""

    models: list[HeldModel]
    # An order is in progress.
    ordering: bool
    orders_accepted: int
    queued: int
    active: int
    pace: float
    born_ms: int


@dataclass(slots=True, frozen=True)
class ChunkManifest:
    """List the digests of the chunks of a version."""

    model: str
    version: int
    layers: int
    digests: list[str]


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
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> bytes:
        """Return the body of a successful answer or raise `CallError`."""
        limit = aiohttp.ClientTimeout(total=timeout.total_seconds())
        try:
            async with self.session.request(
                method, url, data=body, headers=headers, timeout=limit
            ) as response:
                payload = await read_body(response, max_bytes)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise CallError(
                f"{method} {url} was not answered: {error!r}; it is tried again"
            ) from error
        if response.status not in (_OK, _ACCEPTED):
            raise CallError(
                f"{method} {url} was answered with {response.status}; "
                "it is tried again",
                response.status,
            )
        return payload


class OriginClient:
    """Fetch manifests and chunks from the origin."""

    __slots__ = ("caller",)

    def __init__(self, caller: HttpCaller) -> None:
        self.caller = caller

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
        url = f"http://{address}/piece/{model}?num={index}&version={version}"
        return await self.caller.call("GET", url, timeout)


class EngineClient:
    """Call the engine on the own VM."""

    __slots__ = ("address", "caller")

    def __init__(self, address: Endpoint, caller: HttpCaller) -> None:
        self.address = address
        self.caller = caller

    async def state(self) -> EngineState:
        """Return the engine's report."""
        body = await self._call("GET", "/report")
        return decode_engine_state(body)

    async def stage(self, model: str, index: int, payload: bytes) -> None:
        """Put a chunk into the engine's staging area."""
        await self._call("PUT", f"/stage-put/{model}?num={index}", payload)

    async def staged(self, model: str, index: int) -> bytes:
        """Return a staged chunk."""
        path = f"/stage-get/{model}?num={index}"
        return await self._call("GET", path, max_bytes=MAX_ANSWER_BYTES)

    async def staged_indices(self, model: str) -> list[int]:
        """Return which chunks are staged."""
        body = await self._call("GET", f"/stage-get/{model}")
        try:
            held = msgspec.json.decode(body, type=dict).get("held") or []
            return [int(index) for index in held]
        except (msgspec.DecodeError, TypeError, ValueError) as error:
            raise CallError(
                f"listing of staged chunks cannot be read: {error!r}; "
                "all are staged again"
            ) from error

    async def load(self, model: str, version: int) -> None:
        """Order the engine to load what is staged once its requests have ended."""
        order = {
            "operation": "start",
            "model": model,
            "version": version,
            "mode": "wait",
        }
        headers = {"Content-Type": "application/json"}
        await self._call("POST", "/order", msgspec.json.encode(order), headers)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        *,
        max_bytes: int = MAX_REPORT_BYTES,
    ) -> bytes:
        url = f"http://{self.address}{path}"
        return await self.caller.call(
            method, url, LOCAL_TIMEOUT, body, headers, max_bytes=max_bytes
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
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise CallError(
            f"manifest cannot be read: {error!r}; it is fetched again"
        ) from error


def decode_engine_state(body: bytes) -> EngineState:
    """Decode an engine's report or raise `CallError`."""
    try:
        fields = msgspec.json.decode(body, type=dict)
        layers = fields.get("layers")
        return EngineState(
            models=[_held(item, layers) for item in fields.get("models") or ()],
            ordering=bool(fields.get("busy")),
            # `seq` counts the orders that began something since the start.
            orders_accepted=int(fields.get("seq") or 0),
            queued=int(fields.get("queued") or 0),
            active=int(fields.get("active") or 0),
            pace=float(fields.get("pace") or 1.0),
            born_ms=int(fields.get("born") or 0),
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise CallError(
            f"report of the engine cannot be read: {error!r}; it is asked again"
        ) from error


def _held(item: dict[str, Any], outer: Any) -> HeldModel:
    layers = item.get("layers") or outer or {}
    if isinstance(layers, list):
        layers = layers[0] if layers else {}
    return HeldModel(
        model=str(item["name"]),
        version=int(item.get("version") or 0),
        layers_from=int(layers.get("from") or 0),
        layers_to=int(layers.get("to") or 0),
    )
