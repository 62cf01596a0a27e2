"""Share of traffic for a failure domain that returns to service."""

from __future__ import annotations

from datetime import datetime, timedelta

from ..config import ConfigurationView


class DomainRamp:
    """Raise the share of a domain gradually after operators return it to service."""

    __slots__ = ("configuration", "ids_out_", "initial_share", "returned_at_by_id_")

    def __init__(self, configuration: ConfigurationView, initial_share: float) -> None:
        self.configuration = configuration
        self.initial_share = initial_share
        self.ids_out_: set[str] = set()
        self.returned_at_by_id_: dict[str, datetime] = {}

    def update(self, now: datetime) -> None:
        """Update which domains are out of service."""
        out = {
            domain.id
            for domain in self.configuration.domains_by_id.values()
            if domain.out
        }
        for domain_id in self.ids_out_ - out:
            self.returned_at_by_id_[domain_id] = now
        for domain_id in out:
            self.returned_at_by_id_.pop(domain_id, None)
        self.ids_out_ = out

    def share(self, domain_id: str, now: datetime) -> float:
        """Return the share of calls that may go to a domain, between 0 and 1."""
        domain = self.configuration.domains_by_id.get(domain_id)
        if domain_id in self.ids_out_ or (domain is not None and domain.out):
            return 0.0
        returned_at = self.returned_at_by_id_.get(domain_id)
        if returned_at is None:
            return 1.0
        duration = self.configuration.preset.domain_ramp
        if duration <= timedelta() or now - returned_at >= duration:
            del self.returned_at_by_id_[domain_id]
            return 1.0
        return self.initial_share + (1.0 - self.initial_share) * (
            (now - returned_at) / duration
        )
