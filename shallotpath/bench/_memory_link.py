"""In-memory link that carries messages between nodes under a manual clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from datetime import timedelta
from random import Random

from ..core import (
    Append,
    Effect,
    Event,
    LogRecord,
    ManualClock,
    Node,
    Received,
    RecordsRead,
    Send,
    Tick,
    encode,
)
from ..membership import Member, Membership, MemberState, Role

TICK = timedelta(milliseconds=200)


class Link:
    """Deliver messages on the next step, with loss, cuts and paused nodes."""

    def __init__(
        self, seed: int = 1, loss: float = 0.0, measure_bytes: bool = False
    ) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.loss = loss
        self.measure_bytes = measure_bytes
        self.nodes_by_address: dict[str, Node] = {}
        self.effects_by_kind: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.sent_messages: Counter[str] = Counter()
        self.paused: set[str] = set()
        self.cut = lambda a, b: False
        self.queue: list[tuple] = []
        self.log: list[LogRecord] = []
        self.log_up = True
        self.readers: dict[str, tuple] = {}

    def add(self, address: str, parts: Sequence) -> None:
        """Add a process."""
        self.nodes_by_address[address] = Node(address, parts)

    def remove(self, address: str) -> None:
        """Remove a process without notice."""
        del self.nodes_by_address[address]

    def dispatch(self, address: str, event: Event) -> None:
        """Reduce an event at one process."""
        node = self.nodes_by_address[address]
        for effect in node.reduce(event, self.clock.now()):
            self.perform(address, effect)

    def perform(self, address: str, effect: Effect) -> None:
        """Queue what a process sends and count the rest."""
        if isinstance(effect, Send):
            self.sent_messages[address] += 1
            if self.measure_bytes:
                self.sent_bytes[address] += len(encode(effect.message))
            self.queue.append((address, effect.peer, effect.message))
        elif isinstance(effect, Append):
            if self.log_up:
                for data in effect.records:
                    self.append(data)
        else:
            kind = getattr(effect, "name", type(effect).__name__)
            self.effects_by_kind[kind] += 1

    def append(self, data: bytes) -> int:
        """Append a record to the log."""
        self.log.append(LogRecord(len(self.log), data))
        return len(self.log) - 1

    def step(self, ticks: int = 1, tick: timedelta = TICK) -> None:
        """Advance the time."""
        for _ in range(ticks):
            self.clock.advance(tick)
            for address in list(self.nodes_by_address):
                if address not in self.paused:
                    self.dispatch(address, Tick())
            self.read_log()
            self.deliver()

    def read_log(self, limit: int = 1000) -> None:
        """Deliver to the readers the records that they have not read."""
        for address, (part, offset) in list(self.readers.items()):
            if not self.log_up or address in self.paused or not part.is_reader:
                continue
            records = self.log[offset : offset + limit]
            if records:
                self.readers[address] = (part, records[-1].offset + 1)
                event = RecordsRead("config", records, records[-1].offset + 1)
                self.dispatch(address, event)

    def deliver(self, rounds: int = 3) -> None:
        """Deliver the queued messages, for a few hops."""
        # Several hops fit into one tick on a network with 2 ms latency.
        for _ in range(rounds):
            queue, self.queue = self.queue, []
            for source, target, message in queue:
                if target not in self.nodes_by_address or target in self.paused:
                    continue
                if self.cut(source, target) or self.random.random() < self.loss:
                    continue
                self.dispatch(target, Received(source, message))

    def seconds(self, count: float) -> None:
        """Advance the time by a number of seconds."""
        self.step(round(count / TICK.total_seconds()))


def make_member(
    number: int, domain: str = "d0", incarnation: str = "a", prefix: str = "vm"
) -> Member:
    """Return a member with a unique id."""
    id = f"{prefix}-{domain}-{number}"
    return Member(
        id, Role.AGENT, domain, "r", f"tcp://{id}", f"{id}/{incarnation}", service="s"
    )


def make_cluster(
    link: Link, count: int, domains: Sequence[str] = ("d0",), *, joined: bool = False
) -> dict[str, Membership]:
    """Start members that know one of each domain or, if joined, all others."""
    members = [make_member(n, domains[n % len(domains)]) for n in range(count)]
    seeds = [member.address for member in members[: len(domains)]]
    made = {}
    for member in members:
        membership = Membership(me=member, random=Random(member.id), seeds=seeds)
        made[member.address] = membership
        link.add(member.address, [membership])
    for membership in made.values() if joined else ():
        membership.joined_ = True
        for other in made.values():
            membership.roster_.put(other.me)
    return made


def alive_ids(membership: Membership) -> set[str]:
    """Return the members that take work."""
    return {
        id
        for id, member in membership.members_by_id.items()
        if member.state is MemberState.ALIVE
    }
