"""Baselines of the burst experiment: a naive lower and an oracle upper bound."""

from __future__ import annotations

from collections import deque

from ..core import Code
from ._burst_load import Arrival, BurstSettings, make_arrivals
from ._burst_model import BurstResult
from ._fake_engine import FakeEngine, Run
from ._simulation import Simulation

NAIVE_ATTEMPTS = 4
NAIVE_RETRY_S = 0.01


class _BaselineModel:
    """Start the engines and the arrivals at the times of the experiment."""

    def __init__(self, settings: BurstSettings) -> None:
        self.settings = settings
        self.simulation = Simulation()
        self.result = BurstResult()
        self.engines_: list[FakeEngine] = []
        self.arrivals_by_id_: dict[str, Arrival] = {}

    def run(self) -> BurstResult:
        """Run to the end and return the counts."""
        settings = self.settings
        for seconds, warm in settings.starts():
            self.simulation.call_in(seconds, self._add_engine, warm)
        turn_cold_at_s = settings.burst_at_s + settings.cold_turn_after_s
        self.simulation.call_in(turn_cold_at_s, self._turn_cold)
        for arrival in make_arrivals(settings):
            self.arrivals_by_id_[arrival.call.request_id] = arrival
            self.simulation.call_in(arrival.seconds, self._arrive, arrival)
        self.simulation.run(settings.duration_s + settings.deadline_s + 1)
        self.result.load_crashes = sum(e.load_crashes_ for e in self.engines_)
        self.result.poison_crashes = sum(e.poison_crashes_ for e in self.engines_)
        return self.result

    def progressed(self, run: Run) -> None:
        """Handle a token of a run."""

    def finished(self, run: Run) -> None:
        """Handle the end of a run."""
        arrival = self.arrivals_by_id_[run.call.request_id]
        end = self.settings.window_end
        self.result.completed(arrival, self.simulation.now, end)

    def crashed(self, runs: list[Run]) -> None:
        """Handle a crash that lost these runs."""

    def _turn_cold(self) -> None:
        self.engines_[0].turn_cold()

    def _add_engine(self, warm: bool) -> None:
        engine = FakeEngine(self.simulation, self.settings.engine, self, warm=warm)
        self.engines_.append(engine)

    def _arrive(self, arrival: Arrival) -> None:
        self.result.arrived(arrival)

    def _give_up(self, arrival: Arrival, code: Code) -> None:
        waited = self.simulation.seconds_ - arrival.seconds
        self.result.gave_up(arrival, code, waited)


class NaiveModel(_BaselineModel):
    """Send round robin to all upstreams without limits and retry on any error."""

    def __init__(self, settings: BurstSettings) -> None:
        super().__init__(settings)
        self.round_robin_ = 0
        self.attempts_by_id_: dict[str, int] = {}

    def crashed(self, runs: list[Run]) -> None:
        """Retry the lost runs elsewhere."""
        for run in runs:
            self._retry(self.arrivals_by_id_[run.call.request_id])

    def _arrive(self, arrival: Arrival) -> None:
        super()._arrive(arrival)
        self._try(arrival)

    def _try(self, arrival: Arrival) -> None:
        self.result.attempted(arrival)
        request_id = arrival.call.request_id
        self.attempts_by_id_[request_id] = self.attempts_by_id_.get(request_id, 0) + 1
        self.round_robin_ += 1
        engine = self.engines_[self.round_robin_ % len(self.engines_)]
        if not engine.start(arrival.run()):
            self._retry(arrival)

    def _retry(self, arrival: Arrival) -> None:
        if self.attempts_by_id_[arrival.call.request_id] < NAIVE_ATTEMPTS:
            self.simulation.call_in(NAIVE_RETRY_S, self._try, arrival)
        else:
            self._give_up(arrival, Code.UPSTREAM_FAILED)


class OracleModel(_BaselineModel):
    """Admit with full knowledge of the engines and of the true length of each run.

    The whole fleet shares one queue in order of arrival. The number of responses
    in time is used as the true capacity.
    """

    def __init__(self, settings: BurstSettings) -> None:
        super().__init__(settings)
        self.queue_: deque[Arrival] = deque()

    def finished(self, run: Run) -> None:
        """Handle the end of a run and start others."""
        super().finished(run)
        self._dispatch()

    def _add_engine(self, warm: bool) -> None:
        super()._add_engine(warm)
        self._dispatch()

    def _arrive(self, arrival: Arrival) -> None:
        super()._arrive(arrival)
        self.queue_.append(arrival)
        self._dispatch()

    def _dispatch(self) -> None:
        while self.queue_:
            arrival = self.queue_[0]
            engine = min(
                (e for e in self.engines_ if self._fits(e, arrival)),
                key=lambda e: (e.cold, len(e.runs_by_id_)),
                default=None,
            )
            if engine is None:
                return
            self.queue_.popleft()
            if self._in_time(engine, arrival):
                self.result.attempted(arrival)
                engine.start(arrival.run())
            else:
                self._give_up(arrival, Code.DEADLINE_UNREACHABLE)

    def _fits(self, engine: FakeEngine, arrival: Arrival) -> bool:
        if len(engine.runs_by_id_) >= engine.max_runs:
            return False
        runs = [*engine.runs_by_id_.values(), arrival.run()]
        size = self.settings.engine.bytes_per_token
        total = sum(run.call.prompt_bytes + run.tokens * size for run in runs)
        return total <= self.settings.engine.memory_bytes

    def _in_time(self, engine: FakeEngine, arrival: Arrival) -> bool:
        model = self.settings.engine
        running = len(engine.runs_by_id_) + 1
        step = model.step_s + model.step_per_run_s * running
        if engine.cold:
            step *= model.cold_factor
        left = (arrival.call.deadline - self.simulation.now).total_seconds()
        return arrival.tokens * step <= left
