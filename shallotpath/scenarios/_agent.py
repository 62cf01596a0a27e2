"""The agent of the world: gate, claims and home duty around a fake upstream."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from ..claims import (
    ClaimDecided,
    ClaimTable,
    Identity,
    KnownClaim,
    Phase,
    RefuseClaim,
    RunClaim,
)
from ..core import (
    Accepted,
    Code,
    Effect,
    End,
    EngineLost,
    EngineObserved,
    Event,
    Failed,
    Heartbeat,
    HeartbeatReply,
    Load,
    Message,
    Part,
    Refused,
    RunState,
    Submit,
)
from ..limits import Admit, Call, Gate, GateSettings, Refuse
from ..membership import Member
from ..nodes import HomeDuty, ServedVersion
from ._fakes import DIGEST, TOKENS, FakeUpstream
from ._process import Process

if TYPE_CHECKING:
    from ._world import World

POISON = "poison"


class Decisions:
    """Pass the decisions on claims to the agent."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: ClaimDecided, now: datetime) -> list[Effect]:
        self.agent.decided(event)
        return []


@dataclass(slots=True)
class HeldCall:
    """Call from its arrival to its end."""

    peer: str
    submit: Submit
    call: Call


class Agent(Process):
    """Admit the calls to one fake upstream."""

    def __init__(self, world: World, member: Member, upstream: FakeUpstream) -> None:
        self.upstream = upstream
        self.held_: dict[str, HeldCall] = {}
        self.entries_: dict[str, None] = {}
        super().__init__(world, member)
        upstream.lost = lambda ids: self.later(timedelta(), lambda: self.lost(ids))
        upstream.progressed = self._progressed
        upstream.ended = lambda id: self.later(timedelta(), lambda: self.ended(id))

    def make_parts(self) -> list[Part]:
        """Return the parts that only an agent has."""
        service = self.member.service
        spec = self.world.scenario.layout.upstreams_by_id[self.id]
        self.served = ServedVersion(
            domain=self.domain,
            configuration=self.configuration,
            confirmed=lambda: self.upstream.digest,
        )
        self.gate = Gate(
            node_id=self.id,
            domain=self.domain,
            service=service,
            configuration=self.checked_configuration,
            membership=self.membership,
            suspects=self.suspects,
            settings=GateSettings(
                cold_limit=spec.cold_capacity, max_limit=spec.capacity
            ),
            allowed_digests=self._allowed_digests,
        )
        incarnation = self.member.incarnation
        self.claims = ClaimTable(
            Identity(
                service, self.id, incarnation, self.domain, vm_incarnation=incarnation
            ),
            self.membership,
        )
        parts: list[Part] = [self.served, self.gate, self.claims, Decisions(self)]
        if self.world.has("home duty"):
            parts.append(
                HomeDuty(
                    domain=self.domain,
                    configuration=self.configuration,
                    claims=self.claims,
                )
            )
        return parts

    def _allowed_digests(self) -> set[str]:
        if not self.world.has("weights check"):
            return {self.upstream.digest, DIGEST}
        return self.served.digests(self.member.service)

    @property
    def done(self) -> bool:
        """Check whether a leaving agent may stop."""
        return not self.held_ and (self.claims.left or not self.claims.joined)

    def load(self) -> Load:
        """Return the load to report."""
        return replace(self.gate.load(), incarnation=self.member.incarnation)

    def connected(self) -> list[str]:
        """Return the entries that have sent calls."""
        return list(self.entries_)

    def receive(self, peer: str, message: Message) -> None:
        """Handle a call or a heartbeat, or pass the message to the node."""
        if isinstance(message, Submit):
            self.entries_[peer] = None
            self._submit(peer, message)
        elif isinstance(message, Heartbeat):
            reply = HeartbeatReply(message.nonce, self.load())
            self.world.send(self, peer, reply)
        else:
            super().receive(peer, message)

    def ticked(self) -> None:
        """Observe the upstream, start and expire queued calls."""
        self.upstream.observe(
            lambda event: self.later(timedelta(), lambda: self._observed(event))
        )
        for expired in self.gate.expire(self.now):
            held = self.held_.pop(expired.call.request_id, None)
            if held is not None:
                self._refuse(held, expired.code)
        for call in self.gate.ready(self.now):
            self._admitted(call.request_id)

    def _observed(self, event: EngineObserved) -> None:
        self.dispatch(event)

    def _submit(self, peer: str, submit: Submit) -> None:
        call = Call(
            submit.request_id,
            submit.service,
            submit.team,
            self.now + submit.time_left,
            max_tokens=TOKENS,
            fingerprint=submit.fingerprint,
            key=submit.key,
            repeatable=submit.repeatable,
        )
        known = self.held_.get(submit.request_id)
        if known is not None:
            known.peer, known.submit = peer, submit
            return
        held = HeldCall(peer, submit, call)
        decision = Admit()
        if self.world.has("gate"):
            decision = self.gate.request(call, self.now)
        if isinstance(decision, Refuse):
            self._refuse(held, decision.code, decision.retry_after)
            return
        self.held_[submit.request_id] = held
        if isinstance(decision, Admit):
            self._admitted(submit.request_id)

    def _admitted(self, request_id: str) -> None:
        held = self.held_.get(request_id)
        if held is None:
            self._release(request_id, False)
            return
        submit = held.submit
        ids = (request_id, submit.attempt, self.member.incarnation)
        self.world.send(self, held.peer, Accepted(*ids, self.load()))
        if submit.repeatable or not self.world.has("claims"):
            self._run(held)
            return
        for effect in self._request_claim(submit):
            self.perform(effect)

    def _request_claim(self, submit: Submit) -> list[Effect]:
        effects = self.claims.request(
            submit.key, submit.request_id, submit.fresh_key, self.now
        )
        return self.emit(effects)

    def emit(self, effects: list[Effect]) -> list[Effect]:
        """Feed emitted events back into the node and return the other effects."""
        others = []
        for effect in effects:
            event = getattr(effect, "event", None)
            if event is None:
                others.append(effect)
            else:
                self.later(timedelta(), lambda event=event: self.dispatch(event))
        return others

    def decided(self, event: ClaimDecided) -> None:
        """Run, answer or refuse a call whose key was decided."""
        held = self.held_.get(event.request_id)
        if held is None:
            return
        decision = event.decision
        if isinstance(decision, RunClaim):
            self._run(held)
            return
        del self.held_[event.request_id]
        if isinstance(decision, RefuseClaim):
            self._fail(held, decision.code, decision.run)
        elif isinstance(decision, KnownClaim):
            self._answer_known(held, decision.state.phase)
        self._release(event.request_id, False)

    def _answer_known(self, held: HeldCall, phase: Phase) -> None:
        if phase is Phase.FINISHED:
            self._end(held)
        elif phase is Phase.RUNNING:
            self._fail(held, Code.CLAIM_IN_PROGRESS, RunState.YES)
        else:
            self._fail(held, Code.CLAIM_UNKNOWN, RunState.UNKNOWN)

    def _run(self, held: HeldCall) -> None:
        submit = held.submit
        if not self.upstream.up_:
            self._refuse_unstarted(held)
            return
        self.world.record_start(self, submit)
        poison = submit.fingerprint == POISON
        self.upstream.start(submit.request_id, poison)

    def _refuse_unstarted(self, held: HeldCall) -> None:
        """Refuse a call for which the upstream took no connection."""
        submit = held.submit
        del self.held_[submit.request_id]
        if submit.key:
            self.claims.released(submit.key, submit.request_id, self.now)
        self._refuse(held, Code.UPSTREAM_LOST)
        self._release(submit.request_id, False)

    def _progressed(self, request_id: str, size: int) -> None:
        def held() -> None:
            for call in self.gate.held(request_id, size, self.now):
                self._admitted(call.request_id)

        self.later(timedelta(), held)

    def ended(self, request_id: str) -> None:
        """Answer a call whose run ended."""
        held = self.held_.pop(request_id, None)
        if held is None:
            return
        if held.submit.key:
            self.claims.finished(held.submit.key, request_id, 200, self.now)
        self._end(held)
        self._release(request_id, True)

    def lost(self, request_ids: list[str]) -> None:
        """Fail the calls that a crash of the upstream lost."""
        lost = [self.held_.pop(id) for id in request_ids if id in self.held_]
        self.dispatch(EngineLost([held.submit.fingerprint for held in lost]))
        for held in lost:
            if held.submit.key:
                ids = (held.submit.key, held.submit.request_id)
                self.claims.finished(*ids, 0, self.now)
            self._fail(held, Code.UPSTREAM_FAILED, RunState.UNKNOWN)

    def _release(self, request_id: str, completed: bool) -> None:
        for call in self.gate.release(request_id, completed, self.now):
            self._admitted(call.request_id)

    def _end(self, held: HeldCall) -> None:
        submit = held.submit
        digest = self.upstream.digest
        end = End(submit.request_id, submit.attempt, 0, 0, "", digest, self.load())
        self.world.send(self, held.peer, end)

    def _fail(self, held: HeldCall, code: Code, run: RunState) -> None:
        if run is RunState.NO:
            self._refuse(held, code)
            return
        submit = held.submit
        failed = Failed(submit.request_id, submit.attempt, code, run, self.load())
        self.world.send(self, held.peer, failed)

    def _refuse(
        self, held: HeldCall, code: Code, retry_after: timedelta | None = None
    ) -> None:
        submit = held.submit
        ids = (submit.request_id, submit.attempt, code)
        self.world.send(self, held.peer, Refused(*ids, self.load(), retry_after))
