"""Estimates of the memory and run time of calls."""

from __future__ import annotations

from datetime import timedelta

from ..config import ServiceKind
from ._model import Call
from ._readiness import Readiness


class CallEstimates:
    """Estimate units of work and bytes; a plain call is one unit of no bytes."""

    __slots__ = ("readiness",)

    def __init__(self, readiness: Readiness) -> None:
        self.readiness = readiness

    @property
    def bytes_per_token(self) -> int:
        """Return the bytes that one token holds, or 0 for a plain service."""
        service = self.readiness.service
        if service is None or service.kind is not ServiceKind.MODEL:
            return 0
        return service.bytes_per_token

    def units(self, call: Call) -> float:
        """Return the tokens that a call may generate, or 1 for a plain call."""
        if not self.bytes_per_token:
            return 1.0
        return float(call.max_tokens or self.readiness.service.default_max_tokens)

    def units_done(self, call: Call, held: int) -> float:
        """Return the units of a completed call from the bytes that it held."""
        if not self.bytes_per_token:
            return 1.0
        grown = (held - call.prompt_bytes) / self.bytes_per_token
        return max(1.0, grown or self.units(call))

    def size(self, call: Call) -> int:
        """Return the most bytes that a call may hold."""
        return call.prompt_bytes + int(self.units(call) * self.bytes_per_token)

    def run_time(self, call: Call, pace: float | None) -> timedelta:
        """Return the longest run time of a call at a pace in seconds per unit."""
        return timedelta(seconds=(pace or 0.0) * self.units(call))
