"""The state of the keys at a home agent and the decisions on requests."""

from __future__ import annotations

from datetime import datetime, timedelta

from ..core import Effect, Emit
from ._model import (
    ClaimDecided,
    ClaimDecision,
    ClaimState,
    KeyEntry,
    KnownClaim,
    Phase,
    RunClaim,
    WaitingRequest,
)


class KeyStates:
    """Hold the state of each key and let one request run it.

    Entries are in the order in which they were added, so the oldest come first.
    """

    __slots__ = ("entries_by_key_", "pending_")

    def __init__(self) -> None:
        self.entries_by_key_: dict[str, KeyEntry] = {}
        self.pending_: dict[str, KeyEntry] = {}

    def __len__(self) -> int:
        return len(self.entries_by_key_)

    @property
    def pending(self) -> dict[str, KeyEntry]:
        """Return the undecided keys."""
        return self.pending_

    def holds(self, key: str) -> bool:
        """Check whether the state of a key is known."""
        return key in self.entries_by_key_

    def request(self, key: str, item: WaitingRequest, now: datetime) -> list[Effect]:
        """Decide on a request, or queue it until its key is decided."""
        entry = self.entries_by_key_.get(key)
        if entry is None:
            entry = KeyEntry(Phase.PENDING, now)
            self.entries_by_key_[key] = entry
        if entry.phase is not Phase.PENDING:
            return [decision_effect(key, item, self._decide(entry))]
        entry.waiting = [*(entry.waiting or ()), item]
        self.pending_[key] = entry
        return []

    def mark_claimed(self, key: str, now: datetime) -> list[Effect]:
        """Record that this agent owns the claim on a key."""
        entry = self.entries_by_key_.get(key)
        if entry is None:
            self.entries_by_key_[key] = KeyEntry(Phase.CLAIMED, now)
            return []
        return self._resolve(key, entry, Phase.CLAIMED)

    def mark_unknown(self, key: str, now: datetime) -> list[Effect]:
        """Record that another incarnation claimed a key or may have run it."""
        entry = self.entries_by_key_.get(key)
        if entry is None:
            self.entries_by_key_[key] = KeyEntry(Phase.UNKNOWN, now)
            return []
        return self._resolve(key, entry, Phase.UNKNOWN)

    def finish(self, key: str, status: int) -> None:
        """Keep the outcome of a run; a status of 0 means that it is unknown."""
        entry = self.entries_by_key_.get(key)
        if entry is not None and entry.phase is Phase.RUNNING:
            entry.phase = Phase.FINISHED if status else Phase.UNKNOWN
            entry.status = status

    def release(self, key: str) -> None:
        """Allow the next request to run a key whose call was never sent."""
        entry = self.entries_by_key_.get(key)
        if entry is not None and entry.phase is Phase.RUNNING:
            entry.phase = Phase.CLAIMED

    def pop_overdue(self, now: datetime) -> list[tuple[str, WaitingRequest]]:
        """Remove and return the requests whose deadline has passed."""
        late = []
        for key, entry in self.pending_.items():
            waiting = entry.waiting or []
            if any(item.deadline <= now for item in waiting):
                late += [(key, item) for item in waiting if item.deadline <= now]
                entry.waiting = [item for item in waiting if item.deadline > now]
        return late

    def drop(self, key: str) -> list[WaitingRequest]:
        """Remove an undecided key and return the requests that wait for it."""
        entry = self.pending_.pop(key)
        del self.entries_by_key_[key]
        return entry.waiting or []

    def expire(self, now: datetime, window: timedelta) -> list[str]:
        """Remove and return the keys that are older than the claim window."""
        expired = []
        for key, entry in self.entries_by_key_.items():
            if entry.at > now - window:
                break
            expired.append(key)
        for key in expired:
            del self.entries_by_key_[key]
            self.pending_.pop(key, None)
        return expired

    def _resolve(self, key: str, entry: KeyEntry, phase: Phase) -> list[Effect]:
        if entry.phase is not Phase.PENDING:
            return []
        self.pending_.pop(key, None)
        entry.phase = phase
        waiting, entry.waiting = entry.waiting or [], None
        return [decision_effect(key, item, self._decide(entry)) for item in waiting]

    def _decide(self, entry: KeyEntry) -> ClaimDecision:
        if entry.phase is Phase.CLAIMED:
            entry.phase = Phase.RUNNING
            return RunClaim()
        return KnownClaim(ClaimState(entry.phase, entry.status))


def decision_effect(key: str, item: WaitingRequest, decision: ClaimDecision) -> Effect:
    """Return the effect that reports a decision."""
    return Emit(ClaimDecided(item.request_id, key, decision))
