"""Neighbours of a member: its successors on several hashed rings."""

from __future__ import annotations

from collections.abc import Iterable

from ._table import RING_COUNT, ring_positions


class Rings:
    """Choose a bounded number of neighbours for each member.

    On each ring every member is the successor of exactly one other, so that every
    member is probed. Independent random choices could leave some out.
    """

    __slots__ = ("id", "positions_by_id_")

    def __init__(self, id: str) -> None:
        self.id = id
        self.positions_by_id_: dict[str, tuple[int, ...]] = {}

    def successors(self, ids: Iterable[str]) -> list[str]:
        """Return the distinct successors of this member among the given ids."""
        others = [id for id in ids if id != self.id]
        own = self._positions(self.id)
        positions = [(self._positions(id), id) for id in others]
        chosen: dict[str, None] = {}
        for ring in range(RING_COUNT):
            start = own[ring]
            nearest = min(
                positions,
                key=lambda item: (item[0][ring] - start) % 2**64,  # noqa: B023
                default=None,
            )
            if nearest is not None:
                chosen[nearest[1]] = None
        return list(chosen)

    def forget(self, id: str) -> None:
        """Drop the cached positions of a member."""
        self.positions_by_id_.pop(id, None)

    def _positions(self, id: str) -> tuple[int, ...]:
        positions = self.positions_by_id_.get(id)
        if positions is None:
            positions = self.positions_by_id_[id] = ring_positions(id)
        return positions
