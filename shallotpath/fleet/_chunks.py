"""Transfer of weight chunks over HTTP: from the origin and between sidecars."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from datetime import timedelta

from aiohttp import web

from ..core import Clock
from ..gateway import OperatorState
from ..platform import CallError, ChunkManifest, HttpCaller, OriginClient
from ..replication import PeerTable
from ..swarm import ORIGIN, Fetch, SwarmPlan, UploadPacer

MANIFEST_TIMEOUT = timedelta(milliseconds=1500)
# A chunk takes about 0.3 s when it shares a link of 3.65 Mbit/s with others.
CHUNK_TIMEOUT = timedelta(seconds=2)
CHUNK_PATH = "/chunk"
BUSY_STATUS = 503


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
        self.origin_ = OriginClient(caller, chunk_caller)

    async def manifest(self, model: str, version: int | None) -> ChunkManifest:
        """Return the manifest of a version, the newest one by default."""
        manifest = await self.origin_.manifest(
            self._origin_address(), model, version, MANIFEST_TIMEOUT
        )
        is_other_version = version is not None and manifest.version != version
        if manifest.model != model or is_other_version or not manifest.digests:
            raise CallError(
                f"manifest of {model} version {version} describes {manifest.model} "
                f"version {manifest.version}; it will be fetched again"
            )
        return manifest

    async def chunk(self, plan: SwarmPlan, fetch: Fetch) -> bytes:
        """Return the bytes of a chunk from the planned source."""
        if fetch.source == ORIGIN:
            return await self.origin_.chunk(
                self._origin_address(),
                plan.model,
                plan.version,
                fetch.index,
                CHUNK_TIMEOUT,
            )
        peer = self.peers.address(fetch.source)
        if peer is None:
            raise CallError(
                f"sidecar {fetch.source} is no longer a known peer; "
                "trying another source"
            )
        url = (
            f"http://{peer.host}:{peer.port}{CHUNK_PATH}"
            f"?model={plan.model}&version={plan.version}&index={fetch.index}"
        )
        return await self.chunk_caller.call("GET", url, CHUNK_TIMEOUT)

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
