"""Assignment of entries to upstreams, computed by each entry from its list of entries.

Rendezvous hashing keeps the assignments of entries with different lists nearly equal:
an entry that is missing in a list only moves what was assigned to it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ..core import rendezvous_order, rendezvous_score

# Entries that prefer the same upstream and notify each other of each request to it.
# More of them share the traffic of an upstream more evenly, but need more messages.
PRIMARY_ENTRIES = 10
# Multiplicative hashing (Knuth): a digest for each pair of an entry and an upstream
# would take most of a second in a large fleet.
MULTIPLIER = 0x9E3779B97F4A7C15
MASK = (1 << 64) - 1


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
        "counts_by_region_",
        "hashes_by_id_",
        "own",
        "positions_by_key_",
        "regions_by_id_",
        "revision",
    )

    def __init__(self, own: str, region: str) -> None:
        self.own = own
        self.regions_by_id_: dict[str, str] = {own: region}
        self.counts_by_region_ = Counter([region])
        self.hashes_by_id_: dict[str, int] = {own: rendezvous_score("entry", own)}
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
        known = self.hashes_by_id_
        self.hashes_by_id_ = {
            entry: known.get(entry) or rendezvous_score("entry", entry)
            for entry in updated
        }
        self.regions_by_id_ = updated
        self.counts_by_region_ = Counter(updated.values())
        self.revision += 1
        self.assignments_by_upstream_.clear()
        self.positions_by_key_.clear()

    def primaries(self, upstream_id: str, region: str) -> tuple[str, ...]:
        """Return the entries that prefer an upstream of a region."""
        return self._assignment(upstream_id, region).primaries

    def is_primary(self, upstream_id: str, region: str) -> bool:
        """Check whether the own entry prefers an upstream of a region."""
        if (
            region != self.regions_by_id_[self.own]
            and self.counts_by_region_[region] >= PRIMARY_ENTRIES
        ):
            return False
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
            order = self._order(upstream_id)
            # Entries of the upstream's region come first.
            regions = self.regions_by_id_
            local_first = sorted(order, key=lambda entry: regions[entry] != region)
            primaries = tuple(local_first[:PRIMARY_ENTRIES])
            others = [entry for entry in order if entry not in primaries]
            position = [*primaries, *others].index(self.own)
            known = _Assignment(primaries, position)
            self.assignments_by_upstream_[upstream_id, region] = known
        return known

    def _order(self, upstream_id: str) -> list[str]:
        """Return the entries by their weights for an upstream, the highest first."""
        upstream_hash = rendezvous_score("upstream", upstream_id)
        weights = {
            entry: ((entry_hash ^ upstream_hash) * MULTIPLIER) & MASK
            for entry, entry_hash in self.hashes_by_id_.items()
        }
        return sorted(weights, key=lambda entry: (weights[entry], entry), reverse=True)


def _deal(total: int, count: int, position: int) -> int:
    """Return how many of some items the holder at a position gets in turn."""
    return total // count + (position < total % count)
