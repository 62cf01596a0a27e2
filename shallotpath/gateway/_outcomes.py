"""Failures of requests that were sent to an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from ..core import RunState


class FailureKind(StrEnum):
    """Describe how an attempt at an upstream failed."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    # The address now belongs to another upstream.
    REPLACED = "replaced"
    # The upstream has other weights than the request asks for.
    MISDIRECTED = "misdirected"
    # The placement became invalid before the request was sent.
    EXPIRED = "expired"
    # The request did not start while the weights of its upstream were allowed.
    OUTDATED = "outdated"
    LOST = "lost"
    SILENT = "silent"
    GARBLED = "garbled"
    FAILED = "failed"


RUN_BY_KIND = {
    FailureKind.UNREACHABLE: RunState.NO,
    FailureKind.REFUSED: RunState.NO,
    FailureKind.REPLACED: RunState.NO,
    FailureKind.MISDIRECTED: RunState.NO,
    FailureKind.EXPIRED: RunState.NO,
    FailureKind.OUTDATED: RunState.UNKNOWN,
    FailureKind.LOST: RunState.UNKNOWN,
    FailureKind.SILENT: RunState.UNKNOWN,
    FailureKind.GARBLED: RunState.UNKNOWN,
    FailureKind.FAILED: RunState.YES,
}


@dataclass(slots=True, frozen=True)
class Failure:
    """Describe a failed attempt."""

    kind: FailureKind
    detail: str
    retry_after: timedelta | None = None

    @property
    def run(self) -> RunState:
        """Return whether the request ran at the upstream."""
        return RUN_BY_KIND[self.kind]
