"""At-most-once decisions of a home agent."""

from __future__ import annotations

from datetime import datetime, timedelta
from functools import singledispatchmethod

from ..core import (
    AppendDone,
    AppendFailed,
    Code,
    Count,
    Effect,
    Emit,
    Event,
    Gauge,
    ListUpdated,
    Log,
    LogContact,
    Received,
    RecordsRead,
    RunState,
    Tick,
    TimerFired,
    WitnessAck,
    WitnessTable,
    rendezvous_choice,
)
from ..membership import MembershipView
from ._homes import Debt, HomeSet
from ._model import (
    ClaimDecided,
    ClaimDecision,
    ClaimSettings,
    ClaimState,
    Identity,
    KeyEntry,
    KnownClaim,
    Phase,
    RefuseClaim,
    RunClaim,
    Waiting,
)
from ._outbox import FLUSH_TIMER, Outbox
from ._records import STREAM, Claims, Record, Settled
from ._seat import Seat
from ._witnessing import DebtReader, WitnessWriter

SETTLED = "settled/"


class ClaimTable:
    """Decide which request runs a key, as the key's only home agent.

    A claim is decided by reading it back from the log or, when the log does not
    answer, by the acknowledgements of witnesses. Both are safe at any time,
    because no other agent becomes the home without this agent's confirmation.
    """

    __slots__ = (
        "entries_by_key_",
        "expected_offset_",
        "failing_",
        "gap_",
        "homes",
        "identity",
        "last_contact_at_",
        "outbox_",
        "pending_",
        "reader_",
        "seat_",
        "settings",
        "witness_at_",
        "writer_",
    )

    def __init__(
        self,
        identity: Identity,
        membership: MembershipView,
        *,
        settings: ClaimSettings | None = None,
        homes: HomeSet | None = None,
    ) -> None:
        self.identity = identity
        self.settings = settings or ClaimSettings()
        self.homes = homes or HomeSet(window=self.settings.window)
        self.outbox_ = Outbox(identity, self.settings.retry_interval)
        self.seat_ = Seat(identity, self.homes, membership, self.outbox_, self.settings)
        self.writer_ = WitnessWriter(identity)
        self.reader_ = DebtReader(self.settings.retry_interval)
        self.entries_by_key_: dict[str, KeyEntry] = {}
        self.pending_: dict[str, KeyEntry] = {}
        self.last_contact_at_: datetime | None = None
        self.failing_ = False
        self.witness_at_: datetime | None = None
        self.expected_offset_: int | None = None
        self.gap_ = False

    @property
    def joined(self) -> bool:
        """Tell whether this agent is an active home agent."""
        me = self.identity
        active = self.homes.service(me.service).active_by_id.get(me.member)
        return active is not None and active.incarnation == me.incarnation

    @property
    def left(self) -> bool:
        """Tell whether a graceful leave is in the log; the process may exit."""
        return self.seat_.departed

    @property
    def key_count(self) -> int:
        """Return the number of keys whose state is kept."""
        return len(self.entries_by_key_)

    def offline(self, now: datetime) -> bool:
        """Tell whether the log has been out for the hand-over period."""
        if self.last_contact_at_ is None or not self.failing_:
            return False
        return now - self.last_contact_at_ >= self.settings.hand_over

    def request(
        self, key: str, request_id: str, fresh: bool, now: datetime
    ) -> list[Effect]:
        """Ask to run a key; emit `ClaimDecided` now or later."""
        waiting = Waiting(request_id, fresh, now + self.settings.decide_within)
        entry = self.entries_by_key_.get(key)
        if entry is None:
            refusal = self._refusal(key, fresh)
            if refusal is not None:
                return [self._decided(key, waiting, refusal)]
            entry = KeyEntry(Phase.PENDING, now)
            self.entries_by_key_[key] = entry
        if entry.phase is Phase.PENDING:
            entry.waiting = [*(entry.waiting or ()), waiting]
            self.pending_[key] = entry
            return [*self._pursue([key], now), *self._flush(now)]
        return [self._decided(key, waiting, self._take_claim(entry))]

    def finished(
        self, key: str, request_id: str, status: int, now: datetime
    ) -> list[Effect]:
        """Keep the outcome of a run for requests that repeat its key."""
        entry = self.entries_by_key_.get(key)
        if entry is not None and entry.phase is Phase.RUNNING:
            # A status of 0 stands for a run whose outcome is not known.
            entry.phase = Phase.FINISHED if status else Phase.UNKNOWN
            entry.status = status
        return []

    def released(self, key: str, request_id: str, now: datetime) -> list[Effect]:
        """Let the next request run a key whose call was never handed over."""
        entry = self.entries_by_key_.get(key)
        if entry is not None and entry.phase is Phase.RUNNING:
            entry.phase = Phase.CLAIMED
        return []

    def leave(self, now: datetime) -> list[Effect]:
        """Leave the home set after the last claim."""
        self.seat_.leaving_ = True
        return self._maintain(now)

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Take an event and return effects."""
        return []

    @reduce.register
    def _(self, event: RecordsRead, now: datetime) -> list[Effect]:
        if event.stream != STREAM:
            return []
        effects = self._check_gap(event)
        garbled = self.homes.garbled_
        released: list[str] = []
        for entry in event.records:
            record = self.homes.apply(entry, now)
            if record is not None and record.service == self.identity.service:
                effects += self._read(record, now, released)
        if self.homes.garbled_ > garbled:
            amount = self.homes.garbled_ - garbled
            effects.append(Count("claims_garbled_records", amount=amount))
        effects += self.writer_.release(released, self.seat_.witness_sets())
        self._contacted(now)
        return [*effects, *self._maintain(now)]

    @reduce.register
    def _(self, event: AppendDone, now: datetime) -> list[Effect]:
        if event.stream != STREAM:
            return []
        self.outbox_.done(event.token)
        self._contacted(now)
        return self._flush(now)

    @reduce.register
    def _(self, event: AppendFailed, now: datetime) -> list[Effect]:
        if event.stream != STREAM:
            return []
        self.outbox_.failed(event.token, now)
        self.failing_ = True
        return self._flush(now)

    @reduce.register
    def _(self, event: LogContact, now: datetime) -> list[Effect]:
        if event.stream != STREAM:
            return []
        if not event.reachable:
            self.failing_ = True
            return []
        self._contacted(now)
        return self._maintain(now)

    @reduce.register
    def _(self, event: ListUpdated, now: datetime) -> list[Effect]:
        self.seat_.observe_list(event)
        return self._flush(now)

    @reduce.register
    def _(self, event: TimerFired, now: datetime) -> list[Effect]:
        return self._flush(now) if event.name == FLUSH_TIMER else []

    @reduce.register
    def _(self, event: Received, now: datetime) -> list[Effect]:
        return self._receive(event.message, now)

    @reduce.register
    def _(self, event: Tick, now: datetime) -> list[Effect]:
        effects = self._maintain(now)
        effects += self._expire_requests(now)
        self._expire_keys(now)
        return [*effects, Gauge("claims_keys", len(self.entries_by_key_))]

    @singledispatchmethod
    def _receive(self, message: object, now: datetime) -> list[Effect]:
        return []

    @_receive.register
    def _(self, message: WitnessAck, now: datetime) -> list[Effect]:
        effects: list[Effect] = []
        for key in self.writer_.acknowledge(message):
            effects += self._try_offline(key)
        return [*effects, *self._flush(now)] if effects else []

    @_receive.register
    def _(self, message: WitnessTable, now: datetime) -> list[Effect]:
        keys = self.reader_.take(message)
        if keys is None:
            return []
        effects: list[Effect] = []
        for key in keys:
            effects += self._learn(key, now)
        record = Settled(
            self.identity.service, message.home, message.incarnation, keys, "witnesses"
        )
        self.outbox_.put(SETTLED + message.incarnation, record)
        return [*effects, *self._pursue(list(self.pending_), now), *self._flush(now)]

    @singledispatchmethod
    def _read(self, record: Record, now: datetime, released: list[str]) -> list[Effect]:
        return []

    @_read.register
    def _(self, record: Claims, now: datetime, released: list[str]) -> list[Effect]:
        effects: list[Effect] = []
        for key in record.keys:
            if not record.offline and not self._author_is_home(record, key):
                continue
            if record.incarnation != self.identity.incarnation:
                effects += self._learn(key, now)
                continue
            self.outbox_.drop_key(key)
            if self.writer_.forget(key):
                released.append(key)
            effects += self._logged(key, now)
        return effects

    @_read.register
    def _(self, record: Settled, now: datetime, released: list[str]) -> list[Effect]:
        self.outbox_.drop(SETTLED + record.incarnation)
        effects: list[Effect] = []
        for key in record.keys:
            effects += self._learn(key, now)
        return effects

    def _author_is_home(self, record: Claims, key: str) -> bool:
        homes = self.homes.service(record.service)
        home = homes.active_by_id.get(record.member)
        if home is None or home.incarnation != record.incarnation:
            return False
        return self.homes.home_of(record.service, key) == record.member

    def _learn(self, key: str, now: datetime) -> list[Effect]:
        """Note that another incarnation claimed a key."""
        entry = self.entries_by_key_.get(key)
        if entry is None:
            self.entries_by_key_[key] = KeyEntry(Phase.UNKNOWN, now)
            return []
        if entry.phase is not Phase.PENDING:
            return []
        self._drop_pending(key)
        entry.phase = Phase.UNKNOWN
        return self._answer(key, entry)

    def _logged(self, key: str, now: datetime) -> list[Effect]:
        """Note that this agent's claim on a key is the first in the log."""
        entry = self.entries_by_key_.get(key)
        if entry is None:
            self.entries_by_key_[key] = KeyEntry(Phase.CLAIMED, now)
            return []
        if entry.phase is not Phase.PENDING:
            return []
        self._drop_pending(key)
        entry.phase = Phase.CLAIMED
        return [*self._answer(key, entry), Count("claims_decided", {"by": "log"})]

    def _try_offline(self, key: str) -> list[Effect]:
        """Decide a key if enough witnesses hold it and no other home can exist."""
        entry = self.pending_.get(key)
        sets = self.seat_.witness_sets()
        if entry is None or not self.writer_.stored(key, sets):
            return []
        if not self.seat_.is_sole_home(key):
            return []
        self.pending_.pop(key)
        self.outbox_.put_key(key, offline=True)
        entry.phase = Phase.CLAIMED
        return [*self._answer(key, entry), Count("claims_decided", {"by": "witnesses"})]

    def _answer(self, key: str, entry: KeyEntry) -> list[Effect]:
        waiting, entry.waiting = entry.waiting or [], None
        return [self._decided(key, item, self._take_claim(entry)) for item in waiting]

    def _take_claim(self, entry: KeyEntry) -> ClaimDecision:
        """Give the run of a claimed key to one request."""
        if entry.phase is Phase.CLAIMED:
            entry.phase = Phase.RUNNING
            return RunClaim()
        return KnownClaim(ClaimState(entry.phase, entry.status))

    def _decided(self, key: str, item: Waiting, decision: ClaimDecision) -> Effect:
        return Emit(ClaimDecided(item.request_id, key, decision))

    def _refusal(self, key: str, fresh: bool) -> RefuseClaim | None:
        """Return why a key that this table does not hold is not claimed."""
        unknown = RunState.NO if fresh else RunState.UNKNOWN
        if not self.seat_.is_home(key):
            known = self.homes.home_of(self.identity.service, key)
            elsewhere = known is not None and known != self.identity.member
            code = Code.CLAIM_ELSEWHERE if elsewhere else Code.CLAIM_UNAVAILABLE
            return RefuseClaim(code, unknown)
        if self.gap_:
            return RefuseClaim(Code.CLAIM_UNAVAILABLE, unknown)
        if self.seat_.leaving_:
            return RefuseClaim(Code.DRAINING, self._run_state(key, fresh))
        if len(self.entries_by_key_) >= self.settings.max_keys:
            return RefuseClaim(Code.CLAIM_UNAVAILABLE, self._run_state(key, fresh))
        return None

    def _run_state(self, key: str, fresh: bool) -> RunState:
        """Tell whether a key that this table holds no claim on can have run."""
        known = self.seat_.is_sole_home(key) and not self._unsettled(key)
        return RunState.NO if fresh or (known and not self.gap_) else RunState.UNKNOWN

    def _unsettled(self, key: str) -> list[Debt]:
        service = self.homes.service(self.identity.service)
        return [
            debt
            for debt in service.debts_by_incarnation.values()
            if not self.reader_.settled(debt) and debt.affects(key)
        ]

    def _pursue(self, keys: list[str], now: datetime) -> list[Effect]:
        """Claim keys through the log and, if it does not answer, witnesses."""
        effects: list[Effect] = []
        to_witnesses: list[str] = []
        for key in keys:
            debts = self._unsettled(key)
            for debt in debts:
                effects += self.reader_.read(debt, now)
            if debts or not self.seat_.is_home(key) or self.seat_.leave_sent_:
                continue
            self.outbox_.put_key(key, offline=False)
            waited = now - self.pending_[key].at >= self.settings.hand_over
            if waited or self.offline(now):
                to_witnesses.append(key)
        return effects + self._write(to_witnesses, now)

    def _write(self, keys: list[str], now: datetime) -> list[Effect]:
        sole = [key for key in keys if self.seat_.is_sole_home(key)]
        return self.writer_.write(sole, self.seat_.witness_sets())

    def _maintain(self, now: datetime) -> list[Effect]:
        """Bring the seat, the pending keys and the outbox up to date."""
        if self.last_contact_at_ is not None and not self.gap_:
            self.seat_.update(now)
        effects = self._refuse_moved()
        effects += self._settle(now)
        if self.witness_at_ is None or (
            now - self.witness_at_ >= self.settings.retry_interval
        ):
            self.witness_at_ = now
            effects += self._pursue(list(self.pending_), now)
        return [*effects, *self._flush(now)]

    def _refuse_moved(self) -> list[Effect]:
        effects: list[Effect] = []
        for key, entry in list(self.pending_.items()):
            if self.seat_.is_home(key) and not self.seat_.leave_sent_:
                continue
            code = Code.DRAINING if self.seat_.leave_sent_ else Code.CLAIM_ELSEWHERE
            effects += self._refuse(key, entry.waiting or [], code)
            self._drop_pending(key)
            self.writer_.forget(key)
            del self.entries_by_key_[key]
        return effects

    def _refuse(self, key: str, waiting: list[Waiting], code: Code) -> list[Effect]:
        return [
            self._decided(
                key, item, RefuseClaim(code, self._run_state(key, item.fresh))
            )
            for item in waiting
        ]

    def _settle(self, now: datetime) -> list[Effect]:
        """Read the witnesses of retired agents, if this agent is to do it."""
        service = self.homes.service(self.identity.service)
        debts = service.debts_by_incarnation
        self.reader_.keep(debts)
        effects: list[Effect] = []
        for debt in list(debts.values()):
            if now - debt.read_at >= self.settings.window:
                del debts[debt.incarnation]
            elif self._settler(debt) == self.identity.member:
                effects += self.reader_.read(debt, now)
        return effects

    def _settler(self, debt: Debt) -> str | None:
        active = self.homes.service(self.identity.service).active_by_id
        return rendezvous_choice(debt.incarnation, active)

    def _flush(self, now: datetime) -> list[Effect]:
        agents = sum(len(s.active_by_id) for s in self.homes.services_.values())
        seconds = max(agents, 1) / self.settings.appends_per_second
        return self.outbox_.flush(now, timedelta(seconds=seconds))

    def _contacted(self, now: datetime) -> None:
        self.last_contact_at_ = now
        self.failing_ = False

    def _drop_pending(self, key: str) -> None:
        self.pending_.pop(key, None)
        self.outbox_.drop_key(key)

    def _expire_requests(self, now: datetime) -> list[Effect]:
        effects: list[Effect] = []
        for key, entry in list(self.pending_.items()):
            late = [item for item in entry.waiting or () if item.deadline <= now]
            if late:
                entry.waiting = [i for i in entry.waiting or () if i.deadline > now]
                effects += self._refuse(key, late, Code.CLAIM_UNAVAILABLE)
        return effects

    def _expire_keys(self, now: datetime) -> None:
        oldest = now - self.settings.window
        while self.entries_by_key_:
            key, entry = next(iter(self.entries_by_key_.items()))
            if entry.at > oldest or entry.phase is Phase.RUNNING:
                return
            self._drop_pending(key)
            self.writer_.forget(key)
            del self.entries_by_key_[key]

    def _check_gap(self, event: RecordsRead) -> list[Effect]:
        if not event.records:
            return []
        first = event.records[0].offset
        expected, self.expected_offset_ = self.expected_offset_, event.next_offset
        if expected is None or first <= expected or self.gap_:
            return []
        # The missed records may hold claims, so nothing can be decided any more.
        self.gap_ = True
        fields = {"expected": str(expected), "found": str(first)}
        return [Log("claims_gap", fields)]
