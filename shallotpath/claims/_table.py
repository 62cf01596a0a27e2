"""At-most-once decisions of a home agent."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime, timedelta
from functools import singledispatchmethod

from ..core import (
    AppendDone,
    AppendFailed,
    Code,
    Count,
    Effect,
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
)
from ..membership import MembershipView
from ._health import LogHealth
from ._home_model import UnresolvedClaims
from ._homes import HomeSet
from ._keys import KeyStates, decision_effect
from ._model import ClaimSettings, Identity, RefuseClaim, WaitingRequest
from ._outbox import FLUSH_TIMER, Outbox
from ._records import STREAM, Claims, Record, Settled, Snapshot
from ._registration import SNAPSHOT, HomeRegistration
from ._witnessing import UnresolvedClaimsReader, WitnessWriter

SETTLED = "settled/"


class ClaimTable:
    """Decide which request runs a key, as the key's only home agent.

    A claim is decided by reading it back from the log or, if the log does not answer,
    by the acknowledgements of witnesses. Both are safe at any time, because no other
    agent becomes the home agent without the confirmation of this one.
    """

    __slots__ = (
        "generation_",
        "health_",
        "homes",
        "identity",
        "keys_",
        "membership",
        "outbox_",
        "reader_",
        "registration_",
        "settings",
        "submitted_at_",
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
        self.membership = membership
        self.settings = settings or ClaimSettings()
        self.homes = homes or HomeSet(window=self.settings.window)
        self.generation_ = 0
        self._start_registration(identity)
        self.reader_ = UnresolvedClaimsReader(self.settings.retry_interval)
        self.keys_ = KeyStates()
        self.health_ = LogHealth()
        self.submitted_at_: datetime | None = None

    @property
    def joined(self) -> bool:
        """Check whether this agent is an active home agent."""
        identity = self.identity
        return self.homes.is_active(
            identity.service, identity.member, identity.incarnation
        )

    @property
    def away(self) -> bool:
        """Check whether this agent is not registered in the log as read so far."""
        return self.registration_.home is None

    @property
    def left(self) -> bool:
        """Check whether this incarnation has departed, so that the process may exit."""
        return self.registration_.departed

    @property
    def missed_records(self) -> bool:
        """Check whether records were missed, so that this process must restart.

        The missed records may hold claims, so this incarnation decides nothing more.
        """
        return self.homes.gaps > 0

    @property
    def key_count(self) -> int:
        """Return the number of keys whose state is kept."""
        return len(self.keys_)

    def offline(self, now: datetime) -> bool:
        """Check whether the log has been unavailable for the hand-over period."""
        return self.health_.unavailable_for(now, self.settings.handover_timeout)

    def request(
        self, key: str, request_id: str, fresh: bool, now: datetime
    ) -> list[Effect]:
        """Handle a request to run a key; emit `ClaimDecided` now or later."""
        settings = self.settings
        has_unresolved = bool(self._unresolved_for(key))
        within = (
            settings.witness_read_within if has_unresolved else settings.decide_within
        )
        item = WaitingRequest(request_id, fresh, now + within)
        refusal = None if self.keys_.holds(key) else self._refusal(key, fresh)
        if refusal is not None:
            return [decision_effect(key, item, refusal)]
        effects = self.keys_.request(key, item, now)
        if key in self.keys_.pending:
            effects += self._submit_claims([key], now)
            effects += self._flush(now)
        return effects

    def finished(
        self, key: str, request_id: str, status: int, now: datetime
    ) -> list[Effect]:
        """Keep the outcome of a run; a status of 0 means that it is unknown."""
        self.keys_.finish(key, status)
        return []

    def released(self, key: str, request_id: str, now: datetime) -> list[Effect]:
        """Allow the next request to run a key whose call was never sent."""
        self.keys_.release(key)
        return []

    def leave(self, now: datetime) -> list[Effect]:
        """Leave the home set once all claims are in the log."""
        self.registration_.leaving_ = True
        return self._maintain(now)

    def rejoin(self, now: datetime) -> list[Effect]:
        """Join the home set again after a leave, under a new incarnation."""
        if not self.away:
            return []
        self.generation_ += 1
        incarnation = self.identity.incarnation.partition("/")[0]
        token, nonce = self.outbox_.token_, self.writer_.nonce_
        self._start_registration(
            replace(self.identity, incarnation=f"{incarnation}/{self.generation_}")
        )
        # Answers to messages of the earlier incarnation must not match new ones.
        self.outbox_.token_ = token
        self.writer_.nonce_ = nonce
        return self._maintain(now)

    def _start_registration(self, identity: Identity) -> None:
        self.identity = identity
        self.outbox_ = Outbox(identity, self.settings.retry_interval)
        self.registration_ = HomeRegistration(
            identity, self.homes, self.membership, self.outbox_, self.settings
        )
        self.writer_ = WitnessWriter(identity)

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: RecordsRead, now: datetime) -> list[Effect]:
        if event.stream != STREAM:
            return []
        effects: list[Effect] = []
        garbled, gaps = self.homes.garbled_, self.homes.gaps
        logged_keys: list[str] = []
        for entry in event.records:
            for record in self.homes.apply(entry, now):
                effects += self._handle_record(record, now, logged_keys)
        if self.homes.gaps > gaps:
            # The missed records may hold claims, so this incarnation decides nothing
            # more.
            effects.append(Log("claims_gap", {"offset": str(self.homes.offset)}))
        if self.homes.garbled_ > garbled:
            amount = self.homes.garbled_ - garbled
            effects.append(Count("claims_garbled_records", amount=amount))
        effects += self.writer_.notify_logged(
            logged_keys, self.registration_.witness_sets()
        )
        self.health_.succeed(now)
        return [*effects, *self._maintain(now)]

    @reduce.register
    def _(self, event: AppendDone, now: datetime) -> list[Effect]:
        if event.stream != STREAM:
            return []
        self.outbox_.done(event.token)
        self.health_.succeed(now)
        return self._flush(now)

    @reduce.register
    def _(self, event: AppendFailed, now: datetime) -> list[Effect]:
        if event.stream != STREAM:
            return []
        self.outbox_.failed(event.token, now)
        self.health_.fail()
        return self._flush(now)

    @reduce.register
    def _(self, event: LogContact, now: datetime) -> list[Effect]:
        if event.stream != STREAM:
            return []
        if not event.reachable:
            self.health_.fail()
            return []
        self.health_.succeed(now)
        return self._maintain(now)

    @reduce.register
    def _(self, event: ListUpdated, now: datetime) -> list[Effect]:
        self.registration_.observe_list(event)
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
        for key, item in self.keys_.pop_overdue(now):
            effects.append(self._refuse(key, item, Code.CLAIM_UNAVAILABLE))
        for key in self.keys_.expire(now, self.settings.window):
            self._drop_claim(key)
        return [*effects, Gauge("claims_keys", len(self.keys_))]

    @singledispatchmethod
    def _receive(self, message: object, now: datetime) -> list[Effect]:
        return []

    @_receive.register
    def _(self, message: WitnessAck, now: datetime) -> list[Effect]:
        effects: list[Effect] = []
        for key in self.writer_.acknowledge(message):
            effects += self._try_offline(key, now)
        return [*effects, *self._flush(now)] if effects else []

    @_receive.register
    def _(self, message: WitnessTable, now: datetime) -> list[Effect]:
        keys = self.reader_.receive(message)
        if keys is None:
            return []
        effects: list[Effect] = []
        for key in keys:
            effects += self._mark_unknown(key, now)
        record = Settled(
            self.identity.service, message.home, message.incarnation, keys, "witnesses"
        )
        self.outbox_.put(SETTLED + message.incarnation, record)
        return [
            *effects,
            *self._submit_claims(list(self.keys_.pending), now),
            *self._flush(now),
        ]

    @singledispatchmethod
    def _handle_record(
        self, record: Record, now: datetime, logged_keys: list[str]
    ) -> list[Effect]:
        return []

    @_handle_record.register
    def _(self, record: Claims, now: datetime, logged_keys: list[str]) -> list[Effect]:
        effects: list[Effect] = []
        if record.service != self.identity.service:
            return effects
        for key in record.keys:
            if not record.offline and not self.homes.is_home(
                record.service, record.member, record.incarnation, key
            ):
                continue
            if record.incarnation != self.identity.incarnation:
                effects += self._mark_unknown(key, now)
            elif not self.homes.gaps:
                effects += self._handle_logged_claim(key, now, logged_keys)
        return effects

    @_handle_record.register
    def _(self, record: Settled, now: datetime, logged_keys: list[str]) -> list[Effect]:
        self.outbox_.drop(SETTLED + record.incarnation)
        effects: list[Effect] = []
        if record.service == self.identity.service:
            for key in record.keys:
                effects += self._mark_unknown(key, now)
        return effects

    @_handle_record.register
    def _(
        self, record: Snapshot, now: datetime, logged_keys: list[str]
    ) -> list[Effect]:
        self.outbox_.drop(SNAPSHOT)
        return []

    def _mark_unknown(self, key: str, now: datetime) -> list[Effect]:
        if key in self.keys_.pending:
            self.outbox_.drop_key(key)
        return self.keys_.mark_unknown(key, now)

    def _handle_logged_claim(
        self, key: str, now: datetime, logged_keys: list[str]
    ) -> list[Effect]:
        """Record that this agent's claim on a key was read back from the log."""
        self.outbox_.drop_key(key)
        if self.writer_.drop_acks(key):
            logged_keys.append(key)
        if not self._may_run(key):
            return self.keys_.mark_unknown(key, now)
        effects = self.keys_.mark_claimed(key, now)
        return [*effects, Count("claims_decided", {"by": "log"})] if effects else []

    def _may_run(self, key: str) -> bool:
        """Check whether no retired home agent can have run a key.

        Checked again when a claim is decided, because a key can have moved away
        and come back since it was requested.
        """
        return not self._unresolved_for(key)

    def _try_offline(self, key: str, now: datetime) -> list[Effect]:
        """Decide a key if enough witnesses store it and no other agent can decide."""
        sets = self.registration_.witness_sets()
        if key not in self.keys_.pending or not self.writer_.stored(key, sets):
            return []
        if self.homes.gaps or not self.registration_.is_sole_home(key):
            return []
        if not self._may_run(key):
            return []
        self.outbox_.put_key(key, offline=True)
        effects = self.keys_.mark_claimed(key, now)
        return [*effects, Count("claims_decided", {"by": "witnesses"})]

    def _refusal(self, key: str, fresh: bool) -> RefuseClaim | None:
        """Return why a key that this table does not hold is refused, if it is."""
        unknown = RunState.NO if fresh else RunState.UNKNOWN
        if not self.registration_.is_home(key):
            known = self.homes.home_of(self.identity.service, key)
            elsewhere = known is not None and known != self.identity.member
            code = Code.CLAIM_ELSEWHERE if elsewhere else Code.CLAIM_UNAVAILABLE
            return RefuseClaim(code, unknown)
        if self.homes.gaps:
            return RefuseClaim(Code.CLAIM_UNAVAILABLE, unknown)
        if self.registration_.leaving_:
            return RefuseClaim(Code.DRAINING, self._run_state(key, fresh))
        if len(self.keys_) >= self.settings.max_keys:
            return RefuseClaim(Code.CLAIM_UNAVAILABLE, self._run_state(key, fresh))
        return None

    def _run_state(self, key: str, fresh: bool) -> RunState:
        """Return whether a key without a claim in this table can have run."""
        if fresh:
            return RunState.NO
        known = self.registration_.is_sole_home(key) and not self.homes.gaps
        return (
            RunState.NO if known and not self._unresolved_for(key) else RunState.UNKNOWN
        )

    def _unresolved_for(self, key: str) -> list[UnresolvedClaims]:
        service = self.homes.service(self.identity.service)
        return [
            claims
            for claims in service.debts_by_incarnation.values()
            if not self.reader_.settled(claims) and claims.affects(key)
        ]

    def _submit_claims(self, keys: list[str], now: datetime) -> list[Effect]:
        """Claim keys through the log and, if it does not answer, through witnesses."""
        effects: list[Effect] = []
        to_witnesses: list[str] = []
        for key in keys:
            unresolved = self._unresolved_for(key)
            for claims in unresolved:
                effects += self.reader_.read(claims, now)
            if (
                unresolved
                or not self.registration_.is_home(key)
                or self.registration_.leave_sent_
            ):
                continue
            self.outbox_.put_key(key, offline=False)
            waited = now - self.keys_.pending[key].at >= self.settings.handover_timeout
            if waited or self.offline(now):
                to_witnesses.append(key)
        return effects + self._write_to_witnesses(to_witnesses, now)

    def _write_to_witnesses(self, keys: list[str], now: datetime) -> list[Effect]:
        sole = [key for key in keys if self.registration_.is_sole_home(key)]
        return self.writer_.write(sole, self.registration_.witness_sets())

    def _maintain(self, now: datetime) -> list[Effect]:
        """Update the registration, the pending keys and the outbox."""
        if self.health_.answered and not self.homes.gaps:
            self.registration_.update(now)
        effects = self._refuse_moved()
        effects += self._update_unresolved(now)
        if self.submitted_at_ is None or (
            now - self.submitted_at_ >= self.settings.retry_interval
        ):
            self.submitted_at_ = now
            effects += self._submit_claims(list(self.keys_.pending), now)
        return [*effects, *self._flush(now)]

    def _refuse_moved(self) -> list[Effect]:
        effects: list[Effect] = []
        leaving = self.registration_.leave_sent_
        code = Code.DRAINING if leaving else Code.CLAIM_ELSEWHERE
        for key in list(self.keys_.pending):
            if leaving or self.homes.gaps or not self.registration_.is_home(key):
                self._drop_claim(key)
                waiting = self.keys_.drop(key)
                effects += [self._refuse(key, item, code) for item in waiting]
        return effects

    def _refuse(self, key: str, item: WaitingRequest, code: Code) -> Effect:
        run = self._run_state(key, item.fresh)
        return decision_effect(key, item, RefuseClaim(code, run))

    def _update_unresolved(self, now: datetime) -> list[Effect]:
        service = self.homes.service(self.identity.service)
        return self.reader_.update(
            service, self.identity.member, self.settings.window, now
        )

    def _flush(self, now: datetime) -> list[Effect]:
        agents = sum(len(s.active_by_id) for s in self.homes.services_.values())
        seconds = max(agents, 1) / self.settings.appends_per_second
        return self.outbox_.flush(now, timedelta(seconds=seconds))

    def _drop_claim(self, key: str) -> None:
        self.outbox_.drop_key(key)
        self.writer_.drop_acks(key)
