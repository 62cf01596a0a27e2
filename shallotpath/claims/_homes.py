"""The agreed home sets, folded from the claims stream."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import singledispatchmethod
from random import Random

from ..core import (
    Count,
    Effect,
    Event,
    LogRecord,
    RecordsRead,
    rendezvous_choice,
)
from ._records import (
    STREAM,
    Claims,
    Contact,
    Join,
    Leave,
    Record,
    Retire,
    Settled,
    Witness,
    decode_record,
)

CLAIM_WINDOW = timedelta(hours=24)
# Late duplicates of joins are recognised for this many departed incarnations.
GONE_KEPT = 4096
# 200 draws miss a domain that holds 5% of a home set once in 28,000 times.
KEY_DRAWS = 200


@dataclass(slots=True)
class Home:
    """Describe a home agent, joined or waiting for its activation."""

    member: str
    incarnation: str
    domain: str
    joined_at: int
    read: int
    vm_incarnation: str = ""
    seq: int = -1
    witnesses: list[Witness] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Debt:
    """Describe a retired home agent whose claims without the log are unread."""

    member: str
    incarnation: str
    witnesses: list[Witness]
    members: tuple[str, ...]
    read_at: datetime

    def affects(self, key: str) -> bool:
        """Tell whether the retired agent was the home of a key."""
        return rendezvous_choice(key, self.members) == self.member


@dataclass(slots=True)
class ServiceHomes:
    """Hold the home set of one service."""

    active_by_id: dict[str, Home] = field(default_factory=dict)
    pending_by_id: dict[str, Home] = field(default_factory=dict)
    debts_by_incarnation: dict[str, Debt] = field(default_factory=dict)

    def find(self, member: str, incarnation: str) -> Home | None:
        """Return a home agent at an incarnation, active or pending."""
        for homes in (self.active_by_id, self.pending_by_id):
            home = homes.get(member)
            if home is not None and home.incarnation == incarnation:
                return home
        return None


class HomeSet:
    """Fold the claims stream into the home set of each service."""

    __slots__ = (
        "garbled_",
        "gone_",
        "gone_order_",
        "offset_",
        "services_",
        "version_",
        "window",
    )

    def __init__(self, *, window: timedelta = CLAIM_WINDOW) -> None:
        self.window = window
        self.offset_ = -1
        self.version_ = 0
        self.garbled_ = 0
        self.services_: dict[str, ServiceHomes] = {}
        self.gone_: set[str] = set()
        self.gone_order_: deque[str] = deque()

    @property
    def offset(self) -> int:
        """Return the offset of the last record read."""
        return self.offset_

    @property
    def version(self) -> int:
        """Return a number that grows with every change of a home set."""
        return self.version_

    def service(self, service: str) -> ServiceHomes:
        """Return the home set of a service."""
        return self.services_.setdefault(service, ServiceHomes())

    def departed(self, incarnation: str) -> bool:
        """Tell whether an incarnation left or was retired or replaced."""
        return incarnation in self.gone_

    def home_of(self, service: str, key: str) -> str | None:
        """Return the member that decides on a key, if there is any."""
        return rendezvous_choice(key, self.service(service).active_by_id)

    def home_after(self, service: str, key: str, offset: int) -> str | None:
        """Return the home of a key once all joins up to an offset are active."""
        homes = self.service(service)
        joined = (
            h.member for h in homes.pending_by_id.values() if h.joined_at <= offset
        )
        return rendezvous_choice(key, {*homes.active_by_id, *joined})

    def open_debts(self, service: str, key: str, now: datetime) -> list[Debt]:
        """Return the unsettled retired agents that may have run a key."""
        debts = self.service(service).debts_by_incarnation.values()
        return [d for d in debts if now - d.read_at < self.window and d.affects(key)]

    def new_key(
        self, service: str, domain: str, random: Random, now: datetime
    ) -> str | None:
        """Return a new key whose home agent is in a domain, without open debts.

        Falls back to a home agent of any domain; nothing if there is no home.
        """
        homes = self.service(service).active_by_id
        fallback = None
        for _ in range(KEY_DRAWS):
            key = f"{random.getrandbits(128):032x}"
            home = rendezvous_choice(key, homes)
            if home is None:
                return None
            if self.open_debts(service, key, now):
                continue
            if homes[home].domain == domain:
                return key
            fallback = key
        return fallback or key

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Take an event and return effects."""
        return []

    @reduce.register
    def _(self, event: RecordsRead, now: datetime) -> list[Effect]:
        if event.stream != STREAM:
            return []
        garbled = self.garbled_
        for record in event.records:
            self.apply(record, now)
        if self.garbled_ == garbled:
            return []
        return [Count("claims_garbled_records", amount=self.garbled_ - garbled)]

    def apply(self, entry: LogRecord, now: datetime) -> Record | None:
        """Fold one log record; return it unless it is old or garbled."""
        if entry.offset <= self.offset_:
            return None
        self.offset_ = entry.offset
        record = decode_record(entry.data)
        if record is None:
            self.garbled_ += 1
            return None
        self._fold(record, entry.offset, now)
        return record

    @singledispatchmethod
    def _fold(self, record: Record, offset: int, now: datetime) -> None:
        raise TypeError(f"no fold for {type(record).__name__}; register one")

    @_fold.register
    def _(self, record: Join, offset: int, now: datetime) -> None:
        homes = self.service(record.service)
        known = homes.find(record.member, record.incarnation)
        if known is not None or record.incarnation in self.gone_:
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
                self._forget(pending.incarnation)
            homes.pending_by_id[record.member] = home
        self._changed(homes)

    @_fold.register
    def _(self, record: Leave, offset: int, now: datetime) -> None:
        homes = self.service(record.service)
        home = homes.find(record.member, record.incarnation)
        if home is not None:
            homes.active_by_id.pop(record.member, None)
            homes.pending_by_id.pop(record.member, None)
        self._forget(record.incarnation)
        self._changed(homes)

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
        self._forget(record.incarnation)
        self._changed(homes)

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
    def _(self, record: Settled, offset: int, now: datetime) -> None:
        self.service(record.service).debts_by_incarnation.pop(record.incarnation, None)

    def _retire(self, homes: ServiceHomes, home: Home, now: datetime) -> None:
        self._forget(home.incarnation)
        # Without a contact record in the log the agent had no witnesses and
        # therefore never decided without the log.
        if home.witnesses:
            homes.debts_by_incarnation[home.incarnation] = Debt(
                home.member,
                home.incarnation,
                home.witnesses,
                tuple(sorted(homes.active_by_id)),
                now,
            )

    def _forget(self, incarnation: str) -> None:
        if incarnation in self.gone_:
            return
        self.gone_.add(incarnation)
        self.gone_order_.append(incarnation)
        if len(self.gone_order_) > GONE_KEPT:
            self.gone_.discard(self.gone_order_.popleft())

    def _changed(self, homes: ServiceHomes) -> None:
        self.version_ += 1
        self._activate(homes)

    def _activate(self, homes: ServiceHomes) -> None:
        for home in sorted(homes.pending_by_id.values(), key=lambda h: h.joined_at):
            if self._confirmed(home, homes.active_by_id.values()):
                del homes.pending_by_id[home.member]
                homes.active_by_id[home.member] = home
                self.version_ += 1

    def _confirmed(self, home: Home, active: Iterable[Home]) -> bool:
        return all(a.read >= home.joined_at for a in active)
