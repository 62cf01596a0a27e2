"""A process of the world: real parts in one node, and the glue of a shell."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime, timedelta
from functools import singledispatchmethod
from random import Random
from typing import TYPE_CHECKING

from ..claims import STREAM as CLAIMS
from ..claims import WitnessStore
from ..config import STREAM as CONFIG
from ..config import Configuration, ConfigurationView, StaticConfiguration
from ..core import (
    Append,
    AppendDone,
    AppendFailed,
    DrainRequested,
    Effect,
    Event,
    Load,
    LogContact,
    Message,
    Node,
    Part,
    Received,
    RecordsRead,
    Send,
    SetTimer,
    Tick,
    TimerFired,
)
from ..limits import Suspects
from ..membership import Member, Membership

if TYPE_CHECKING:
    from ._world import World

TICK = timedelta(milliseconds=200)
APPEND_TIME = timedelta(milliseconds=5)


class DomainsAlwaysIn:
    """Show a configuration in which no domain is out, for runs without the check."""

    def __init__(self, configuration: ConfigurationView) -> None:
        self.configuration = configuration

    def __getattr__(self, name: str):
        return getattr(self.configuration, name)

    @property
    def domains_by_id(self) -> dict:
        """Return the domains as if all were in."""
        domains = self.configuration.domains_by_id
        return {id: replace(domain, out=False) for id, domain in domains.items()}


class Process:
    """Run one node: deliver events, perform effects, poll the log."""

    def __init__(self, world: World, member: Member) -> None:
        self.world = world
        self.member = member
        self.id = member.id
        self.domain = member.domain
        self.random = Random(f"{world.scenario.seed}/{member.incarnation}")
        self.alive = True
        self.stopped_at_: datetime | None = None
        self.paused_until_: datetime | None = None
        self.offsets_by_stream_ = {CONFIG: 0, CLAIMS: 0}
        self.timers_: dict[str, int] = {}
        self.preset_changes_: list[tuple[datetime, int, str]] = []
        self.membership = Membership(
            me=member,
            random=self.random,
            seeds=world.seeds,
            config_offset=lambda: self.configuration.offset,
            load=self.load,
        )
        self.configuration = Configuration(
            id=self.id,
            domain=self.domain,
            membership=self.membership,
            random=self.random,
            neighbours=self.membership.neighbours,
        )
        self.suspects = Suspects(
            node_id=self.id, incarnation=member.incarnation, connected=self.connected
        )
        self.witnesses = WitnessStore(member_id=self.id, incarnation=member.incarnation)
        common = [self.membership, self.configuration, self.witnesses]
        if world.has("suspects"):
            common.append(self.suspects)
        self.node = Node(self.id, [*common, *self.make_parts()])

    @property
    def now(self) -> datetime:
        """Return the time of the world."""
        return self.world.queue.clock.now()

    @property
    def checked_configuration(self) -> ConfigurationView | StaticConfiguration:
        """Return the configuration that admission and routing see."""
        if self.world.has("domain check"):
            return self.configuration
        return DomainsAlwaysIn(self.configuration)

    def make_parts(self) -> list[Part]:
        """Return the parts that only this role has."""
        raise NotImplementedError

    def load(self) -> Load:
        """Return the load for heartbeats."""
        return Load(0, 0)

    def connected(self) -> list[str]:
        """Return the peers that are told of suspects at once."""
        return []

    def receive(self, peer: str, message: Message) -> None:
        """Handle a message; the subclasses handle the data frames."""
        self.dispatch(Received(peer, message))

    def ticked(self) -> None:
        """Do what a shell does several times a second."""

    def start(self) -> None:
        """Begin to tick and to poll the log."""
        jitter = timedelta(milliseconds=self.random.randrange(200))
        self.later(jitter, self._tick)

    def later(self, delay: timedelta, action) -> None:
        """Run an action of this process after a delay, or after its pause."""

        def due() -> None:
            if not self.alive:
                return
            until = self.paused_until_
            if until is not None and until > self.now:
                self.world.queue.after(until - self.now, due)
            else:
                action()

        self.world.queue.after(delay, due)

    def dispatch(self, event: Event) -> None:
        """Reduce an event and perform its effects."""
        for effect in self.node.reduce(event, self.now):
            self.perform(effect)
        preset = self.configuration.preset.id
        last = self.preset_changes_[-1] if self.preset_changes_ else None
        offset = self.configuration.offset
        if last is None or last[2] != preset or last[1] < 0 <= offset:
            change = (self.now, offset, preset)
            self.preset_changes_.append(change)

    def drain(self) -> None:
        """Announce that this process leaves."""
        if self.world.has("drain"):
            self.dispatch(DrainRequested())

    @singledispatchmethod
    def perform(self, effect: Effect) -> None:
        """Perform an effect; telemetry is dropped."""

    @perform.register
    def _(self, effect: Send) -> None:
        self.world.send(self, effect.peer, effect.message)

    @perform.register
    def _(self, effect: SetTimer) -> None:
        number = self.timers_.get(effect.name, 0) + 1
        self.timers_[effect.name] = number

        def fire() -> None:
            if self.timers_[effect.name] == number:
                self.dispatch(TimerFired(effect.name))

        self.later(effect.delay, fire)

    @perform.register
    def _(self, effect: Append) -> None:
        log = self.world.log
        first = None
        if log.up and self.world.links.platform(self.domain):
            first = log.append(effect.stream, effect.records)
        if first is None or log.loses_answers:
            event: Event = AppendFailed(effect.stream, effect.token)
        else:
            event = AppendDone(effect.stream, effect.token, first)
        self.later(APPEND_TIME, lambda: self.dispatch(event))

    def _tick(self) -> None:
        self.later(TICK, self._tick)
        self.dispatch(Tick())
        self._poll(CLAIMS)
        if self.configuration.is_reader:
            self._poll(CONFIG)
        self.ticked()

    def _poll(self, stream: str) -> None:
        if not self.world.log.up or not self.world.links.platform(self.domain):
            self.dispatch(LogContact(stream, False))
            return
        offset = self.offsets_by_stream_[stream]
        records = self.world.log.read(stream, offset)
        self.offsets_by_stream_[stream] = offset + len(records)
        self.dispatch(RecordsRead(stream, records, offset + len(records)))
