"""Process of an entry, composed from its settings."""

from __future__ import annotations

from collections.abc import Sequence

from ..claims import HomeSet
from ..core import Part
from ..membership import Member, MemberState, Role
from ..routing import RetryPolicy, Router
from ..runtime import EntryLimits, EntryPart, EntryServer, EntryTimeouts
from ..settings import EntrySettings
from ._process import Process


class EntryProcess(Process):
    """Accept callers' requests on one entry VM."""

    role = Role.ENTRY
    settings: EntrySettings

    def make_parts(self) -> Sequence[Part]:
        """Return the parts that only an entry has."""
        self.homes = HomeSet()
        self.router = Router(
            entry_id=self.settings.id,
            domain=self.settings.domain,
            region=self.settings.region,
            configuration=self.configuration,
            membership=self.membership,
            rng=self.random,
            suspects=self.suspects,
        )
        self.part = EntryPart()
        self.server = EntryServer(
            shell=self.shell,
            part=self.part,
            configuration=self.configuration,
            membership=self.membership,
            router=self.router,
            retries=RetryPolicy(self.configuration, self.random),
            home_of=self.home_of,
            new_key=self.new_key,
            domain=self.settings.domain,
            host=self.settings.listen[0],
            port=self.settings.listen[1],
            limits=EntryLimits(
                body_bytes=self.settings.max_body,
                window_bytes=self.settings.stream_window,
            ),
            timeouts=EntryTimeouts(
                silence=self.settings.silence, write=self.settings.write_timeout
            ),
            budget_bytes=self.settings.reader_budget,
        )
        return [self.homes, self.router, self.part]

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are not answered yet."""
        return self.server.in_flight

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return self.server.url

    async def open(self) -> None:
        """Start to accept requests."""
        await self.server.start()

    async def drain(self) -> None:
        """Refuse new requests and answer the accepted ones."""
        await super().drain()
        await self.server.drain()

    async def stop(self) -> None:
        """Close the callers' port and stop."""
        await self.server.stop()
        await super().stop()

    def home_of(self, service: str, key: str) -> Member | None:
        """Return the agent that decides on a key, or `None` if it is unreachable.

        A call that was never sent can be refused as "did not run".
        """
        home = self.member(self.homes.home_of(service, key))
        if home is None or home.state in (MemberState.SUSPECT, MemberState.DEAD):
            return None
        return home

    def new_key(self, service: str) -> str:
        """Return a key whose home agent is in this failure domain."""
        now = self.clock.now()
        domain = self.settings.domain
        return self.homes.new_key(service, domain, self.random, now) or ""
