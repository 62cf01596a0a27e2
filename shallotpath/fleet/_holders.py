"""Chunk maps that other sidecars report, by version."""

from __future__ import annotations

from collections.abc import Collection
from datetime import datetime

from ..replication import ChunkItem
from ..swarm import SwarmMember, SwarmPlan


class ChunkHolders:
    """Record which chunks of each version other sidecars hold."""

    __slots__ = ("maps_by_version_",)

    def __init__(self) -> None:
        self.maps_by_version_: dict[
            tuple[str, int], dict[str, tuple[SwarmMember, int]]
        ] = {}

    def record(self, member: SwarmMember, item: ChunkItem) -> int:
        """Record the map of a member and return it as a bitmap."""
        bitmap = int.from_bytes(item.bitmap, "little")
        maps = self.maps_by_version_.setdefault((item.model, item.version), {})
        maps[member.id] = (member, bitmap)
        return bitmap

    def fill(self, plan: SwarmPlan, now: datetime) -> None:
        """Pass the maps of its version to a transfer and drop those of older ones."""
        self.maps_by_version_ = {
            key: maps
            for key, maps in self.maps_by_version_.items()
            if key[0] == plan.model and key[1] >= plan.version
        }
        maps = self.maps_by_version_.get((plan.model, plan.version), {})
        for member, bitmap in maps.values():
            plan.peer_has(member, bitmap, now)

    def ids(
        self, model: str, version: int | None, live: Collection[str], region: str
    ) -> list[str]:
        """Return the live sidecars with a transfer, those of a region if any."""
        maps = self.maps_by_version_.get((model, version), {})
        holders = [member for member, _ in maps.values() if member.id in live]
        regional = [member.id for member in holders if member.region == region]
        return regional or [member.id for member in holders]
