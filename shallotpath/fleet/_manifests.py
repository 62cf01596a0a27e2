"""Manifests of announced versions, fetched from peers where they have them."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from datetime import datetime, timedelta
from random import Random

import msgspec
from aiohttp import web

from ..core import Clock
from ..platform import CallError, ChunkManifest
from ..swarm import SwarmMember, SwarmPlan, origin_order
from ._chunks import ChunkFetcher

# Members that ask the origin at once. A manifest is about a third of a chunk, so one
# for each member would be a large part of a copy in a large swarm.
ORIGIN_REQUESTERS = 4
# Time after which twice as many members may ask the origin.
ORIGIN_STEP = timedelta(milliseconds=400)


class ManifestSource:
    """Choose where this sidecar fetches a manifest from."""

    __slots__ = ("clock", "fetcher", "own_id", "random", "wanted_", "wanted_since_")

    def __init__(
        self, own_id: str, fetcher: ChunkFetcher, clock: Clock, random: Random
    ) -> None:
        self.own_id = own_id
        self.fetcher = fetcher
        self.clock = clock
        self.random = random
        self.wanted_: tuple[str, int | None] | None = None
        self.wanted_since_: datetime | None = None

    async def fetch(
        self,
        model: str,
        version: int | None,
        members: Iterable[SwarmMember],
        holder_ids: Collection[str],
    ) -> ChunkManifest | None:
        """Return a manifest, or `None` while other members are to fetch it first."""
        if version is None:
            return await self.fetcher.manifest(model, None)
        now = self.clock.now()
        if self.wanted_ != (model, version):
            self.wanted_, self.wanted_since_ = (model, version), now
        if holder_ids:
            holder = self.random.choice(sorted(holder_ids))
            try:
                return await self.fetcher.peer_manifest(holder, model, version)
            except CallError:
                # A peer of an earlier release does not serve manifests.
                return await self.fetcher.manifest(model, version)
        rank = origin_order(f"{model}/{version}", members).index(self.own_id)
        steps = (now - self.wanted_since_) // ORIGIN_STEP
        if rank >= ORIGIN_REQUESTERS * 2**steps:
            return None
        return await self.fetcher.manifest(model, version)


def answer_manifest(
    request: web.BaseRequest, plans: Iterable[SwarmPlan]
) -> web.Response:
    """Answer a sidecar's request for a manifest."""
    requested = (request.query.get("model"), request.query.get("version"))
    for plan in plans:
        if requested == (plan.model, str(plan.version)):
            if plan.has_doubtful_digest:
                break
            return web.Response(
                body=msgspec.json.encode(
                    {
                        "model": plan.model,
                        "version": plan.version,
                        "digests": plan.digests,
                        "chunk_bytes": plan.chunk_bytes,
                    }
                )
            )
    return web.Response(status=404, text="manifest not found\n")
