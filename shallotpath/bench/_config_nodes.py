"""Control nodes: processes with configuration and membership but no requests."""

from __future__ import annotations

import asyncio
import json
import signal
from collections import Counter
from collections.abc import Sequence
from configparser import ConfigParser
from functools import singledispatchmethod
from pathlib import Path
from random import Random
from time import time

from aiohttp import ClientSession, web

from ..config import Configuration
from ..core import (
    ConfigurationChanged,
    DrainRequested,
    Effect,
    Event,
    MonotonicClock,
    Node,
    PlatformError,
)
from ..membership import Member, Membership, Role
from ..runtime import (
    ControlLoop,
    PlatformClient,
    Security,
    Shell,
    peer_identity,
    status_of,
)

LEAVE_NOTICE_S = 2.0


class CountingTelemetry:
    """Count counters and log lines and drop all other telemetry."""

    def __init__(self) -> None:
        self.counts_: Counter[str] = Counter()

    def count(self, name: str, labels: dict[str, str], amount: int) -> None:
        """Add to a counter."""
        self.counts_[name] += amount

    def gauge(self, name: str, labels: dict[str, str], value: float) -> None:
        """Drop a gauge."""

    def log(self, kind: str, fields: dict[str, str]) -> None:
        """Count a log line."""
        self.counts_[f"log {kind}"] += 1

    def trace(self, kind: str, fields: dict[str, str]) -> None:
        """Drop an event."""


class OffsetWatch:
    """Record when each offset came into force."""

    def __init__(self) -> None:
        self.offset_ = -1
        self.reverted_ = 0
        self.effective_at_by_offset_: dict[int, float] = {}

    @singledispatchmethod
    def reduce(self, event: Event, now: object) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: ConfigurationChanged, now: object) -> list[Effect]:
        self.reverted_ += event.offset < self.offset_
        at = time()
        for offset in range(self.offset_ + 1, event.offset + 1):
            self.effective_at_by_offset_[offset] = at
        self.offset_ = event.offset
        return []


class CuttablePlatform(PlatformClient):
    """Reach the platform unless the failure domain is cut off."""

    __slots__ = ("cut_",)

    def __init__(self, session: ClientSession, url: str) -> None:
        super().__init__(session, url)
        self.cut_ = False

    async def _json(self, method: str, path: str, **kwargs) -> dict:
        if self.cut_:
            raise PlatformError("the domain is cut off; wait until it returns")
        answer = await super()._json(method, path, **kwargs)
        if self.cut_:
            raise PlatformError("the domain is cut off; wait until it returns")
        return answer


class ControlNode:
    """Run configuration, membership and control loop over real sockets."""

    def __init__(
        self,
        member: Member,
        *,
        platform: PlatformClient | None,
        seeds: Sequence[str] = (),
        seed: int = 1,
        security: Security | None = None,
    ) -> None:
        random = Random(f"{seed} {member.id}")
        self.domain = member.domain
        self.cut_domains_: frozenset[str] = frozenset()
        self.platform = platform
        self.offset_watch = OffsetWatch()
        self.telemetry = CountingTelemetry()
        self.membership = Membership(
            me=member,
            random=random,
            seeds=seeds,
            config_offset=lambda: self.configuration.offset,
        )
        self.configuration = Configuration(
            id=member.id,
            domain=member.domain,
            membership=self.membership,
            random=random,
            neighbours=self.membership.neighbours,
        )
        self.shell = Shell(
            node=Node(
                member.id, [self.membership, self.configuration, self.offset_watch]
            ),
            clock=MonotonicClock(),
            telemetry=self.telemetry,
            identity=member.id,
            peer_address=member.address,
            platform=platform,
            security=security,
        )
        self.control = ControlLoop(self.shell, self.configuration, self.membership)

    @property
    def bytes_(self) -> int:
        """Return the bytes sent and received."""
        return self.shell.peer.sent_bytes_ + self.shell.peer.received_bytes_

    async def start(self) -> None:
        """Bind the sockets and start."""
        self.shell.peer.receive = self._receive
        await self.shell.start()
        await self.control.start()

    async def stop(self) -> None:
        """Stop without notice."""
        await self.control.stop()
        await self.shell.stop()

    def cut(self, domains: frozenset[str]) -> None:
        """Drop messages between the given domains and all others."""
        self.cut_domains_ = domains
        if isinstance(self.platform, CuttablePlatform):
            self.platform.cut_ = self.domain in domains

    def _receive(self, peer: str, message: object) -> None:
        if self.cut_domains_ and self._crosses_cut(peer):
            return
        self.shell.receive(peer, message)

    def _crosses_cut(self, peer: str) -> bool:
        domain = self._domain_of(peer)
        return domain != self.domain and bool({domain, self.domain} & self.cut_domains_)

    def _domain_of(self, peer: str) -> str:
        members = self.membership.members_by_id
        if peer.startswith("@"):
            member = members.get(peer_identity(peer).rsplit("/", 1)[0])
        else:
            member = next((m for m in members.values() if m.address == peer), None)
        return self.domain if member is None else member.domain


def make_member(id: str, domain: str, address: str, incarnation: str) -> Member:
    """Return a control node's entry in the membership."""
    return Member(id, Role.ENTRY, domain, "r", address, incarnation)


async def run_member(path: Path) -> None:
    """Run one control node as described by an INI file until SIGTERM.

    Prints one JSON line for each offset that comes into force, with wall time.
    """
    settings = ConfigParser(interpolation=None)
    settings.read(path, encoding="utf-8")
    node = settings["node"]
    seeds = settings.get("peers", "seeds", fallback="").replace(",", " ").split()
    incarnation = f"{node['id']}/{time():.6f}"
    member = make_member(node["id"], node["domain"], node["peer"], incarnation)
    async with ClientSession() as session:
        url = settings.get("platform", "url", fallback="")
        platform = PlatformClient(session, url) if url else None
        control = ControlNode(
            member, platform=platform, seeds=seeds, security=read_security(settings)
        )
        await control.start()
        runner = await serve_status(control, node.get("http", "127.0.0.1:0"))
        await report_until_stopped(control)
        control.shell.dispatch(DrainRequested())
        await asyncio.sleep(LEAVE_NOTICE_S)
        await runner.cleanup()
        await control.stop()


def read_security(settings: ConfigParser) -> Security | None:
    """Return the keys of the settings, if there are any."""
    if not settings.has_section("security"):
        return None
    section = settings["security"]
    return Security(
        public_key=section["public_key"],
        secret_key=section["secret_key"],
        accepted_keys=section.get("accepted_keys", "").replace(",", " ").split(),
    )


async def serve_status(control: ControlNode, address: str) -> web.AppRunner:
    """Serve `/status` of a control node."""

    async def answer(request: web.Request) -> web.Response:
        return web.json_response(status_of(control.configuration, control.membership))

    app = web.Application()
    app.router.add_get("/status", answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, port = address.rsplit(":", 1)
    await web.TCPSite(runner, host, int(port)).start()
    return runner


async def report_until_stopped(control: ControlNode) -> None:
    """Print offsets as they come into force, until SIGTERM."""
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    printed = -1
    while not stopped.is_set():
        offset_watch = control.offset_watch
        for offset in range(printed + 1, offset_watch.offset_ + 1):
            at = offset_watch.effective_at_by_offset_[offset]
            print(json.dumps({"offset": offset, "at": at}), flush=True)
        printed = offset_watch.offset_
        await asyncio.sleep(0.1)
