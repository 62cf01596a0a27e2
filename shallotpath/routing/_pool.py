"""The agents of one service in one failure domain."""

from __future__ import annotations

from bisect import bisect_left, insort
from heapq import nlargest

from ..core import rendezvous_score

RANKING_LENGTH = 3
# Slots that missed more joins than this are ranked from scratch.
MAX_RECENT_JOINS = 64


class Pool:
    """Keep the agents, ranked for this entry and for each affinity slot.

    All rankings use rendezvous hashing. The first agents in the ranking for the
    entry are the subset that its calls without affinity use. A slot is a hash key
    derived from the prefix or fingerprint of a call. Joins and leaves cost a binary
    search; the ranking of a slot is updated when it is next used.
    """

    __slots__ = (
        "entry_id",
        "ids_",
        "join_count_",
        "ranked_for_entry_",
        "rankings_by_slot_",
        "recent_joins_",
    )

    def __init__(self, entry_id: str) -> None:
        self.entry_id = entry_id
        self.ids_: set[str] = set()
        self.ranked_for_entry_: list[tuple[int, str]] = []
        self.recent_joins_: list[str] = []
        self.join_count_ = 0
        self.rankings_by_slot_: dict[str, tuple[int, list[tuple[int, str]]]] = {}

    def __len__(self) -> int:
        return len(self.ids_)

    def add(self, member_id: str) -> None:
        """Add an agent."""
        if member_id in self.ids_:
            return
        self.ids_.add(member_id)
        insort(
            self.ranked_for_entry_,
            (rendezvous_score(self.entry_id, member_id), member_id),
        )
        self.recent_joins_.append(member_id)
        self.join_count_ += 1
        if len(self.recent_joins_) > MAX_RECENT_JOINS:
            del self.recent_joins_[0]

    def remove(self, member_id: str) -> None:
        """Remove an agent."""
        if member_id not in self.ids_:
            return
        self.ids_.discard(member_id)
        item = (rendezvous_score(self.entry_id, member_id), member_id)
        del self.ranked_for_entry_[bisect_left(self.ranked_for_entry_, item)]

    def agent_at(self, index: int) -> str:
        """Return the agent at a position of the ranking for this entry."""
        return self.ranked_for_entry_[index][1]

    def ranking(self, slot: str) -> list[str]:
        """Return the first agents in the ranking of a slot."""
        counted_joins, ranked = self.rankings_by_slot_.get(slot, (-1, []))
        missed_joins = self.join_count_ - counted_joins
        departed = any(member_id not in self.ids_ for _, member_id in ranked)
        if counted_joins < 0 or departed or missed_joins > len(self.recent_joins_):
            ranked = self._rank(slot, self.ids_)
        elif missed_joins:
            ids = {member_id for _, member_id in ranked}
            ids.update(
                id_ for id_ in self.recent_joins_[-missed_joins:] if id_ in self.ids_
            )
            ranked = self._rank(slot, ids)
        if missed_joins or departed:
            self.rankings_by_slot_[slot] = (self.join_count_, ranked)
        return [member_id for _, member_id in ranked]

    def _rank(self, slot: str, ids: set[str]) -> list[tuple[int, str]]:
        scored = ((rendezvous_score(slot, id_), id_) for id_ in ids)
        return nlargest(RANKING_LENGTH, scored)
