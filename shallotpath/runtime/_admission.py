"""Checks of a call before the gate of its agent decides on it."""

from __future__ import annotations

from datetime import datetime, timedelta

from ..config import ConfigurationView
from ..core import Code, Submit
from ._engine_watch import EngineWatch
from ._ports import WeightsPort


class AdmissionChecks:
    """Refuse calls that this upstream must not run even if it has capacity."""

    __slots__ = ("configuration", "domain", "draining_", "service", "watch", "weights")

    def __init__(
        self,
        *,
        configuration: ConfigurationView,
        weights: WeightsPort,
        watch: EngineWatch,
        service: str,
        domain: str,
    ) -> None:
        self.configuration = configuration
        self.weights = weights
        self.watch = watch
        self.service = service
        self.domain = domain
        self.draining_ = False

    @property
    def domain_out(self) -> bool:
        """Check whether operators took this failure domain out of service."""
        domain = self.configuration.domains_by_id.get(self.domain)
        return domain is not None and domain.out

    def refusal(self, submit: Submit, now: datetime) -> Code | None:
        """Return the code of a refusal, or `None` if the attempt is admissible."""
        services = self.configuration.services_by_id
        if self.draining_:
            return Code.DRAINING
        if submit.service != self.service or submit.service not in services:
            return Code.UNKNOWN_SERVICE
        if self.domain_out:
            return Code.DOMAIN_OUT
        if submit.time_left <= timedelta(0):
            return Code.DEADLINE_UNREACHABLE
        return self.engine_refusal(submit, now)

    def engine_refusal(self, submit: Submit, now: datetime) -> Code | None:
        """Return why the engine cannot take an attempt now, or `None` if it can."""
        if not self.watch.available(now):
            return Code.UPSTREAM_LOST
        digest = self.weights.digest(submit.service)
        if digest is None:
            return Code.WEIGHTS_NOT_READY
        loaded = self.watch.digest == digest and submit.digest in ("", digest)
        return Code.WEIGHTS_NOT_READY if digest and not loaded else None
