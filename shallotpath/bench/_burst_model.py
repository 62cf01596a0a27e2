"""Burst experiment: real gates, routers and retry policies with fake engines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from random import Random

from ..core import Code, Received, RunState, Send
from ..limits import AimdRule, LimitRule, Suspects
from ..membership import Member, Role, StaticMembership
from ..routing import AffinityRule, HealthRule, RetryPolicy, Router, SkipRule
from ._burst_agents import Reply, SimulatedAgent
from ._burst_load import (
    SERVICE,
    Arrival,
    BurstSettings,
    make_arrivals,
    make_configuration,
)
from ._simulation import Simulation

HEARTBEAT_INTERVAL_S = 1.0
RESEND_DELAY_S = 0.2


@dataclass(slots=True)
class BurstResult:
    """Count the outcomes of the requests of one run."""

    sent: int = 0
    attempts: int = 0
    answered_in_time: int = 0
    answered_late: int = 0
    # In time and before the arrivals end; measures the throughput under load.
    answered_in_window: int = 0
    refused: int = 0
    refusal_seconds: list[float] = field(default_factory=list)
    codes: Counter[str] = field(default_factory=Counter)
    sent_by_team: Counter[str] = field(default_factory=Counter)
    answered_by_team: Counter[str] = field(default_factory=Counter)
    load_crashes: int = 0
    poison_crashes: int = 0
    failures_without_poison: int = 0

    def arrived(self, arrival: Arrival) -> None:
        """Count a request."""
        if arrival.measured:
            self.sent += 1
            self.sent_by_team[arrival.call.team] += 1

    def attempted(self, arrival: Arrival) -> None:
        """Count an attempt that was sent to an upstream."""
        self.attempts += arrival.measured

    def completed(self, arrival: Arrival, now: datetime, window_end: datetime) -> None:
        """Count a complete response."""
        if not arrival.measured:
            return
        if now <= arrival.call.deadline:
            self.answered_in_time += 1
            self.answered_in_window += now <= window_end
            self.answered_by_team[arrival.call.team] += 1
        else:
            self.answered_late += 1

    def gave_up(self, arrival: Arrival, code: Code, waited: float) -> None:
        """Count a request that ended without a response."""
        if not arrival.measured:
            return
        self.refused += 1
        self.codes[code] += 1
        self.refusal_seconds.append(waited)
        if code is Code.UPSTREAM_FAILED and not arrival.poison:
            self.failures_without_poison += 1


@dataclass(slots=True, frozen=True)
class Rules:
    """Select the rules that one run uses."""

    limit: Callable[[int], LimitRule] = AimdRule
    selection: Callable = AffinityRule
    health: Callable[[], HealthRule] = SkipRule


@dataclass(slots=True)
class _Attempt:
    arrival: Arrival
    entry: int
    resends: int = 0
    count: int = 1
    exclude: list[str] = field(default_factory=list)


class BurstModel:
    """Simulate one run of the experiment."""

    def __init__(self, settings: BurstSettings, rules: Rules | None = None) -> None:
        self.settings = settings
        self.rules = rules or Rules()
        self.simulation = Simulation()
        self.result = BurstResult()
        self.rng = Random(settings.seed + 1)
        self.configuration = make_configuration(settings)
        self.membership = StaticMembership()
        self.agents_by_id_: dict[str, SimulatedAgent] = {}
        self.suspects_: list[Suspects] = []
        self.routers_: list[Router] = []
        self.policies_: list[RetryPolicy] = []

    def run(self) -> BurstResult:
        """Run to the end and return the counts."""
        self._build()
        arrivals = make_arrivals(self.settings)
        for number, arrival in enumerate(arrivals):
            entry = number % self.settings.entries
            self.simulation.call_in(arrival.seconds, self._arrive, arrival, entry)
        self.simulation.run(self.settings.duration_s + self.settings.deadline_s + 1)
        engines = [agent.engine for agent in self.agents_by_id_.values()]
        self.result.load_crashes = sum(engine.load_crashes_ for engine in engines)
        self.result.poison_crashes = sum(engine.poison_crashes_ for engine in engines)
        return self.result

    def _build(self) -> None:
        settings = self.settings
        for number in range(settings.entries):
            self._add_entry(number)
        for number, (seconds, warm) in enumerate(settings.starts()):
            self.simulation.call_in(seconds, self._add_agent, number, warm)
        turn_cold_at_s = settings.burst_at_s + settings.cold_turn_after_s
        self.simulation.call_in(turn_cold_at_s, self._turn_cold)
        self.simulation.call_in(HEARTBEAT_INTERVAL_S, self._heartbeat)

    def _turn_cold(self) -> None:
        self.agents_by_id_["a0"].engine.turn_cold()

    def _add_entry(self, number: int) -> None:
        suspects = Suspects(
            node_id=f"e{number}", incarnation="i1", connected=self._agent_ids
        )
        rng = Random(self.settings.seed * 1000 + number)
        self.suspects_.append(suspects)
        self.policies_.append(RetryPolicy(self.configuration, rng))
        self.routers_.append(
            Router(
                entry_id=f"e{number}",
                domain=f"d{number % self.settings.domains}",
                region="r",
                configuration=self.configuration,
                membership=self.membership,
                rng=rng,
                suspects=suspects,
                rule=self.rules.selection,
                health=self.rules.health(),
            )
        )

    def _add_agent(self, number: int, warm: bool) -> None:
        agent_id = f"a{number}"
        domain = f"d{number % self.settings.domains}"
        self.membership.members_by_id[agent_id] = Member(
            agent_id, Role.AGENT, domain, "r", agent_id, "i1", service=SERVICE
        )
        self.agents_by_id_[agent_id] = SimulatedAgent(
            agent_id=agent_id,
            domain=domain,
            simulation=self.simulation,
            settings=self.settings,
            configuration=self.configuration,
            membership=self.membership,
            rule=self.rules.limit(self.settings.engine.max_running),
            connected=lambda: [f"e{n}" for n in range(self.settings.entries)],
            send=self._send,
            warm=warm,
        )
        for router in self.routers_:
            router.directory.update(agent_id)

    def _agent_ids(self) -> list[str]:
        return list(self.agents_by_id_)

    def _send(self, sender: str, effect: Send) -> None:
        received = Received(sender, effect.message)
        self.simulation.call_in(
            self.settings.latency_s, self._deliver, effect.peer, received
        )

    def _deliver(self, peer: str, received: Received) -> None:
        agent = self.agents_by_id_.get(peer)
        if agent is not None:
            agent.receive(received)
            return
        for effect in self.suspects_[int(peer[1:])].reduce(
            received, self.simulation.now
        ):
            if isinstance(effect, Send):
                self._send(peer, effect)

    def _heartbeat(self) -> None:
        for agent_id, agent in self.agents_by_id_.items():
            load = agent.gate.load()
            for router in self.routers_:
                router.observe_load(agent_id, load, self.simulation.now)
        self.simulation.call_in(HEARTBEAT_INTERVAL_S, self._heartbeat)

    def _arrive(self, arrival: Arrival, entry: int, resends: int = 0) -> None:
        self.result.arrived(arrival)
        self.policies_[entry].started(arrival.call)
        self._try(_Attempt(arrival, entry, resends))

    def _try(self, attempt: _Attempt) -> None:
        call = attempt.arrival.call
        router = self.routers_[attempt.entry]
        member = router.choose(call, attempt.exclude, self.simulation.now)
        if member is None:
            self._fail(attempt, Code.NO_UPSTREAM, RunState.NO)
            return
        self.result.attempted(attempt.arrival)
        router.started(member.id)
        agent = self.agents_by_id_[member.id]

        def answer(reply: Reply) -> None:
            self.simulation.call_in(
                self.settings.latency_s, self._answered, attempt, member.id, reply
            )

        self.simulation.call_in(
            self.settings.latency_s, agent.submit, attempt.arrival.run(), answer
        )

    def _answered(self, attempt: _Attempt, member_id: str, reply: Reply) -> None:
        now = self.simulation.now
        call = attempt.arrival.call
        router = self.routers_[attempt.entry]
        router.ended(member_id)
        router.observe_load(member_id, reply.load, now)
        if reply.code is None:
            router.completed(call, member_id)
            end = self.settings.window_end
            self.result.completed(attempt.arrival, now, end)
            return
        router.observe_failure(member_id, reply.code, now, reply.retry_after)
        attempt.exclude.append(member_id)
        self._fail(attempt, reply.code, reply.run)

    def _fail(self, attempt: _Attempt, code: Code, run: RunState) -> None:
        delay = self.policies_[attempt.entry].next(
            attempt.arrival.call, code, run, attempt.count, self.simulation.now
        )
        if delay is None:
            self._gave_up(attempt, code)
            return
        attempt.count += 1
        self.simulation.call_in(delay.total_seconds(), self._try, attempt)

    def _gave_up(self, attempt: _Attempt, code: Code) -> None:
        waited = self.simulation.seconds_ - attempt.arrival.seconds
        self.result.gave_up(attempt.arrival, code, waited)
        if attempt.arrival.poison and attempt.resends < self.settings.poison_resends:
            resends = attempt.resends + 1
            entry = (attempt.entry + 1) % self.settings.entries
            resent = attempt.arrival.resent(resends, waited + RESEND_DELAY_S)
            self.simulation.call_in(
                RESEND_DELAY_S, self._arrive, resent, entry, resends
            )
