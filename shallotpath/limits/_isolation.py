"""Rules on where a suspect request may run, and beside which others."""

from __future__ import annotations

from datetime import datetime

from ..config import ConfigurationView
from ..core import Code
from ..membership import MembershipView, MemberState, Role
from ._designation import designated_agent
from ._model import Call
from ._suspects import Suspects, Suspicion


class Isolation:
    """Decide for one agent whether it may run suspect requests."""

    __slots__ = (
        "configuration",
        "designated_by_fingerprint_",
        "domain",
        "membership",
        "node_id",
        "suspects",
    )

    def __init__(
        self,
        *,
        node_id: str,
        domain: str,
        configuration: ConfigurationView,
        membership: MembershipView,
        suspects: Suspects,
    ) -> None:
        self.node_id = node_id
        self.domain = domain
        self.configuration = configuration
        self.membership = membership
        self.suspects = suspects
        self.designated_by_fingerprint_: dict[str, bool] = {}

    def refusal(self, call: Call, now: datetime) -> Code | None:
        """Return why a call must not run on this agent, or `None` if it may."""
        suspicion = self.suspects.state(call.fingerprint, now)
        if suspicion is Suspicion.QUARANTINED:
            return Code.QUARANTINED
        if suspicion is Suspicion.SUSPECT and not self._is_designated(call):
            return Code.ISOLATED
        return None

    def suspect(self, call: Call, now: datetime) -> bool:
        """Check whether a call must run alone."""
        return self.suspects.state(call.fingerprint, now) is not Suspicion.CLEAR

    def refresh(self) -> None:
        """Discard the cached choices of designated agents.

        Membership and crashes change rarely, and choosing among all agents is too
        expensive to repeat for each token while a suspect waits.
        """
        self.designated_by_fingerprint_.clear()

    def _is_designated(self, call: Call) -> bool:
        is_designated = self.designated_by_fingerprint_.get(call.fingerprint)
        if is_designated is None:
            sites = self.suspects.crash_sites(call.fingerprint)
            agent = designated_agent(call, self._domains_by_agent(call.service), sites)
            is_designated = agent == self.node_id
            self.designated_by_fingerprint_[call.fingerprint] = is_designated
        return is_designated

    def _domains_by_agent(self, service: str) -> dict[str, str]:
        domains_by_agent = {
            member.id: member.domain
            for member in self.membership.members_by_id.values()
            if member.role is Role.AGENT
            and member.service == service
            and member.state is MemberState.ALIVE
            and not self._is_domain_out(member.domain)
        }
        domains_by_agent[self.node_id] = self.domain
        return domains_by_agent

    def _is_domain_out(self, domain_id: str) -> bool:
        domain = self.configuration.domains_by_id.get(domain_id)
        return domain is not None and domain.out
