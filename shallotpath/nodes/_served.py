"""Selection of the weights from which an agent may answer."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime
from functools import singledispatchmethod

from ..config import ConfigurationView, Service, ServiceKind
from ..core import ConfigurationChanged, Effect, Event


class ServedVersion:
    """Allow a published version that the engine confirmed as loaded.

    During a rolling update, the old version keeps serving. After the failure
    domain was out, only the version that the configuration names may serve, until
    the engine has confirmed it.
    """

    __slots__ = ("configuration", "confirmed", "domain", "needs_current_")

    def __init__(
        self,
        *,
        domain: str,
        configuration: ConfigurationView,
        confirmed: Callable[[], str],
    ) -> None:
        self.domain = domain
        self.configuration = configuration
        self.confirmed = confirmed
        self.needs_current_ = False

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: ConfigurationChanged, now: datetime) -> list[Effect]:
        state = self.configuration.domains_by_id.get(self.domain)
        if state is not None and state.out:
            self.needs_current_ = True
        return []

    def digest(self, service_id: str) -> str | None:
        """Return the allowed digest, `""` for a plain service, or `None` for none."""
        service = self.configuration.services_by_id.get(service_id)
        if service is None:
            return None
        if service.kind is ServiceKind.PLAIN:
            return ""
        confirmed = self.confirmed()
        if confirmed and confirmed == self._current(service):
            self.needs_current_ = False
            return confirmed
        published = not self.needs_current_ and self._published(service, confirmed)
        return confirmed if published else None

    def digests(self, service_id: str) -> set[str]:
        """Return the digests that the gate may admit calls for."""
        digest = self.digest(service_id)
        return {digest} if digest else set()

    def _current(self, service: Service) -> str:
        key = f"{service.model}/{service.version}"
        version = self.configuration.versions_by_id.get(key)
        return version.digest if version else ""

    def _published(self, service: Service, digest: str) -> bool:
        return bool(digest) and any(
            version.digest == digest and version.model == service.model
            for version in self.configuration.versions_by_id.values()
        )
