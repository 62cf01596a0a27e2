"""A lease over a log with conditional appends."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

from msgspec import structs

from ._record import LeaseRecord

# A tenth covers a call on its way and clocks that differ in speed.
MARGIN_SHARE = 0.1
# Tokens of an era begin above those of all eras before. A log with as many records in
# an era would need years.
TOKENS_PER_ERA = 2**32


@dataclass(slots=True, frozen=True)
class LeaseRules:
    """Hold the times of a lease.

    A holder stops `margin` before the lease ends and a successor begins `margin` after
    it. Both measure on their own clocks; the gap covers calls on their way and clocks
    of different speed.
    """

    duration: timedelta
    margin: timedelta

    @classmethod
    def within(cls, duration: timedelta, min_margin: timedelta) -> LeaseRules:
        """Return rules that keep at least half of the lease for the holder's calls."""
        margin = max(min_margin, duration * MARGIN_SHARE)
        return cls(duration, min(margin, duration / 2))

    @property
    def hold_time(self) -> timedelta:
        """Return how long a holder may act after the start of its last append."""
        return self.duration - self.margin

    @property
    def takeover_time(self) -> timedelta:
        """Return how long a successor waits after it first saw the last record."""
        return self.duration + self.margin


@dataclass(slots=True, frozen=True)
class Proposal:
    """Describe an append that is valid only at the offset `at`."""

    at: int
    record: LeaseRecord


class Lease:
    """Decide from the records of a log whether this process may act.

    The log accepts an append only at its current end, so that of two processes that
    know the same last record one succeeds. A process acts only on an append that the
    log has acknowledged: an append without an answer may take effect later.
    """

    __slots__ = (
        "earlier_record_",
        "end_",
        "era_",
        "holder",
        "node",
        "offset_",
        "record_",
        "rules",
        "seen_at_",
        "valid_until_",
    )

    def __init__(self, node: str, incarnation: int, rules: LeaseRules) -> None:
        self.node = node
        # A restarted process knows nothing of calls that its predecessor has sent.
        self.holder = f"{node}#{incarnation}"
        self.rules = rules
        # Era of the log; 0 if it never fell back to an older copy, as far as known.
        self.era_ = 0
        # Last record of the eras before.
        self.earlier_record_: LeaseRecord | None = None
        # End of the log; `None` before the first read.
        self.end_: int | None = None
        self.record_: LeaseRecord | None = None
        self.offset_: int | None = None
        self.seen_at_: datetime | None = None
        self.valid_until_: datetime | None = None

    @property
    def record(self) -> LeaseRecord | None:
        """Return the last record known, `None` if there is none."""
        return self.record_

    @property
    def token(self) -> int:
        """Return the fencing token of the last record, 0 without one."""
        return self.record_.token if self.record_ else 0

    @property
    def era(self) -> int:
        """Return the era of the log."""
        return self.era_

    @property
    def earlier_record(self) -> LeaseRecord | None:
        """Return the last record known of the eras before, `None` if there is none."""
        return self.earlier_record_

    @property
    def is_own(self) -> bool:
        """Check whether this process has written the last record known, in this era.

        Of an own record in the copy, later ones may have been lost.
        """
        record = self.record_
        return (
            record is not None
            and record.holder == self.holder
            and record.token >= self._first_token
        )

    @property
    def is_empty(self) -> bool:
        """Check whether the log has been read and never had a record."""
        return self.end_ == 0 and self.era_ == 0

    @property
    def is_read(self) -> bool:
        """Check whether the log has been read in its era."""
        return self.end_ is not None

    @property
    def _first_token(self) -> int:
        return self.era_ * TOKENS_PER_ERA

    def age(self, now: datetime) -> timedelta | None:
        """Return the time since the last record was first seen."""
        return None if self.seen_at_ is None else now - self.seen_at_

    def time_left(self, now: datetime) -> timedelta:
        """Return for how long this process may still act."""
        if self.valid_until_ is None:
            return timedelta()
        return max(timedelta(), self.valid_until_ - now)

    def takeover_at(self) -> datetime:
        """Return when this process may take over if the record stays the last one."""
        return self.seen_at_ + self.rules.takeover_time

    def holds(self, now: datetime) -> bool:
        """Check whether this process may act."""
        return self.valid_until_ is not None and now < self.valid_until_

    def enter_era(self, era: int, now: datetime) -> None:
        """Step down if the log has fallen back to an older copy.

        The copy lacks appends that were acknowledged, also those of other processes.
        All processes wait as long as after a record that they have just seen, so that
        a holder of the era before has stopped by then.
        """
        if era <= self.era_:
            return
        self.era_ = era
        self.earlier_record_ = self.record_ or self.earlier_record_
        self.end_ = self.record_ = self.offset_ = self.valid_until_ = None
        self.seen_at_ = now

    def observe(
        self, record: LeaseRecord | None, offset: int | None, end: int, now: datetime
    ) -> None:
        """Take over the last record that a read has returned, and the log's end."""
        if self.end_ is not None and end < self.end_:
            # An answer that was overtaken by a later one.
            return
        if self.end_ is None or offset != self.offset_:
            self.record_, self.offset_, self.seen_at_ = record, offset, now
        self.end_ = end
        if not self.is_own:
            self.valid_until_ = None

    def may_propose(self, now: datetime) -> bool:
        """Check whether this process may append a record of its own."""
        if self.end_ is None:
            return False
        if self.is_empty or self.is_own:
            return True
        return now - self.seen_at_ >= self.rules.takeover_time

    def propose(self, **changes: object) -> Proposal:
        """Return an append that renews the lease or takes it over."""
        record = self.record_
        continues = self.is_own and not record.released
        # Offsets never fall in an era, so that neither do tokens made from both.
        token = record.token if continues else self._first_token + self.end_ + 1
        base = record or LeaseRecord(self.holder, self.node, token)
        proposed = structs.replace(
            base,
            **{"holder": self.holder, "node": self.node, "token": token}
            | {"released": False}
            | changes,
        )
        return Proposal(self.end_, proposed)

    def accepted(self, proposal: Proposal, started_at: datetime, now: datetime) -> None:
        """Record that the log has acknowledged an append sent at `started_at`."""
        if self.end_ != proposal.at:
            return
        self.record_, self.offset_ = proposal.record, proposal.at
        self.end_ = proposal.at + 1
        self.seen_at_ = now
        self.valid_until_ = (
            None if proposal.record.released else started_at + self.rules.hold_time
        )

    def step_down(self) -> None:
        """Stop acting until the next acknowledged append."""
        self.valid_until_ = None
