"""Admission control of one upstream."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import singledispatchmethod

from ..config import ConfigurationView
from ..core import (
    Code,
    ConfigurationChanged,
    DrainRequested,
    Effect,
    EngineLost,
    EngineObserved,
    Event,
    Load,
    Log,
    Tick,
)
from ..membership import MembershipView
from ._adaptive_limit import AdaptiveLimit
from ._estimates import CallEstimates
from ._fair_queue import FairQueue
from ._isolation import Isolation
from ._limit_rules import AimdRule, LimitRule
from ._memory import MemoryLedger
from ._model import Admit, Call, Decision, Expired, Queue, Refuse
from ._readiness import Readiness
from ._settings import GateSettings
from ._suspects import Suspects
from ._wait_estimate import WaitEstimate

# Queued calls per running call while no run time is known to predict the wait from.
UNMEASURED_QUEUE_FACTOR = 2
# Shorter than a run, since each run that ends frees capacity.
MIN_RETRY_AFTER = timedelta(milliseconds=20)


@dataclass(slots=True)
class _Running:
    call: Call
    started: datetime
    held: int
    token_at: datetime | None = None


class Gate:
    """Admit calls to one upstream within its concurrency and memory limits."""

    __slots__ = (
        "estimates",
        "expired_",
        "in_flight_by_team_",
        "isolation",
        "limit",
        "memory",
        "queue",
        "readiness",
        "running_by_id_",
        "settings",
        "streaming_calls_",
        "suspects",
        "waits",
    )

    def __init__(
        self,
        *,
        node_id: str,
        domain: str,
        service: str,
        configuration: ConfigurationView,
        membership: MembershipView,
        suspects: Suspects,
        settings: GateSettings | None = None,
        rule: LimitRule | None = None,
        allowed_digests: Callable[[], Collection[str]] | None = None,
    ) -> None:
        settings = settings or GateSettings()
        self.suspects = suspects
        self.settings = settings
        self.readiness = Readiness(domain, service, configuration, allowed_digests)
        self.isolation = Isolation(
            node_id=node_id,
            domain=domain,
            configuration=configuration,
            membership=membership,
            suspects=suspects,
        )
        self.estimates = CallEstimates(self.readiness)
        self.waits = WaitEstimate()
        self.limit = AdaptiveLimit(settings, rule or AimdRule(settings.max_limit))
        self.memory = MemoryLedger(
            settings.memory_bytes, settings.memory_share, settings.report_lag
        )
        self.queue = FairQueue(settings.queue_capacity, self._weight)
        self.running_by_id_: dict[str, _Running] = {}
        self.in_flight_by_team_: Counter[str] = Counter()
        self.expired_: list[Expired] = []
        self.streaming_calls_ = 0

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event; unknown types have no effect."""
        return []

    @reduce.register
    def _(self, event: EngineObserved, now: datetime) -> list[Effect]:
        self.readiness.observed_ = event
        self.memory.observe(event.held_bytes, event.memory_bytes, now)
        reset = self.limit.observe(event, now)
        self._reject_queued_if_closed()
        return self._log_reset("reported", reset)

    @reduce.register
    def _(self, event: EngineLost, now: datetime) -> list[Effect]:
        self.readiness.observed_ = None
        self.limit.reset()
        self.isolation.refresh()
        self.running_by_id_.clear()
        self.streaming_calls_ = 0
        self.in_flight_by_team_.clear()
        self.memory.clear()
        self._reject_queued_if_closed()
        return self._log_reset("engine_lost", True)

    @reduce.register
    def _(self, event: ConfigurationChanged, now: datetime) -> list[Effect]:
        self._reject_queued_if_closed()
        return []

    @reduce.register
    def _(self, event: DrainRequested, now: datetime) -> list[Effect]:
        self.readiness.draining_ = True
        self._reject_queued_if_closed()
        return []

    @reduce.register
    def _(self, event: Tick, now: datetime) -> list[Effect]:
        self.isolation.refresh()
        return self._log_reset("stalled", self._check_progress(now))

    def request(self, call: Call, now: datetime) -> Decision:
        """Decide whether a call is admitted, queued or refused."""
        if call.request_id in self.running_by_id_ or self.queue.find(call.request_id):
            raise ValueError(
                f"request {call.request_id} is already held; "
                "answer a repeated attempt from the record of the first"
            )
        self._check_progress(now)
        refusal = self._refusal(call, now)
        if refusal is not None:
            return refusal
        if not self.queue and self._fits(call, now):
            self._start(call, now)
            return Admit()
        return self._enqueue(call, now)

    def release(self, request_id: str, completed: bool, now: datetime) -> list[Call]:
        """End a call and return the queued calls that may run now."""
        self._check_progress(now)
        running = self.running_by_id_.pop(request_id, None)
        if running is not None:
            self._finish(running, completed, now)
        else:
            queued = self.queue.find(request_id)
            if queued is not None:
                self.queue.remove(queued)
                self.waits.dropped(queued)
        return self.ready(now)

    def ready(self, now: datetime) -> list[Call]:
        """Start and return the queued calls that may run now."""
        started: list[Call] = []
        while (call := self.queue.peek()) is not None:
            code = self._blocking_code(call, now)
            if code is not None:
                self.waits.stopped_waiting(call, now)
                self._remove_queued(call, code)
                continue
            if not self._fits(call, now):
                break
            self.queue.pop()
            self.waits.stopped_waiting(call, now)
            self._start(call, now)
            started.append(call)
        return started

    def held(
        self, request_id: str, size: int, now: datetime | None = None
    ) -> list[Call]:
        """Record the bytes that a running call holds on the engine.

        If the time is given, the growth also updates the pace of the engine, and the
        queued calls that may run now are started and returned.
        """
        running = self.running_by_id_.get(request_id)
        if running is None:
            return []
        grown = size - running.held
        running.held = max(size, running.held)
        self.memory.grow(request_id, size)
        if now is None:
            return []
        if grown > 0 and self.estimates.bytes_per_token:
            self._progressed(running, grown / self.estimates.bytes_per_token, now)
        self._check_progress(now)
        if not self.queue or len(self.running_by_id_) >= self.limit.limit:
            return []
        return self.ready(now)

    def expire(self, now: datetime) -> list[Expired]:
        """Remove and return the queued calls that can no longer run."""
        for call in list(self.queue):
            code = self._blocking_code(call, now)
            if code is not None:
                self.waits.stopped_waiting(call, now)
                self._remove_queued(call, code)
        self._shed_late_calls(now)
        expired = self.expired_
        self.expired_ = []
        return expired

    def load(self) -> Load:
        """Return the current load and limit of this upstream."""
        observed = self.readiness.observed_
        closed = self.readiness.closed() is not None
        return Load(
            limit=0 if closed else self.limit.limit,
            in_flight=len(self.running_by_id_) + len(self.queue),
            held_bytes=self.memory.held,
            incarnation=observed.incarnation if observed else "",
            digest=observed.digest if observed else "",
        )

    def _refusal(self, call: Call, now: datetime) -> Refuse | None:
        code = self.readiness.closed()
        if code is None and call.service != self.readiness.service_id:
            code = Code.UNKNOWN_SERVICE
        if code is not None:
            return Refuse(code, self.settings.refuse_retry_after)
        code = self._blocking_code(call, now)
        if code is Code.QUARANTINED:
            return Refuse(code, self.suspects.time_left(call.fingerprint, now))
        if code is not None:
            return Refuse(code, self.settings.refuse_retry_after)
        if self.memory.capacity_ and self.estimates.size(call) > self.memory.usable:
            return Refuse(Code.BODY_TOO_LARGE)
        return self._quota_refusal(call)

    def _quota_refusal(self, call: Call) -> Refuse | None:
        configuration = self.readiness.configuration
        if call.priority < configuration.preset.min_priority:
            return Refuse(Code.OVERLOADED, self.settings.refuse_retry_after)
        team = configuration.teams_by_id.get(call.team)
        in_flight = self.in_flight_by_team_[call.team]
        if team is not None and in_flight >= team.max_in_flight:
            return Refuse(Code.TEAM_LIMIT, self.settings.refuse_retry_after)
        return None

    def _blocking_code(self, call: Call, now: datetime) -> Code | None:
        """Return why a call cannot be started here, or `None` if it can."""
        if now + self.estimates.run_time(call, self.limit.pace_) > call.deadline:
            return Code.DEADLINE_UNREACHABLE
        return self.isolation.refusal(call, now)

    def _enqueue(self, call: Call, now: datetime) -> Decision:
        run_time = self.estimates.run_time(call, self.limit.pace_)
        ahead = self.queue.ahead(call)
        wait = self._wait(call, ahead)
        share = self.readiness.configuration.preset.queue_share
        allowed = (call.deadline - now - run_time) * share
        if wait > allowed:
            return Refuse(Code.OVERLOADED, max(wait - allowed, MIN_RETRY_AFTER))
        capacity = self.settings.queue_capacity
        if self.limit.pace_ is None:
            capacity = min(capacity, UNMEASURED_QUEUE_FACTOR * self.limit.limit)
        displaced = self.queue.push(call, capacity)
        if displaced is call:
            return Refuse(Code.OVERLOADED, self.settings.refuse_retry_after)
        self.waits.queued(call, ahead, self.limit.run_s_ or 0.0, self.limit.limit, now)
        if displaced is not None:
            self.waits.dropped(displaced)
            self.expired_.append(Expired(displaced, Code.OVERLOADED))
        return Queue()

    def _wait(self, call: Call, ahead: int) -> timedelta:
        run_s = self.limit.run_s_ or 0.0
        return self.waits.predict(call.team, ahead, run_s, self.limit.limit)

    def _remove_queued(self, call: Call, code: Code) -> None:
        """Remove a queued call and record its code for `expire`."""
        self.queue.remove(call)
        self.waits.dropped(call)
        self.expired_.append(Expired(call, code))

    def _shed_late_calls(self, now: datetime) -> None:
        """Remove calls that would wait past their deadline.

        The wait grows when the limit is reset or the upstream slows down.
        """
        for tail in self.queue.tails():
            call: Call | None = tail
            while call is not None and self._misses_deadline(call, now):
                self._remove_queued(call, Code.OVERLOADED)
                call = self.queue.last(call.priority, call.team)

    def _misses_deadline(self, call: Call, now: datetime) -> bool:
        wait = self._wait(call, self.queue.ahead(call, joined=True))
        run_time = self.estimates.run_time(call, self.limit.pace_)
        return now + wait + run_time > call.deadline

    def _fits(self, call: Call, now: datetime) -> bool:
        if len(self.running_by_id_) >= self.limit.limit or self.readiness.closed():
            return False
        if not self.memory.fits(self.estimates.size(call)) or not self._can_add_call(
            now
        ):
            return False
        if self.running_by_id_ and self.isolation.suspect(call, now):
            return False
        return not any(
            self.isolation.suspect(running.call, now)
            for running in self.running_by_id_.values()
        )

    def _can_add_call(self, now: datetime) -> bool:
        """Check whether one more call is safe although the engine may have turned cold.

        Above the cold limit a call starts only right after a token that arrived at the
        usual pace, because a single start above that limit can crash a cold engine.
        """
        if (
            len(self.running_by_id_) < self.settings.cold_limit
            or not self.streaming_calls_
        ):
            return True
        return self.limit.pace_tracker.progressed_recently(now)

    def _start(self, call: Call, now: datetime) -> None:
        self.running_by_id_[call.request_id] = _Running(call, now, call.prompt_bytes)
        self.in_flight_by_team_[call.team] += 1
        self.memory.reserve(call.request_id, self.estimates.size(call), now)
        self.queue.charge(call, max(1.0, self.estimates.units(call)))

    def _finish(self, running: _Running, completed: bool, now: datetime) -> None:
        call = running.call
        self.streaming_calls_ -= running.token_at is not None
        self.memory.free(call.request_id, now)
        self.in_flight_by_team_[call.team] -= 1
        if self.in_flight_by_team_[call.team] <= 0:
            del self.in_flight_by_team_[call.team]
        if not completed:
            return
        self.suspects.completed(call.fingerprint, now)
        units = self.estimates.units_done(call, running.held)
        elapsed = (now - running.started).total_seconds()
        self.limit.completed(elapsed, units, len(self.running_by_id_), now)

    def _progressed(self, running: _Running, units: float, now: datetime) -> None:
        if running.token_at is not None:
            gap = (now - running.token_at).total_seconds()
            self.limit.pace_tracker.progressed(gap / units, now)
        else:
            # A call yields no tokens until the engine has processed its prompt, so it
            # counts as streaming from its first token on.
            if not self.streaming_calls_:
                self.limit.pace_tracker.began(now)
            self.streaming_calls_ += 1
        running.token_at = now

    def _check_progress(self, now: datetime) -> bool:
        return self.limit.check_progress(self.streaming_calls_, now)

    def _reject_queued_if_closed(self) -> None:
        """Remove all queued calls if no new work may start."""
        code = self.readiness.closed()
        if code is None:
            return
        for call in list(self.queue):
            self._remove_queued(call, code)

    def _weight(self, team_id: str) -> int:
        team = self.readiness.configuration.teams_by_id.get(team_id)
        return 1 if team is None else team.weight

    def _log_reset(self, reason: str, reset: bool) -> list[Effect]:
        if not reset:
            return []
        return [Log("limit_reset", {"reason": reason})]
