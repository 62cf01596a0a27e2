"""Model of the time to first token on an engine with continuous batching."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from math import ceil

from ._catalog import EngineRates

# Attention cost is given per million pairs of prompt tokens.
MEGAPAIR = 1_000_000


@dataclass(slots=True, frozen=True)
class WaitingLoad:
    """Count requests of one engine priority that have not begun."""

    priority: int
    requests: int
    tokens: int


def _by_priority(load: WaitingLoad) -> int:
    return load.priority


@dataclass(slots=True, frozen=True)
class EngineLoad:
    """Describe the requests at an engine."""

    requests: int = 0
    # Prompt tokens of requests that have not produced their first token.
    unread_tokens: int = 0
    # Step time relative to the usual one; above 1 on an engine that has slowed down.
    pace: float = 1.0
    # Requests without a first token that more urgent ones overtake.
    waiting: tuple[WaitingLoad, ...] = ()

    def ahead_of(self, priority: int, slots: int) -> EngineLoad:
        """Return the load that a request of an engine priority has to wait for.

        Requests beyond the slots are queued, the least urgent ones last, so a more
        urgent request overtakes those. Requests that hold a slot are processed before
        it.
        """
        queued = self.requests - slots
        if queued <= 0 or not self.waiting:
            return self
        requests, tokens = self.requests, self.unread_tokens
        for waiting in sorted(self.waiting, key=_by_priority, reverse=True):
            if waiting.priority <= priority or queued <= 0:
                break
            if waiting.requests <= 0:
                continue
            overtaken = min(waiting.requests, queued)
            requests -= overtaken
            tokens -= waiting.tokens * overtaken // waiting.requests
            queued -= overtaken
        return EngineLoad(requests, tokens, self.pace)


@dataclass(slots=True, frozen=True)
class Prediction:
    """Split the time to first token into waiting and prefill."""

    wait: timedelta
    prefill: timedelta
    # Part of the wait that stands for errors of earlier predictions.
    correction: timedelta = timedelta()
    # Part of the wait that is spent in the queue for a slot.
    queueing: timedelta = timedelta()

    @property
    def first_token(self) -> timedelta:
        """Return the time to the first token."""
        return self.wait + self.prefill


def predict_first_token(
    rates: EngineRates, load: EngineLoad, prompt_tokens: int
) -> Prediction:
    """Predict the time to first token of a request that arrives now.

    An engine works in passes: each one processes up to one chunk of prompt tokens and
    then some decode steps for all requests past their prompt. A request beyond the
    slots waits until earlier ones end.
    """
    decoding = min(load.requests, rates.slots)
    decode = decode_time_per_pass(rates, decoding)
    prefill = _prefill_time(rates, prompt_tokens)
    own_passes = ceil(prompt_tokens / rates.chunk_tokens)
    tokens_ahead = load.unread_tokens
    passes_ahead = tokens_ahead / rates.chunk_tokens
    # On average a new request arrives in the middle of a pass.
    wait = decode / 2 + _prefill_time(rates, tokens_ahead) + decode * passes_ahead
    requests_over_slots = load.requests + 1 - rates.slots
    queueing = timedelta()
    if requests_over_slots > 0:
        queueing = requests_over_slots * slot_occupancy_time(rates) / rates.slots
        wait += queueing
    return Prediction(
        wait * load.pace,
        (prefill + decode * own_passes) * load.pace,
        queueing=queueing * load.pace,
    )


def decode_time_per_pass(rates: EngineRates, decoding: int) -> timedelta:
    """Return the duration of the decode steps of one pass."""
    if not decoding:
        return timedelta()
    context = rates.usual_prompt_tokens + rates.usual_output_tokens / 2
    per_request = rates.step_per_sequence + rates.step_per_kilotoken * (context / 1000)
    return rates.steps_per_pass * (rates.step + per_request * decoding)


def slot_occupancy_time(rates: EngineRates) -> timedelta:
    """Return how long a usual request occupies its slot on a full engine."""
    passes = max(1.0, rates.usual_output_tokens / rates.steps_per_pass)
    # Each freed slot takes a new request, and all others wait for its prefill.
    prefill_per_pass = (
        _prefill_time(rates, rates.usual_prompt_tokens) * rates.slots / passes
    )
    return passes * (decode_time_per_pass(rates, rates.slots) + prefill_per_pass)


def engine_time(
    rates: EngineRates, prompt_tokens: int, output_tokens: int
) -> timedelta:
    """Return the share of a full engine's time that a request takes."""
    passes = max(1.0, output_tokens / rates.steps_per_pass)
    decode = decode_time_per_pass(rates, rates.slots) / rates.slots
    return _prefill_time(rates, prompt_tokens) + passes * decode


def _prefill_time(rates: EngineRates, tokens: float) -> timedelta:
    linear = timedelta(seconds=tokens / rates.prefill_tokens_per_s)
    pairs = min(tokens, rates.usual_prompt_tokens) * tokens / 2
    return linear + rates.prefill_per_megapair * (pairs / MEGAPAIR)
