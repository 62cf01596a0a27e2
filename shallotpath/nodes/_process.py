"""Base class of the processes of entries and agents."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from random import Random
from uuid import uuid4

from aiohttp import ClientTimeout, DummyCookieJar

from ..claims import STREAM as CLAIMS_STREAM
from ..claims import WitnessStore
from ..config import Configuration
from ..core import Clock, DrainRequested, Load, MonotonicClock, Node, Part
from ..limits import Suspects
from ..membership import Member, Membership, Role
from ..runtime import (
    ControlLoop,
    LogTailer,
    PlatformClient,
    Security,
    Shell,
    Transport,
    check_keys,
    status_of,
)
from ..settings import NodeSettings
from ..telemetry import HybridClock, ProcessTelemetry
from ..webclient import open_session

CLAIMS_CHECK_INTERVAL_S = 0.5


class Process:
    """Base of a process that is composed from its settings.

    Subclasses add their parts in `make_parts` and their servers in `open`.
    """

    role: Role

    def __init__(
        self,
        settings: NodeSettings,
        *,
        clock: Clock | None = None,
        seed: int | None = None,
        make_transport: Callable[..., Transport] = Transport,
    ) -> None:
        self.settings = settings
        self.make_transport = make_transport
        self.clock = clock or MonotonicClock()
        self.random = Random(seed)
        self.incarnation = uuid4().hex[:12]
        self.exit_stack_ = AsyncExitStack()
        hlc = HybridClock(self.clock)
        self.telemetry = ProcessTelemetry(settings.id, settings.domain, hlc=hlc)
        self.membership = Membership(
            me=self.make_member(),
            random=self.random,
            seeds=settings.seeds,
            config_offset=lambda: self.configuration.offset,
            load=self.load,
        )
        self.configuration = Configuration(
            id=settings.id,
            domain=settings.domain,
            membership=self.membership,
            random=self.random,
            neighbours=self.membership.neighbours,
        )
        self.suspects = Suspects(
            node_id=settings.id,
            incarnation=self.incarnation,
            connected=self.connected,
        )
        self.witnesses = WitnessStore(
            member_id=settings.id, incarnation=self.incarnation
        )
        self.shell: Shell | None = None
        self.control: ControlLoop | None = None

    @property
    def in_flight(self) -> int:
        """Return the number of requests that this process holds."""
        raise NotImplementedError

    def make_member(self) -> Member:
        """Return the membership record of this process."""
        return Member(
            id=self.settings.id,
            role=self.role,
            domain=self.settings.domain,
            region=self.settings.region,
            address=self.settings.peer,
            incarnation=self.incarnation,
            bulk_address=self.settings.bulk,
        )

    def make_parts(self) -> Sequence[Part]:
        """Return the parts that only this role has."""
        raise NotImplementedError

    def connected(self) -> list[str]:
        """Return the peers that are sent suspect fingerprints directly."""
        return []

    def load(self) -> Load:
        """Return the load to report in heartbeats."""
        return Load(0, 0)

    async def start(self) -> None:
        """Bind the sockets and start to serve."""
        session = open_session(
            timeout=ClientTimeout(total=None),
            cookie_jar=DummyCookieJar(),
        )
        self.session = await self.exit_stack_.enter_async_context(session)
        common_parts = [
            self.membership,
            self.configuration,
            self.suspects,
            self.witnesses,
        ]
        node = Node(self.settings.id, common_parts)
        self.shell = Shell(
            node=node,
            clock=self.clock,
            telemetry=self.telemetry,
            identity=self.settings.id,
            peer_address=self.settings.peer,
            bulk_address=self.settings.bulk,
            platform=PlatformClient(session, self.settings.platform_url),
            stamper=self.telemetry.hlc,
            security=make_security(self.settings),
            make_transport=self.make_transport,
        )
        node.parts = [*common_parts, *self.make_parts()]
        await self.shell.start()
        self.control = ControlLoop(
            self.shell,
            self.configuration,
            self.membership,
            list_interval_s=self.settings.vm_list_interval.total_seconds(),
        )
        await self.control.start()
        self.shell.spawn(self._read_claims())
        await self.open()
        self.telemetry.log("started", {"incarnation": self.incarnation})

    def needs_claims(self) -> bool:
        """Check whether this process must know the home agents of keys."""
        return True

    async def _read_claims(self) -> None:
        # Most agents serve only repeatable calls and need no claims; reading them in
        # each agent would load the log for nothing.
        while not self.needs_claims():  # noqa: ASYNC110
            await asyncio.sleep(CLAIMS_CHECK_INTERVAL_S)
        await LogTailer(self.shell, CLAIMS_STREAM).run()

    async def open(self) -> None:
        """Start the servers of this role."""
        raise NotImplementedError

    async def drain(self) -> None:
        """Announce the drain; subclasses finish the requests that they hold."""
        self.shell.dispatch(DrainRequested())

    async def stop(self) -> None:
        """Stop at once; call after `drain` for a graceful stop."""
        await self.shell.stop()
        await self.exit_stack_.aclose()

    def status(self) -> dict:
        """Return the body of `/status`."""
        return status_of(self.configuration, self.membership, in_flight=self.in_flight)

    def member(self, member_id: str | None) -> Member | None:
        """Return a member by its id, or `None` if it is unknown."""
        return self.membership.members_by_id.get(member_id or "")


def make_security(settings: NodeSettings) -> Security | None:
    """Return the CURVE keys of the settings, or `None` if there are none."""
    if not settings.public_key:
        return None
    return Security(
        public_key=settings.public_key,
        secret_key=settings.secret_key,
        accepted_keys=accepted_keys(settings),
    )


def check_security(settings: NodeSettings) -> None:
    """Check the CURVE keys of the settings or raise `SettingError`."""
    if settings.public_key or settings.secret_key:
        check_keys(settings.public_key, settings.secret_key, accepted_keys(settings))


def accepted_keys(settings: NodeSettings) -> list[str]:
    """Return the public keys that are accepted from other processes."""
    return settings.accepted_keys.replace(",", " ").split()
