"""A fake engine that batches continuously and crashes under overload."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ..core import EngineObserved
from ..limits import Call
from ._simulation import Simulation


@dataclass(slots=True, frozen=True)
class EngineModel:
    """Describe the capacity and the speed of a fake engine."""

    step_s: float = 0.008
    step_per_run_s: float = 0.0004
    # Each run above this number lengthens a step by `knee_step_s`, as when the caches
    # of the runs no longer fit.
    knee_runs: int = 16
    knee_step_s: float = 0.0
    cold_factor: float = 3.0
    cold_running: int = 2
    max_running: int = 16
    warm_up_runs: int = 12
    bytes_per_token: int = 1024
    memory_bytes: int = 800 * 1024
    restart_s: float = 1.0
    # A loss of the caches takes effect at the next step; with `cold_at_once` it already
    # applies to calls that start during the current step, as in the engine stand-in.
    cold_at_once: bool = False


@dataclass(slots=True)
class Run:
    """One run of a call; only the engine knows its length, `tokens`."""

    call: Call
    tokens: int
    poison: bool = False
    generated_tokens: int = 0
    # A run that starts during a step gets its first token with the next one.
    in_step: bool = False
    cache_bytes: int = 0


class EngineListener(Protocol):
    """Receive what an engine reports."""

    def progressed(self, run: Run) -> None:
        """Handle a token of a run."""
        ...

    def finished(self, run: Run) -> None:
        """Handle the end of a run."""
        ...

    def crashed(self, runs: list[Run]) -> None:
        """Handle a crash that lost these runs."""
        ...


class FakeEngine:
    """Run calls in steps of one token for each call."""

    def __init__(
        self,
        simulation: Simulation,
        model: EngineModel,
        listener: EngineListener,
        *,
        warm: bool = False,
    ) -> None:
        self.simulation = simulation
        self.model = model
        self.listener = listener
        self.runs_by_id_: dict[str, Run] = {}
        self.generation_ = 0
        self.cold_runs_left_ = 0 if warm else model.warm_up_runs
        self.cold_at_next_step_ = False
        self.up_ = True
        self.stepping_ = False
        self.load_crashes_ = 0
        self.poison_crashes_ = 0

    @property
    def cold(self) -> bool:
        """Check whether the engine has only its cold capacity."""
        return self.cold_runs_left_ > 0

    @property
    def max_runs(self) -> int:
        """Return the number of concurrent runs above which the engine crashes."""
        return self.model.cold_running if self.cold else self.model.max_running

    def turn_cold(self) -> None:
        """Lose the caches without notice."""
        if self.stepping_ and not self.model.cold_at_once:
            self.cold_at_next_step_ = True
        else:
            self.cold_runs_left_ = self.model.warm_up_runs

    def start(self, run: Run) -> bool:
        """Start a run; return whether the engine was up."""
        if not self.up_:
            return False
        run.cache_bytes = run.call.prompt_bytes
        self.runs_by_id_[run.call.request_id] = run
        if run.poison:
            self.poison_crashes_ += 1
            self._crash()
        elif len(self.runs_by_id_) > self.max_runs:
            self.load_crashes_ += 1
            self._crash()
        elif not self.stepping_:
            self._start_step()
        return True

    def cancel(self, request_id: str) -> None:
        """Stop a run."""
        self.runs_by_id_.pop(request_id, None)

    def observe(self, digest: str) -> EngineObserved:
        """Return the current state; the caller delivers it with a delay."""
        return EngineObserved(
            incarnation=str(self.generation_),
            digest=digest,
            cold=self.cold,
            running=len(self.runs_by_id_),
            held_bytes=sum(run.cache_bytes for run in self.runs_by_id_.values()),
            memory_bytes=self.model.memory_bytes,
        )

    def _start_step(self) -> None:
        model = self.model
        if self.cold_at_next_step_:
            self.cold_at_next_step_ = False
            self.cold_runs_left_ = model.warm_up_runs
        running = len(self.runs_by_id_)
        duration = model.step_s + model.step_per_run_s * running
        duration += model.knee_step_s * max(0, running - model.knee_runs)
        if self.cold:
            duration *= model.cold_factor
        for run in self.runs_by_id_.values():
            run.in_step = True
        self.stepping_ = True
        self.simulation.call_in(duration, self._end_step, self.generation_)

    def _end_step(self, generation: int) -> None:
        if generation != self.generation_:
            return
        # The next step starts only after the callbacks of this one, which may
        # start runs.
        finished = self._advance()
        if generation != self.generation_:
            return
        cache_bytes = sum(run.cache_bytes for run in self.runs_by_id_.values())
        if cache_bytes > self.model.memory_bytes:
            self.load_crashes_ += 1
            self._crash()
            return
        for run in finished:
            self.runs_by_id_.pop(run.call.request_id, None)
        self.cold_runs_left_ = max(0, self.cold_runs_left_ - len(finished))
        for run in finished:
            self.listener.finished(run)
        if generation != self.generation_:
            return
        self.stepping_ = False
        if self.runs_by_id_:
            self._start_step()

    def _advance(self) -> list[Run]:
        stepped = [run for run in self.runs_by_id_.values() if run.in_step]
        for run in stepped:
            run.generated_tokens += 1
            run.cache_bytes += self.model.bytes_per_token
        for run in stepped:
            self.listener.progressed(run)
        return [run for run in stepped if run.generated_tokens >= run.tokens]

    def _crash(self) -> None:
        lost = list(self.runs_by_id_.values())
        self.runs_by_id_.clear()
        self.generation_ += 1
        self.stepping_ = False
        self.up_ = False
        self.cold_at_next_step_ = False
        self.cold_runs_left_ = self.model.warm_up_runs
        self.simulation.call_in(self.model.restart_s, self._restarted)
        self.listener.crashed(lost)

    def _restarted(self) -> None:
        self.up_ = True
