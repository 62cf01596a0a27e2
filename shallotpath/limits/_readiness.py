"""Conditions under which an upstream accepts no new calls."""

from __future__ import annotations

from collections.abc import Callable, Collection

from ..config import ConfigurationView, Service, ServiceKind
from ..core import Code, EngineObserved


class Readiness:
    """Decide from the configuration and the engine's state whether work may start."""

    __slots__ = (
        "allowed_digests",
        "configuration",
        "domain",
        "draining_",
        "observed_",
        "service_id",
    )

    def __init__(
        self,
        domain: str,
        service_id: str,
        configuration: ConfigurationView,
        allowed_digests: Callable[[], Collection[str]] | None = None,
    ) -> None:
        self.domain = domain
        self.service_id = service_id
        self.configuration = configuration
        self.allowed_digests = allowed_digests
        self.draining_ = False
        self.observed_: EngineObserved | None = None

    @property
    def service(self) -> Service | None:
        """Return the service that this upstream runs."""
        return self.configuration.services_by_id.get(self.service_id)

    def closed(self) -> Code | None:
        """Return why no new work may start, or `None` if it may."""
        if self.draining_:
            return Code.DRAINING
        if self.configuration.offset < 0:
            return Code.NO_CONFIGURATION
        domain = self.configuration.domains_by_id.get(self.domain)
        if domain is not None and domain.out:
            return Code.DOMAIN_OUT
        if self.service is None:
            return Code.UNKNOWN_SERVICE
        if self.observed_ is None:
            return Code.UPSTREAM_FAILED
        return None if self._weights_ready() else Code.WEIGHTS_NOT_READY

    def _weights_ready(self) -> bool:
        service = self.service
        if service.kind is not ServiceKind.MODEL:
            return True
        digest = self.observed_.digest
        if self.allowed_digests is not None:
            return digest in self.allowed_digests()
        version = self.configuration.versions_by_id.get(
            f"{service.model}/{service.version}"
        )
        return version is not None and digest == version.digest
