"""The agreed home sets, folded from the claims stream."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from functools import singledispatchmethod
from random import Random

from msgspec.structs import replace

from ..core import (
    Count,
    Effect,
    Event,
    LogRecord,
    RecordsRead,
    rendezvous_choice,
)
from ._home_model import Home, ServiceHomes, UnresolvedClaims, restore_homes
from ._records import (
    STREAM,
    Claims,
    Contact,
    Join,
    Leave,
    Record,
    Retire,
    Settled,
    Snapshot,
    decode_record,
)

CLAIM_WINDOW = timedelta(hours=24)
# Incarnations remembered so that a join that takes effect late is ignored.
MAX_DEPARTED = 4096
# 200 draws miss a domain with 5% of a home set once in 28,000 times.
KEY_DRAWS = 200


class HomeSet:
    """Fold the claims stream into the home set of each service.

    A reader that starts after the first records have expired, or that misses records,
    has no home sets until it reads a snapshot. Records read before the snapshot are
    buffered and folded on top of it.
    """

    __slots__ = (
        "buffer_",
        "departed_incarnations_",
        "departed_order_",
        "gaps_",
        "garbled_",
        "initialized_",
        "offset_",
        "services_",
        "snapshot_at_",
        "window",
    )

    def __init__(self, *, window: timedelta = CLAIM_WINDOW) -> None:
        self.window = window
        self.offset_ = -1
        self.initialized_ = False
        self.buffer_: deque[LogRecord] = deque()
        self.gaps_ = 0
        self.snapshot_at_: datetime | None = None
        self.garbled_ = 0
        self.services_: dict[str, ServiceHomes] = {}
        self.departed_incarnations_: set[str] = set()
        self.departed_order_: deque[str] = deque()

    @property
    def offset(self) -> int:
        """Return the offset of the last record read."""
        return self.offset_

    @property
    def gaps(self) -> int:
        """Return how many times records expired before they were read."""
        return self.gaps_

    @property
    def initialized(self) -> bool:
        """Check whether the home sets are known."""
        return self.initialized_

    @property
    def snapshot_at(self) -> datetime | None:
        """Return when the last snapshot was read."""
        return self.snapshot_at_

    def service(self, service: str) -> ServiceHomes:
        """Return the home set of a service."""
        return self.services_.setdefault(service, ServiceHomes())

    def departed(self, incarnation: str) -> bool:
        """Check whether an incarnation left, was retired or was replaced."""
        return incarnation in self.departed_incarnations_

    def home_of(self, service: str, key: str) -> str | None:
        """Return the member that decides on a key, or None if there is none."""
        return rendezvous_choice(key, self.service(service).active_by_id)

    def is_active(self, service: str, member: str, incarnation: str) -> bool:
        """Check whether an incarnation is an active home agent."""
        home = self.service(service).active_by_id.get(member)
        return home is not None and home.incarnation == incarnation

    def is_home(self, service: str, member: str, incarnation: str, key: str) -> bool:
        """Check whether an incarnation decides on a key."""
        if not self.is_active(service, member, incarnation):
            return False
        return self.home_of(service, key) == member

    def home_after(self, service: str, key: str, offset: int) -> str | None:
        """Return the home agent of a key once all joins up to an offset are active."""
        homes = self.service(service)
        joined = (
            h.member for h in homes.pending_by_id.values() if h.joined_at <= offset
        )
        return rendezvous_choice(key, {*homes.active_by_id, *joined})

    def unresolved_claims(
        self, service: str, key: str, now: datetime
    ) -> list[UnresolvedClaims]:
        """Return the unresolved claims of retired agents that may include a key."""
        unresolved = self.service(service).debts_by_incarnation.values()
        return [
            claims
            for claims in unresolved
            if now - claims.read_at < self.window and claims.affects(key)
        ]

    def new_key(
        self, service: str, domain: str, random: Random, now: datetime
    ) -> str | None:
        """Return a new key whose home agent is in a domain.

        Keys with unresolved claims are avoided. Falls back to a home agent of any
        domain and returns None if the home set is empty.
        """
        homes = self.service(service).active_by_id
        fallback = None
        for _ in range(KEY_DRAWS):
            key = f"{random.getrandbits(128):032x}"
            home = rendezvous_choice(key, homes)
            if home is None:
                return None
            if self.unresolved_claims(service, key, now):
                continue
            if homes[home].domain == domain:
                return key
            fallback = key
        return fallback or key

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: RecordsRead, now: datetime) -> list[Effect]:
        if event.stream != STREAM:
            return []
        garbled = self.garbled_
        for record in event.records:
            for _ in self.apply(record, now):
                pass
        if self.garbled_ == garbled:
            return []
        return [Count("claims_garbled_records", amount=self.garbled_ - garbled)]

    def apply(self, entry: LogRecord, now: datetime) -> Iterator[Record]:
        """Fold one log record; yield each record that was folded, in order.

        Old and garbled records yield nothing. The caller must exhaust the
        iterator and may read the home sets at the offset of each record.
        """
        if entry.offset <= self.offset_:
            return
        if self.initialized_ and entry.offset > self.offset_ + 1:
            self.gaps_ += 1
            self.initialized_ = False
            self.services_.clear()
        if entry.offset == 0:
            self.initialized_ = True
        self.offset_ = entry.offset
        record = decode_record(entry.data)
        if record is None:
            self.garbled_ += 1
        elif self.initialized_:
            self._fold(record, entry.offset, now)
            yield record
        else:
            self.buffer_.append(entry)
            if isinstance(record, Snapshot):
                yield from self._restore(record, now)

    def snapshot(self) -> Snapshot:
        """Return a record of all home sets at the current offset."""
        images = [homes.image(name) for name, homes in self.services_.items()]
        return Snapshot(self.offset_, images, list(self.departed_order_))

    def _restore(self, record: Snapshot, now: datetime) -> Iterator[Record]:
        # Records between the snapshot and the first buffered one would be missing.
        if record.through < self.buffer_[0].offset - 1:
            return
        self.services_ = {i.service: restore_homes(i, now) for i in record.services}
        self.departed_order_ = deque(record.gone)
        self.departed_incarnations_ = set(record.gone)
        self.initialized_ = True
        self.snapshot_at_ = now
        while self.buffer_:
            entry = self.buffer_.popleft()
            folded = decode_record(entry.data)
            if folded is not None and entry.offset > record.through:
                self._fold(folded, entry.offset, now)
                yield folded
            elif isinstance(folded, Claims):
                # The snapshot covers this offset, so it is unknown whether the author
                # was the home agent. Offline claims are accepted from any author.
                yield replace(folded, offline=True)
            elif isinstance(folded, Settled):
                yield folded

    @singledispatchmethod
    def _fold(self, record: Record, offset: int, now: datetime) -> None:
        raise TypeError(f"no fold for {type(record).__name__}; register one")

    @_fold.register
    def _(self, record: Join, offset: int, now: datetime) -> None:
        homes = self.service(record.service)
        known = homes.find(record.member, record.incarnation)
        if known is not None or record.incarnation in self.departed_incarnations_:
            return
        active = homes.active_by_id.get(record.member)
        pending = homes.pending_by_id.get(record.member)
        occupant = active or pending
        if occupant is not None and occupant.incarnation != record.replaces:
            return
        home = Home(
            record.member,
            record.incarnation,
            record.domain,
            offset,
            record.read,
            record.vm_incarnation,
        )
        if active is not None:
            self._retire(homes, active, now)
            homes.active_by_id[record.member] = home
        else:
            if pending is not None:
                self._mark_departed(pending.incarnation)
            homes.pending_by_id[record.member] = home
        self._record_change(homes)

    @_fold.register
    def _(self, record: Leave, offset: int, now: datetime) -> None:
        homes = self.service(record.service)
        home = homes.find(record.member, record.incarnation)
        if home is not None:
            homes.active_by_id.pop(record.member, None)
            homes.pending_by_id.pop(record.member, None)
        self._mark_departed(record.incarnation)
        self._record_change(homes)

    @_fold.register
    def _(self, record: Retire, offset: int, now: datetime) -> None:
        homes = self.service(record.service)
        home = homes.active_by_id.get(record.member)
        if home is not None and home.incarnation == record.incarnation:
            self._retire(homes, home, now)
            del homes.active_by_id[record.member]
        pending = homes.pending_by_id.get(record.member)
        if pending is not None and pending.incarnation == record.incarnation:
            del homes.pending_by_id[record.member]
        self._mark_departed(record.incarnation)
        self._record_change(homes)

    @_fold.register
    def _(self, record: Contact, offset: int, now: datetime) -> None:
        homes = self.service(record.service)
        home = homes.find(record.member, record.incarnation)
        if home is None:
            return
        home.read = max(home.read, record.read)
        if record.seq > home.seq:
            home.seq = record.seq
            home.witnesses = record.witnesses
        self._activate(homes)

    @_fold.register
    def _(self, record: Claims, offset: int, now: datetime) -> None:
        pass

    @_fold.register
    def _(self, record: Snapshot, offset: int, now: datetime) -> None:
        self.snapshot_at_ = now

    @_fold.register
    def _(self, record: Settled, offset: int, now: datetime) -> None:
        self.service(record.service).debts_by_incarnation.pop(record.incarnation, None)

    def _retire(self, homes: ServiceHomes, home: Home, now: datetime) -> None:
        self._mark_departed(home.incarnation)
        # An agent without witnesses in the log never decided without the log.
        if home.witnesses:
            homes.debts_by_incarnation[home.incarnation] = UnresolvedClaims(
                home.member,
                home.incarnation,
                home.witnesses,
                tuple(sorted(homes.active_by_id)),
                now,
            )

    def _mark_departed(self, incarnation: str) -> None:
        if incarnation in self.departed_incarnations_:
            return
        self.departed_incarnations_.add(incarnation)
        self.departed_order_.append(incarnation)
        if len(self.departed_order_) > MAX_DEPARTED:
            self.departed_incarnations_.discard(self.departed_order_.popleft())

    def _record_change(self, homes: ServiceHomes) -> None:
        """Increase the version and activate the confirmed joins."""
        homes.version += 1
        self._activate(homes)

    def _activate(self, homes: ServiceHomes) -> None:
        for home in sorted(homes.pending_by_id.values(), key=lambda h: h.joined_at):
            if self._is_confirmed(home, homes.active_by_id.values()):
                del homes.pending_by_id[home.member]
                homes.active_by_id[home.member] = home
                homes.version += 1

    def _is_confirmed(self, home: Home, active: Iterable[Home]) -> bool:
        return all(a.read >= home.joined_at for a in active)
