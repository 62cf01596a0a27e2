"""Fingerprints of requests that were in flight when an engine crashed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import StrEnum
from functools import singledispatchmethod

from ..core import (
    Count,
    Effect,
    Emit,
    EngineLost,
    Event,
    Gossip,
    QuarantineAnnounced,
    QuarantineReceived,
    QuarantineUpdate,
    Received,
    Send,
    Tick,
)

QUARANTINE_CRASHES = 2
DEFAULT_QUARANTINE = timedelta(minutes=10)
# Bounds memory if crashes involve many fingerprints; the oldest records are dropped.
MAX_FINGERPRINTS = 10_000
# A relayed expiry shifts by the delay of the message; shifts up to this size are not
# gossiped again.
EXPIRY_TOLERANCE = timedelta(seconds=2)


class Suspicion(StrEnum):
    """Describe whether and where requests of a fingerprint may run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class _Record:
    expires: datetime
    crash_ids: set[str] = field(default_factory=set)
    cleared_ids: set[str] = field(default_factory=set)

    @property
    def crashes(self) -> int:
        return len(self.crash_ids - self.cleared_ids)


class Suspects:
    """Track suspect and quarantined fingerprints and exchange them with peers.

    A record holds two sets of crash ids that only grow: crashes that were seen, and
    crashes of which a later completed run cleared the fingerprint. Merging is
    therefore idempotent and commutative.
    """

    __slots__ = (
        "connected",
        "crashes_",
        "incarnation",
        "node_id",
        "pending_",
        "quarantine",
        "records_by_fingerprint_",
    )

    def __init__(
        self,
        *,
        node_id: str,
        incarnation: str,
        connected: Callable[[], Iterable[str]] = tuple,
        quarantine: timedelta = DEFAULT_QUARANTINE,
    ) -> None:
        self.node_id = node_id
        self.incarnation = incarnation
        self.connected = connected
        self.quarantine = quarantine
        self.records_by_fingerprint_: dict[str, _Record] = {}
        self.pending_: dict[str, None] = {}
        self.crashes_ = 0

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event; unknown types have no effect."""
        return []

    @reduce.register
    def _(self, event: EngineLost, now: datetime) -> list[Effect]:
        self.crashes_ += 1
        crash_id = f"{self.node_id}/{self.incarnation}/{self.crashes_}"
        for fingerprint in event.fingerprints:
            if fingerprint:
                self._merge(fingerprint, {crash_id}, set(), now + self.quarantine)
        return [Count("engine_lost"), *self._flush(now)]

    @reduce.register
    def _(self, event: Received, now: datetime) -> list[Effect]:
        if not isinstance(event.message, Gossip) or not event.message.quarantine:
            return []
        self._merge_updates(event.message.quarantine, now)
        return self._flush(now, source=event.peer)

    @reduce.register
    def _(self, event: QuarantineReceived, now: datetime) -> list[Effect]:
        self._merge_updates(event.updates, now)
        return self._flush(now)

    @reduce.register
    def _(self, event: Tick, now: datetime) -> list[Effect]:
        # Records are in order of their last change, which is close to that of expiry.
        for fingerprint, record in list(self._oldest(64)):
            if record.expires <= now:
                del self.records_by_fingerprint_[fingerprint]
        return self._flush(now)

    def state(self, fingerprint: str, now: datetime) -> Suspicion:
        """Return whether a fingerprint is clear, suspect or quarantined."""
        record = self.records_by_fingerprint_.get(fingerprint)
        if record is None or record.expires <= now or not record.crashes:
            return Suspicion.CLEAR
        if record.crashes >= QUARANTINE_CRASHES:
            return Suspicion.QUARANTINED
        return Suspicion.SUSPECT

    def time_left(self, fingerprint: str, now: datetime) -> timedelta:
        """Return the time until the record of a fingerprint expires."""
        record = self.records_by_fingerprint_.get(fingerprint)
        return timedelta() if record is None else max(timedelta(), record.expires - now)

    def crash_sites(self, fingerprint: str) -> list[str]:
        """Return the agents whose engines crashed with a fingerprint."""
        record = self.records_by_fingerprint_.get(fingerprint)
        if record is None:
            return []
        active = sorted(record.crash_ids - record.cleared_ids)
        return [crash_id.rsplit("/", 2)[0] for crash_id in active]

    def completed(self, fingerprint: str, now: datetime) -> None:
        """Clear a fingerprint whose run completed; the next tick informs the peers."""
        record = self.records_by_fingerprint_.get(fingerprint)
        if record is not None and record.crashes:
            self._merge(fingerprint, set(), set(record.crash_ids), record.expires)

    def warning(self, fingerprint: str, now: datetime) -> Gossip | None:
        """Return the message an agent needs before a suspect call, else `None`."""
        if self.state(fingerprint, now) is Suspicion.CLEAR:
            return None
        return Gossip(self.node_id, quarantine=[self._update(fingerprint, now)])

    def updates(self, now: datetime, limit: int = 100) -> list[QuarantineUpdate]:
        """Return the newest records, for periodic gossip and for new connections."""
        newest = list(reversed(self.records_by_fingerprint_))[:limit]
        return [self._update(fingerprint, now) for fingerprint in newest]

    def _merge_updates(self, updates: list[QuarantineUpdate], now: datetime) -> None:
        for update in updates:
            self._merge(
                update.fingerprint,
                set(update.crash_ids),
                set(update.cleared_ids),
                now + min(update.time_left, self.quarantine),
            )

    def _merge(
        self, fingerprint: str, crashes: set[str], cleared: set[str], expires: datetime
    ) -> None:
        record = self.records_by_fingerprint_.pop(fingerprint, None)
        if record is None:
            record = _Record(expires)
            changed = True
        else:
            changed = not (
                crashes <= record.crash_ids
                and cleared <= record.cleared_ids
                and expires <= record.expires + EXPIRY_TOLERANCE
            )
        record.crash_ids |= crashes
        record.cleared_ids |= cleared
        record.expires = max(record.expires, expires)
        self.records_by_fingerprint_[fingerprint] = record
        if changed:
            self.pending_[fingerprint] = None
        if len(self.records_by_fingerprint_) > MAX_FINGERPRINTS:
            del self.records_by_fingerprint_[next(iter(self.records_by_fingerprint_))]

    def _flush(self, now: datetime, source: str = "") -> list[Effect]:
        updates = [
            self._update(fingerprint, now)
            for fingerprint in self.pending_
            if fingerprint in self.records_by_fingerprint_
        ]
        self.pending_.clear()
        if not updates:
            return []
        message = Gossip(self.node_id, quarantine=updates)
        direct = [Send(peer, message) for peer in self.connected() if peer != source]
        return [*direct, Emit(QuarantineAnnounced(updates))]

    def _update(self, fingerprint: str, now: datetime) -> QuarantineUpdate:
        record = self.records_by_fingerprint_[fingerprint]
        return QuarantineUpdate(
            fingerprint,
            record.crashes,
            max(timedelta(), record.expires - now),
            sorted(record.crash_ids),
            sorted(record.cleared_ids),
        )

    def _oldest(self, count: int) -> Iterable[tuple[str, _Record]]:
        items = iter(self.records_by_fingerprint_.items())
        return (item for _, item in zip(range(count), items, strict=False))
