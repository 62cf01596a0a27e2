"""Process of an agent, composed from its settings."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import replace

from ..claims import ClaimTable, Identity
from ..config import ServiceKind
from ..core import Load, Part
from ..limits import Gate, GateSettings
from ..membership import Member, Role
from ..runtime import (
    AgentPart,
    AgentServer,
    AgentWeights,
    EngineClient,
    EngineWeightsClient,
    status_of,
)
from ..settings import AgentSettings
from ..weights import EngineOrders, Rollout, TransferLimits, TransferPlan
from ._home_set_controller import HomeSetController
from ._process import Process
from ._served import ServedVersion

LEAVE_TIMEOUT_S = 10.0
LEAVE_POLL_INTERVAL_S = 0.05


class AgentProcess(Process):
    """Control all access to the upstream of one VM."""

    role = Role.AGENT
    settings: AgentSettings

    def make_member(self) -> Member:
        """Return this agent's membership record, with its service."""
        return replace(super().make_member(), service=self.settings.service)

    def make_parts(self) -> Sequence[Part]:
        """Return the parts that only an agent has."""
        settings = self.settings
        self._make_weights()
        self.served = ServedVersion(
            domain=settings.domain,
            configuration=self.configuration,
            confirmed=self.confirmed_digest,
        )
        self.gate = Gate(
            node_id=settings.id,
            domain=settings.domain,
            service=settings.service,
            configuration=self.configuration,
            membership=self.membership,
            suspects=self.suspects,
            settings=GateSettings(
                cold_limit=settings.cold_limit,
                max_limit=settings.max_limit,
                queue_capacity=settings.queue,
            ),
            allowed_digests=lambda: self.served.digests(settings.service),
        )
        self.claims = ClaimTable(
            Identity(
                settings.service,
                settings.id,
                self.incarnation,
                settings.domain,
                vm_incarnation=settings.vm_incarnation,
            ),
            self.membership,
        )
        self.part = AgentPart(self.claims)
        self.server = AgentServer(
            shell=self.shell,
            part=self.part,
            configuration=self.configuration,
            gate=self.gate,
            engine=EngineClient(self.session, settings.engine_url),
            service=settings.service,
            domain=settings.domain,
            incarnation=self.incarnation,
            weights=self.served,
        )
        home_set_controller = HomeSetController(
            domain=settings.domain,
            configuration=self.configuration,
            claims=self.claims,
        )
        return [
            *self.weights.parts,
            self.served,
            self.gate,
            self.claims,
            home_set_controller,
            self.part,
        ]

    def confirmed_digest(self) -> str:
        """Return the digest of the weights that may answer new requests."""
        return self.orders.confirmed_digest if self.rollout.admitting else ""

    def _make_weights(self) -> None:
        settings = self.settings
        common = {
            "member_id": settings.id,
            "service": settings.service,
            "configuration": self.configuration,
            "membership": self.membership,
            "random": self.random,
        }
        limits = TransferLimits(
            chunk_buffer=settings.chunk_buffer,
            link_rate=settings.link_rate,
            region_rate=settings.region_rate,
        )
        self.plan = TransferPlan(**common, limits=limits)
        self.orders = EngineOrders(random=self.random)
        self.rollout = Rollout(
            **common,
            incarnation=self.incarnation,
            plan=self.plan,
            orders=self.orders,
        )
        self.weights = AgentWeights(
            shell=self.shell,
            engine=EngineWeightsClient(self.session, settings.engine_url),
            plan=self.plan,
            orders=self.orders,
            rollout=self.rollout,
            in_flight=lambda: self.server.in_flight,
        )

    @property
    def in_flight(self) -> int:
        """Return the number of calls that are queued or run."""
        return self.server.in_flight

    def needs_claims(self) -> bool:
        """Check whether the service has calls that may not be repeated."""
        service = self.configuration.services_by_id.get(self.settings.service)
        return service is not None and bool(service.non_repeatable_paths)

    def connected(self) -> list[str]:
        """Return the entries that are connected to this agent."""
        return list(self.server.received_at_by_peer_)

    def load(self) -> Load:
        """Return the load to report in heartbeats."""
        return self.server.calls.load()

    async def open(self) -> None:
        """Start to serve entries and to transfer weights."""
        await self.server.start()
        self.weights.start()

    async def drain(self) -> None:
        """Refuse new calls, finish the accepted ones and leave the home set."""
        await super().drain()
        await self.server.drain()
        if self.claims.joined:
            await self._wait_until_left()

    async def _wait_until_left(self) -> None:
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                while not self.claims.left:  # noqa: ASYNC110
                    await asyncio.sleep(LEAVE_POLL_INTERVAL_S)
        except TimeoutError:
            # Without a logged leave, the other members retire this agent later.
            self.telemetry.log("leave_not_logged", {})

    async def stop(self) -> None:
        """Cancel all runs and stop."""
        await self.server.stop()
        await super().stop()

    def status(self) -> dict:
        """Return the body of `/status`."""
        model = self._is_model()
        return status_of(
            self.configuration,
            self.membership,
            digest=self.orders.confirmed_digest if model else "",
            progress=self.plan.progress if model else 1.0,
            in_flight=self.in_flight,
        )

    def _is_model(self) -> bool:
        service = self.configuration.services_by_id.get(self.settings.service)
        return service is not None and service.kind is ServiceKind.MODEL
