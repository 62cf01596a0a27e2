"""Selection of an upstream for one attempt of a call."""

from __future__ import annotations

from collections.abc import Callable, Collection
from datetime import datetime, timedelta
from functools import singledispatchmethod
from random import Random

from ..config import ConfigurationView
from ..core import (
    Code,
    ConfigurationChanged,
    Effect,
    Event,
    Gossip,
    Load,
    MemberChanged,
)
from ..limits import Call, Suspects, Suspicion, designated_agent
from ..membership import Member, MembershipView
from ._directory import Directory
from ._health import CALL_CODES, HealthRule, SkipRule
from ._loads import Loads
from ._pool import Pool
from ._ramp import DomainRamp
from ._repeats import RepeatTracker
from ._rules import FULL_UTILISATION, AffinityRule, SelectionRule
from ._settings import RouterSettings


class Router:
    """Choose upstreams for the calls of one entry."""

    __slots__ = (
        "directory",
        "domain",
        "health",
        "loads",
        "ramp",
        "region",
        "repeats",
        "rng",
        "rule",
        "settings",
        "suspects",
    )

    def __init__(
        self,
        *,
        entry_id: str,
        domain: str,
        region: str,
        configuration: ConfigurationView,
        membership: MembershipView,
        rng: Random,
        suspects: Suspects | None = None,
        settings: RouterSettings | None = None,
        rule: Callable[[Loads, Random], SelectionRule] = AffinityRule,
        health: HealthRule | None = None,
    ) -> None:
        settings = settings or RouterSettings()
        self.domain = domain
        self.region = region
        self.rng = rng
        self.suspects = suspects
        self.settings = settings
        self.loads = Loads(settings.tracked_members, settings.unknown_limit)
        self.rule = rule(self.loads, rng)
        self.health = health or SkipRule()
        self.ramp = DomainRamp(configuration, settings.ramp_start)
        self.repeats = RepeatTracker(
            settings.tracked_fingerprints, settings.repeat_window
        )
        self.directory = Directory(entry_id, membership)
        self.directory.load()

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event; unknown types have no effect."""
        return []

    @reduce.register
    def _(self, event: MemberChanged, now: datetime) -> list[Effect]:
        self.directory.update(event.id)
        # The load and health of an old incarnation do not apply to a cold new one.
        self.loads.forget(event.id)
        self.health.forget(event.id)
        return []

    @reduce.register
    def _(self, event: ConfigurationChanged, now: datetime) -> list[Effect]:
        self.ramp.update(now)
        return []

    def choose(
        self, call: Call, exclude: Collection[str], now: datetime
    ) -> Member | None:
        """Return the upstream for the next attempt, or `None` if there is none."""
        self.loads.advance(now)
        suspicion = Suspicion.CLEAR
        if self.suspects is not None:
            suspicion = self.suspects.state(call.fingerprint, now)
        if suspicion is Suspicion.QUARANTINED:
            return None
        if suspicion is Suspicion.SUSPECT:
            return self._designated_member(call, exclude)
        repeated = self.repeats.repeated(call, now)
        return self._choose_nearest(call, exclude, now, allow_spill=not repeated)

    def warning(self, call: Call, now: datetime) -> Gossip | None:
        """Return the gossip about a suspect request to send ahead of the call, if any.

        An attempt right after a crash may reach the agent before regular gossip does.
        """
        if self.suspects is None:
            return None
        return self.suspects.warning(call.fingerprint, now)

    def started(self, member_id: str) -> None:
        """Count an attempt that was sent to an upstream."""
        for evicted in self.loads.started(member_id):
            self.health.forget(evicted)

    def ended(self, member_id: str) -> None:
        """Count the end of an attempt."""
        self.loads.ended(member_id)

    def completed(self, call: Call, member_id: str) -> None:
        """Record a complete response, which clears its request and its upstream."""
        self.repeats.completed(call)
        self.health.succeeded(member_id)

    def observe_load(self, member_id: str, load: Load, now: datetime) -> None:
        """Record the load reported in a message from an upstream."""
        for evicted in self.loads.observe(member_id, load, now):
            self.health.forget(evicted)

    def observe_failure(
        self,
        member_id: str,
        code: Code,
        now: datetime,
        retry_after: timedelta | None = None,
    ) -> None:
        """Record a refusal or failure of an upstream."""
        if code not in CALL_CODES:
            self.health.failed(member_id, code, now, retry_after)

    def _choose_nearest(
        self, call: Call, exclude: Collection[str], now: datetime, allow_spill: bool
    ) -> Member | None:
        """Return the nearest upstream below its limit, else the least loaded one."""
        best: str | None = None
        for pool in self._pools_by_distance(call.service, now):
            member_id = self._choose_in_pool(call, pool, exclude, now, allow_spill)
            if member_id is None:
                continue
            if self.loads.utilisation(member_id) <= FULL_UTILISATION:
                return self.directory.member(member_id)
            if best is None or self._utilisation(member_id) < self._utilisation(best):
                best = member_id
        return None if best is None else self.directory.member(best)

    def _utilisation(self, member_id: str) -> float:
        return self.loads.utilisation(member_id)

    def _choose_in_pool(
        self,
        call: Call,
        pool: Pool,
        exclude: Collection[str],
        now: datetime,
        allow_spill: bool,
    ) -> str | None:
        def usable(member_id: str) -> bool:
            return (
                member_id not in exclude
                and self.health.available(member_id, now)
                and self.directory.member(member_id) is not None
            )

        return self.rule.choose(
            call, pool, self.settings.subset_size, usable, allow_spill
        )

    def _pools_by_distance(self, service: str, now: datetime) -> list[Pool]:
        """Return the pools, nearest first, with ramping domains in by their share."""
        pools = self.directory.pools(service)
        near: list[tuple[int, float, Pool]] = []
        ramping: list[Pool] = []
        for domain_id, pool in pools.items():
            share = self.ramp.share(domain_id, now)
            if share >= 1.0 or (share > 0.0 and self.rng.random() < share):
                near.append((self._distance(domain_id), self.rng.random(), pool))
            elif share > 0.0:
                ramping.append(pool)
        near.sort(key=lambda item: item[:2])
        # If only ramping domains are left, they serve all calls; the admission control
        # of their agents protects them.
        return [pool for _, _, pool in near] or ramping

    def _distance(self, domain_id: str) -> int:
        if domain_id == self.domain:
            return 0
        domain = self.ramp.configuration.domains_by_id.get(domain_id)
        return 1 if domain is not None and domain.region == self.region else 2

    def _designated_member(self, call: Call, exclude: Collection[str]) -> Member | None:
        """Return the only agent that may run a suspect request."""
        domains_by_agent = {
            member_id: domain_id
            for domain_id, pool in self.directory.pools(call.service).items()
            if domain_id not in self.ramp.ids_out_
            for member_id in pool.ids_
            if self.directory.member(member_id) is not None
        }
        crash_sites = self.suspects.crash_sites(call.fingerprint)
        agent_id = designated_agent(call, domains_by_agent, crash_sites)
        if agent_id is None or agent_id in exclude:
            return None
        return self.directory.member(agent_id)
