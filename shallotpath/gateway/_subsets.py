"""Assignment of entries to upstreams, computed by each entry from its list of entries.

Rendezvous hashing keeps the assignments of entries with different lists nearly equal:
an entry that is missing in a list only moves what was assigned to it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ..core import rendezvous_order

# Entries that prefer the same upstream and notify each other of each request to it.
# More of them share the traffic of an upstream more evenly, but need more messages.
PRIMARY_ENTRIES = 8


@dataclass(slots=True, frozen=True)
class _Assignment:
    primaries: tuple[str, ...]
    # Position of the own entry: primaries come first, then all others.
    own_position: int


class EntrySubsets:
    """Assign primary entries to upstreams and divide limits into whole requests.

    All entries together get exactly the limit if their lists are equal. An entry whose
    share is 0 sends nothing.
    """

    __slots__ = (
        "assignments_by_upstream_",
        "own",
        "positions_by_key_",
        "regions_by_id_",
        "revision",
    )

    def __init__(self, own: str, region: str) -> None:
        self.own = own
        self.regions_by_id_: dict[str, str] = {own: region}
        # Changes with the list of entries.
        self.revision = 0
        self.assignments_by_upstream_: dict[tuple[str, str], _Assignment] = {}
        self.positions_by_key_: dict[str, int] = {}

    @property
    def count(self) -> int:
        """Return the number of entries, the own one included."""
        return len(self.regions_by_id_)

    def knows(self, entry_id: str) -> bool:
        """Check whether an entry and its region are in the list."""
        return bool(self.regions_by_id_.get(entry_id))

    def update(self, regions_by_id: Mapping[str, str]) -> None:
        """Set the regions of the other entries; empty where unknown."""
        updated = {**regions_by_id, self.own: self.regions_by_id_[self.own]}
        if updated == self.regions_by_id_:
            return
        self.regions_by_id_ = updated
        self.revision += 1
        self.assignments_by_upstream_.clear()
        self.positions_by_key_.clear()

    def primaries(self, upstream_id: str, region: str) -> tuple[str, ...]:
        """Return the entries that prefer an upstream of a region."""
        return self._assignment(upstream_id, region).primaries

    def is_primary(self, upstream_id: str, region: str) -> bool:
        """Check whether the own entry prefers an upstream of a region."""
        return self.own in self._assignment(upstream_id, region).primaries

    def upstream_share(self, upstream_id: str, region: str, total: int) -> int:
        """Return the part of an upstream's limit that the own entry may use.

        Each primary entry gets one request before all entries share the rest, so that
        the upstream stays usable where there are more entries than requests.
        """
        assignment = self._assignment(upstream_id, region)
        position, primaries = assignment.own_position, len(assignment.primaries)
        first = int(position < min(primaries, total))
        return first + _deal(max(0, total - primaries), self.count, position)

    def share(self, key: str, total: int) -> int:
        """Return the part of another limit that the own entry may use."""
        position = self.positions_by_key_.get(key)
        if position is None:
            position = rendezvous_order(key, self.regions_by_id_).index(self.own)
            self.positions_by_key_[key] = position
        return _deal(total, self.count, position)

    def _assignment(self, upstream_id: str, region: str) -> _Assignment:
        known = self.assignments_by_upstream_.get((upstream_id, region))
        if known is None:
            order = rendezvous_order(upstream_id, self.regions_by_id_)
            # Entries of the upstream's region come first.
            order.sort(key=lambda entry: self.regions_by_id_[entry] != region)
            primaries = tuple(order[:PRIMARY_ENTRIES])
            others = rendezvous_order(upstream_id, order[PRIMARY_ENTRIES:])
            position = [*primaries, *others].index(self.own)
            known = _Assignment(primaries, position)
            self.assignments_by_upstream_[upstream_id, region] = known
        return known


def _deal(total: int, count: int, position: int) -> int:
    """Return how many of some items the holder at a position gets in turn."""
    return total // count + (position < total % count)
