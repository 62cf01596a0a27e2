"""Reason of a rejection, and when its caller may retry."""

from __future__ import annotations

from datetime import datetime, timedelta
from random import Random

from ..admission import UNRANKED, Rank, retry_window
from ._call import GatewayCall
from ._cold import COLD_WINDOW
from ._engine_model import Prediction
from ._placement import Rejection, RejectReason
from ._upstreams import UpstreamTable

# Range of factors that spreads the retries of rejected callers over time.
RETRY_AFTER_JITTER = (0.7, 1.3)
MIN_RETRY_AFTER = timedelta(milliseconds=150)
# Callers honour a Retry-After of up to this share of their timeout.
MAX_RETRY_AFTER_SHARE = 1 / 3
# Wait for an upstream that is about to accept requests again. Loading new weights takes
# seconds, so callers return about as late as they honour.
NO_UPSTREAM_RETRY_AFTER = timedelta(milliseconds=2500)


class RejectionPolicy:
    """Tell rejected callers when to retry."""

    __slots__ = ("random", "upstreams")

    def __init__(self, upstreams: UpstreamTable, random: Random) -> None:
        self.upstreams = upstreams
        self.random = random

    def reject(
        self,
        call: GatewayCall,
        reason: RejectReason,
        now: datetime,
        candidates: int = 0,
        *,
        predicted: Prediction | None = None,
        rank: Rank = UNRANKED,
    ) -> Rejection:
        """Return the rejection of a request; the jitter spreads the retries."""
        max_retry_after = max(
            MIN_RETRY_AFTER, call.time_left(now) * MAX_RETRY_AFTER_SHARE
        )
        if reason is RejectReason.COLD:
            wait = COLD_WINDOW * self.random.uniform(*RETRY_AFTER_JITTER)
        elif reason is not RejectReason.OVERLOADED:
            opens_at = self.upstreams.opens_at(call.service)
            wait = NO_UPSTREAM_RETRY_AFTER
            if opens_at is not None and opens_at > now:
                wait = min(wait, opens_at - now)
            wait *= self.random.uniform(*RETRY_AFTER_JITTER)
        elif call.model:
            wait = self._overload_retry_after(call, rank, max_retry_after, now)
        else:
            excess_wait = predicted.wait - call.route.target_latency / 2
            wait = excess_wait * self.random.uniform(*RETRY_AFTER_JITTER)
        retry_after = min(max(wait, MIN_RETRY_AFTER), max_retry_after)
        first_token = predicted.first_token if predicted else None
        return Rejection(reason, retry_after, candidates, first_token)

    def _overload_retry_after(
        self, call: GatewayCall, rank: Rank, max_retry_after: timedelta, now: datetime
    ) -> timedelta:
        """Return the retry delay while all engines are full.

        A caller that retried too soon would be taken for a first attempt and get the
        slot of one, although it has already missed its target latency.
        """
        earliest = min(max_retry_after, call.min_recognizable_delay(now))
        first, last = retry_window(rank, earliest, max_retry_after)
        return first + (last - first) * self.random.random()
