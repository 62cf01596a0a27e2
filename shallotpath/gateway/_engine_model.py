"""Predicted time to the first token of an engine that batches continuously."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from math import ceil

from ._catalog import EngineRates

MEGAPAIR = 1_000_000


@dataclass(slots=True, frozen=True)
class EngineLoad:
    """Hold what is known of the work at an engine."""

    requests: int = 0
    # Prompt tokens of requests that have not produced their first token.
    unread_tokens: int = 0
    # Times the usual step; over 1 for an engine that turned slow.
    pace: float = 1.0
    # Requests without a first token that let more urgent ones go first.
    yielding_requests: int = 0
    yielding_tokens: int = 0

    def ahead_of_urgent(self, slots: int) -> EngineLoad:
        """Return the work that an urgent request that arrives now waits for.

        Requests beyond the slots are queued, the yielding ones last; those that got a
        slot are read before it.
        """
        overtaken = min(self.yielding_requests, max(0, self.requests - slots))
        if not overtaken:
            return self
        tokens = self.yielding_tokens * overtaken // self.yielding_requests
        return EngineLoad(
            self.requests - overtaken, self.unread_tokens - tokens, self.pace
        )


@dataclass(slots=True, frozen=True)
class Prediction:
    """Split the time to the first token by what causes it."""

    wait: timedelta
    prefill: timedelta

    @property
    def first_token(self) -> timedelta:
        """Return the time to the first token."""
        return self.wait + self.prefill


def predict_first_token(
    rates: EngineRates, load: EngineLoad, prompt_tokens: int
) -> Prediction:
    """Predict when a request that arrives now produces its first token.

    An engine works in passes: each reads up to one chunk of prompts and then
    makes some steps for all requests that are writing. A request beyond the slots
    waits until earlier ones end.
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
    if requests_over_slots > 0:
        wait += requests_over_slots * slot_occupancy_time(rates) / rates.slots
    return Prediction(wait * load.pace, (prefill + decode * own_passes) * load.pace)


def decode_time_per_pass(rates: EngineRates, decoding: int) -> timedelta:
    """Return how long the steps of one pass take."""
    if not decoding:
        return timedelta()
    context = rates.usual_prompt_tokens + rates.usual_output_tokens / 2
    per_request = rates.step_per_sequence + rates.step_per_kilotoken * (context / 1000)
    return rates.steps_per_pass * (rates.step + per_request * decoding)


def slot_occupancy_time(rates: EngineRates) -> timedelta:
    """Return how long a usual request holds its slot on a full engine."""
    passes = max(1.0, rates.usual_output_tokens / rates.steps_per_pass)
    # Each slot that becomes free brings one prompt to read, which all others await.
    read_per_pass = (
        _prefill_time(rates, rates.usual_prompt_tokens) * rates.slots / passes
    )
    return passes * (decode_time_per_pass(rates, rates.slots) + read_per_pass)


def _prefill_time(rates: EngineRates, tokens: float) -> timedelta:
    linear = timedelta(seconds=tokens / rates.read_tokens_per_s)
    pairs = min(tokens, rates.usual_prompt_tokens) * tokens / 2
    return linear + rates.read_per_megapair * (pairs / MEGAPAIR)
