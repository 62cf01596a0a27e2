"""Transfer of weight chunks over HTTP: from the origin and between sidecars."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from datetime import timedelta

import msgspec
from aiohttp import web

from ..core import Clock
from ..gateway import OperatorState
from ..platform import CallError, ChunkManifest, HttpCaller, OriginClient
from ..replication import PeerTable
from ..swarm import ORIGIN, Fetch, OriginLimits, SwarmPlan, UploadPacer

MANIFEST_TIMEOUT = timedelta(milliseconds=1500)
# A chunk takes about 0.3 s when it shares a link of 3.65 Mbit/s with others.
CHUNK_TIMEOUT = timedelta(seconds=2)
CHUNK_PATH = "/chunk"
MANIFEST_PATH = "/manifest"
BUSY_STATUS = 503


class _PeerManifest(msgspec.Struct):
    model: str
    version: int
    digests: list[str]
    chunk_bytes: int = 0


def _checked(manifest: ChunkManifest, model: str, version: int | None) -> ChunkManifest:
    """Return a manifest or raise `CallError` if it is not the one asked for."""
    is_other_version = version is not None and manifest.version != version
    if manifest.model != model or is_other_version or not manifest.digests:
        raise CallError(
            f"manifest of {model} version {version} describes {manifest.model} "
            f"version {manifest.version}; it will be fetched again"
        )
    return manifest


class ChunkFetcher:
    """Fetch manifests from the origin, and chunks from the origin and sidecars."""

    __slots__ = ("chunk_caller", "operator", "origin_", "peers")

    def __init__(
        self,
        operator: OperatorState,
        peers: PeerTable,
        caller: HttpCaller,
        chunk_caller: HttpCaller,
    ) -> None:
        self.operator = operator
        self.peers = peers
        self.chunk_caller = chunk_caller
        # Kept connections of many sidecars would use up those that the origin accepts.
        self.origin_ = OriginClient(caller)

    @property
    def origin_limits(self) -> OriginLimits:
        """Return what the configuration says about the origin."""
        catalog = self.operator.catalog
        for origin in catalog.origins_by_id.values() if catalog else ():
            return OriginLimits(origin.bytes_per_s, origin.max_connections)
        return OriginLimits()

    async def manifest(self, model: str, version: int | None) -> ChunkManifest:
        """Return the manifest of a version, the newest one by default."""
        manifest = await self.origin_.manifest(
            self._origin_address(), model, version, MANIFEST_TIMEOUT
        )
        return _checked(manifest, model, version)

    async def peer_manifest(
        self, peer_id: str, model: str, version: int
    ) -> ChunkManifest:
        """Return the manifest of a version from a sidecar that holds chunks of it."""
        url = (
            f"{self._peer_url(peer_id, MANIFEST_PATH)}?model={model}&version={version}"
        )
        body = await self.chunk_caller.call("GET", url, MANIFEST_TIMEOUT)
        try:
            manifest = msgspec.json.decode(body, type=_PeerManifest)
        except msgspec.DecodeError as error:
            raise CallError(
                f"manifest of sidecar {peer_id} cannot be decoded: {error}; it will be "
                "fetched from the origin"
            ) from error
        return _checked(
            ChunkManifest(
                manifest.model,
                manifest.version,
                layers=0,
                digests=manifest.digests,
                chunk_bytes=manifest.chunk_bytes,
            ),
            model,
            version,
        )

    async def chunk(self, plan: SwarmPlan, fetch: Fetch) -> bytes:
        """Return the bytes of a chunk from the planned source."""
        if fetch.source == ORIGIN:
            return await self.origin_.chunk(
                self._origin_address(),
                plan.model,
                plan.version,
                fetch.index,
                plan.origin_timeout,
            )
        url = (
            f"{self._peer_url(fetch.source, CHUNK_PATH)}"
            f"?model={plan.model}&version={plan.version}&index={fetch.index}"
        )
        return await self.chunk_caller.call("GET", url, CHUNK_TIMEOUT)

    def _peer_url(self, peer_id: str, path: str) -> str:
        peer = self.peers.address(peer_id)
        if peer is None:
            raise CallError(
                f"sidecar {peer_id} is no longer a known peer; trying another source"
            )
        return f"http://{peer.host}:{peer.port}{path}"

    def _origin_address(self) -> str:
        catalog = self.operator.catalog
        for origin in catalog.origins_by_id.values() if catalog else ():
            return origin.address
        raise CallError(
            "the configuration has no weight origin; add a service with an origin"
        )


class ChunkServer:
    """Send chunks to other sidecars at the rate of this VM's link."""

    __slots__ = ("clock", "pacer_")

    def __init__(self, clock: Clock, link_bytes_per_s: float) -> None:
        self.clock = clock
        self.pacer_ = UploadPacer(link_bytes_per_s)

    async def answer(
        self, request: web.BaseRequest, plans: Iterable[SwarmPlan]
    ) -> web.Response:
        """Answer a sidecar's request for a chunk."""
        query = request.query
        chunk = None
        for plan in plans:
            requested = (query.get("model"), query.get("version"))
            index = query.get("index", "")
            if requested == (plan.model, str(plan.version)) and index.isdecimal():
                chunk = chunk or plan.chunk(int(index))
        if chunk is None:
            return web.Response(status=404, text="chunk not found\n")
        wait = self.pacer_.reserve(len(chunk), self.clock.now())
        if wait is None:
            return web.Response(status=BUSY_STATUS, text="uplink is busy\n")
        await asyncio.sleep(wait.total_seconds())
        return web.Response(body=chunk)
