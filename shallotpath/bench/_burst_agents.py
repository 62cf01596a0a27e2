"""Agents of the burst experiment: the real admission gate and a fake engine."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..config import StaticConfiguration
from ..core import (
    Code,
    Effect,
    EngineLost,
    Event,
    Load,
    Node,
    Received,
    RunState,
    Send,
    Tick,
)
from ..limits import (
    Admit,
    Call,
    Gate,
    GateSettings,
    LimitRule,
    Refuse,
    Suspects,
)
from ..membership import StaticMembership
from ._burst_load import DIGEST, SERVICE, BurstSettings
from ._fake_engine import FakeEngine, Run
from ._simulation import Simulation

TICK_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 0.5


@dataclass(slots=True, frozen=True)
class Reply:
    """Carry an agent's answer to an attempt; no code means a complete response."""

    load: Load
    code: Code | None = None
    run: RunState = RunState.YES
    retry_after: timedelta | None = None


ReplyCallback = Callable[[Reply], None]


class SimulatedAgent:
    """Run one admission gate in front of one fake engine."""

    def __init__(
        self,
        *,
        agent_id: str,
        domain: str,
        simulation: Simulation,
        settings: BurstSettings,
        configuration: StaticConfiguration,
        membership: StaticMembership,
        rule: LimitRule,
        connected: Callable[[], list[str]],
        send: Callable[[str, Send], None],
        warm: bool,
    ) -> None:
        self.agent_id = agent_id
        self.simulation = simulation
        self.settings = settings
        self.send = send
        self.engine = FakeEngine(simulation, settings.engine, self, warm=warm)
        self.suspects = Suspects(
            node_id=agent_id, incarnation="i1", connected=connected
        )
        self.gate = Gate(
            node_id=agent_id,
            domain=domain,
            service=SERVICE,
            configuration=configuration,
            membership=membership,
            suspects=self.suspects,
            settings=GateSettings(max_limit=settings.engine.max_running),
            rule=rule,
        )
        self.node = Node(agent_id, [self.suspects, self.gate])
        self.pending_by_id_: dict[str, tuple[Run, ReplyCallback]] = {}
        self._reduce(self.engine.observe(DIGEST))
        simulation.call_in(0.0, self._tick)
        simulation.call_in(0.0, self._report)

    def submit(self, run: Run, on_reply: ReplyCallback) -> None:
        """Receive an attempt."""
        call = run.call
        decision = self.gate.request(call, self.simulation.now)
        if isinstance(decision, Refuse):
            load = self.gate.load()
            on_reply(Reply(load, decision.code, RunState.NO, decision.retry_after))
            return
        self.pending_by_id_[call.request_id] = (run, on_reply)
        if isinstance(decision, Admit):
            self._start([call])

    def cancel(self, request_id: str) -> None:
        """Cancel an attempt whose caller disconnected."""
        if self.pending_by_id_.pop(request_id, None) is not None:
            self.engine.cancel(request_id)
            self._start(self.gate.release(request_id, False, self.simulation.now))

    def receive(self, message: Received) -> None:
        """Handle a message of an entry."""
        self._reduce(message)

    def progressed(self, run: Run) -> None:
        """Handle a token of a run."""
        now = self.simulation.now
        self._start(self.gate.held(run.call.request_id, run.cache_bytes, now))

    def finished(self, run: Run) -> None:
        """Handle the end of a run."""
        request_id = run.call.request_id
        started = self.gate.release(request_id, True, self.simulation.now)
        on_reply = self.pending_by_id_.pop(request_id)[1]
        on_reply(Reply(self.gate.load()))
        self._start(started)

    def crashed(self, runs: list[Run]) -> None:
        """Handle a crash of the engine."""
        self._reduce(EngineLost([run.call.fingerprint for run in runs]))
        for run in runs:
            self._fail(run.call, Code.UPSTREAM_FAILED, RunState.UNKNOWN)
        self._expire()

    def _start(self, calls: list[Call]) -> None:
        for call in calls:
            pending = self.pending_by_id_.get(call.request_id)
            # A crash during this loop has already answered the other calls.
            if pending is not None and not self.engine.start(pending[0]):
                self.gate.release(call.request_id, False, self.simulation.now)
                self._fail(call, Code.UPSTREAM_FAILED, RunState.NO)

    def _fail(self, call: Call, code: Code, run: RunState) -> None:
        pending = self.pending_by_id_.pop(call.request_id, None)
        if pending is not None:
            pending[1](Reply(self.gate.load(), code, run))

    def _expire(self) -> None:
        for expired in self.gate.expire(self.simulation.now):
            self._fail(expired.call, expired.code, RunState.NO)

    def _tick(self) -> None:
        self._reduce(Tick())
        self._expire()
        self._start(self.gate.ready(self.simulation.now))
        self.simulation.call_in(TICK_INTERVAL_S, self._tick)

    def _report(self) -> None:
        if self.engine.up_:
            observed = self.engine.observe(DIGEST)
            self.simulation.call_in(
                self.settings.report_lag_s, self._deliver_observed, observed
            )
        self.simulation.call_in(REPORT_INTERVAL_S, self._report)

    def _deliver_observed(self, observed: Event) -> None:
        # The incarnation belongs to the connection, so a report of a lost connection
        # is stale.
        if observed.incarnation == str(self.engine.generation_):
            self._reduce(observed)

    def _reduce(self, event: Event) -> None:
        effects: list[Effect] = self.node.reduce(event, self.simulation.now)
        for effect in effects:
            if isinstance(effect, Send):
                self.send(self.agent_id, effect)
