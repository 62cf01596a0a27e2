"""Interfaces of other packages that the request path uses."""

from __future__ import annotations

from collections.abc import Collection
from datetime import datetime, timedelta
from typing import Protocol

from ..config import ConfigurationView, ServiceKind
from ..core import Code, Effect, Load, Message, RunState
from ..limits import Call, Decision, Expired
from ..membership import Member


class GatePort(Protocol):
    """Admit calls to one upstream."""

    def request(self, call: Call, now: datetime) -> Decision:
        """Decide on a call."""
        ...

    def release(self, request_id: str, completed: bool, now: datetime) -> list[Call]:
        """Remove a call and return queued calls that may run now.

        An unknown request id changes nothing but still returns runnable calls.
        """
        ...

    def held(self, request_id: str, size: int) -> None:
        """Record the estimated memory of a running call."""
        ...

    def expire(self, now: datetime) -> list[Expired]:
        """Return queued calls that can no longer run."""
        ...

    def ready(self, now: datetime) -> list[Call]:
        """Return queued calls that may run now."""
        ...

    def load(self) -> Load:
        """Return the load of the upstream and what it can still take."""
        ...


class ClaimPort(Protocol):
    """Decide whether a request may run under its idempotency key.

    The decision arrives as the event `ClaimDecided`.
    """

    def request(
        self, key: str, request_id: str, fresh: bool, now: datetime
    ) -> list[Effect]:
        """Request a decision."""
        ...

    def finished(
        self, key: str, request_id: str, status: int, now: datetime
    ) -> list[Effect]:
        """Record the end of a run; a status of 0 means an unknown outcome."""
        ...

    def released(self, key: str, request_id: str, now: datetime) -> list[Effect]:
        """Record that a claimed call was never handed to the upstream."""
        ...


class RouterPort(Protocol):
    """Choose upstreams and learn from their behaviour."""

    def choose(
        self, call: Call, exclude: Collection[str], now: datetime
    ) -> Member | None:
        """Return an upstream for a call, or `None`."""
        ...

    def started(self, member_id: str) -> None:
        """Record that an attempt was sent."""
        ...

    def ended(self, member_id: str) -> None:
        """Record that an attempt ended."""
        ...

    def observe_load(self, member_id: str, load: Load, now: datetime) -> None:
        """Record a load report."""
        ...

    def warning(self, call: Call, now: datetime) -> Message | None:
        """Return a message that the agent must get before the call, if there is one."""
        ...

    def completed(self, call: Call, member_id: str) -> None:
        """Record a complete response."""
        ...

    def observe_failure(
        self,
        member_id: str,
        code: Code,
        now: datetime,
        retry_after: timedelta | None = None,
    ) -> None:
        """Record a refusal or failure."""
        ...


class RetryPort(Protocol):
    """Decide on further attempts within the retry budget."""

    def started(self, call: Call) -> None:
        """Record a first attempt."""
        ...

    def next(
        self,
        call: Call,
        code: Code,
        run: RunState,
        attempts: int,
        now: datetime,
        *,
        retry_after: timedelta | None = None,
    ) -> timedelta | None:
        """Return the delay before another attempt, or `None` to give up."""
        ...


class WeightsPort(Protocol):
    """Identify the weights from which a service may respond at this upstream."""

    def digest(self, service_id: str) -> str | None:
        """Return the digest, `""` for a plain service, `None` if there is none."""
        ...


class ConfiguredWeights:
    """Require the version of the weights that the configuration names."""

    __slots__ = ("configuration",)

    def __init__(self, configuration: ConfigurationView) -> None:
        self.configuration = configuration

    def digest(self, service_id: str) -> str | None:
        """Return the digest, `""` for a plain service, `None` if there is none."""
        service = self.configuration.services_by_id.get(service_id)
        if service is None:
            return None
        if service.kind is ServiceKind.PLAIN:
            return ""
        version_id = f"{service.model}/{service.version}"
        version = self.configuration.versions_by_id.get(version_id)
        return version.digest if version else None
