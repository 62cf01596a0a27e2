"""In-memory link that carries messages between parts under a manual clock."""

from collections import Counter
from datetime import timedelta
from random import Random

from shallotpath.core import (
    Append,
    LogRecord,
    ManualClock,
    Node,
    Received,
    RecordsRead,
    Send,
    Tick,
    encode,
)
from shallotpath.membership import Member, Membership, MemberState, Role

TICK = timedelta(milliseconds=200)


class Link:
    """Deliver messages on the next step, with loss, cuts and paused nodes."""

    def __init__(self, seed=1, loss=0.0, measure_bytes=False):
        self.clock = ManualClock()
        self.random = Random(seed)
        self.loss = loss
        self.measure_bytes = measure_bytes
        self.nodes_by_address = {}
        self.effects_by_kind = Counter()
        self.sent_bytes = Counter()
        self.sent_messages = Counter()
        self.paused = set()
        self.cut = lambda a, b: False
        self.queue = []
        self.log = []
        self.log_up = True
        self.readers = {}

    def add(self, address, parts):
        self.nodes_by_address[address] = Node(address, parts)

    def remove(self, address):
        del self.nodes_by_address[address]

    def dispatch(self, address, event):
        node = self.nodes_by_address[address]
        for effect in node.reduce(event, self.clock.now()):
            self.perform(address, effect)

    def perform(self, address, effect):
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

    def append(self, data):
        self.log.append(LogRecord(len(self.log), data))
        return len(self.log) - 1

    def step(self, ticks=1, tick=TICK):
        for _ in range(ticks):
            self.clock.advance(tick)
            for address in list(self.nodes_by_address):
                if address not in self.paused:
                    self.dispatch(address, Tick())
            self.read_log()
            self.deliver()

    def read_log(self, limit=1000):
        for address, (part, offset) in list(self.readers.items()):
            if not self.log_up or address in self.paused or not part.is_reader:
                continue
            records = self.log[offset : offset + limit]
            if records:
                self.readers[address] = (part, records[-1].offset + 1)
                event = RecordsRead("config", records, records[-1].offset + 1)
                self.dispatch(address, event)

    def deliver(self, rounds=3):
        # Several hops fit into one tick on a network with 2 ms latency.
        for _ in range(rounds):
            queue, self.queue = self.queue, []
            for source, target, message in queue:
                if target not in self.nodes_by_address or target in self.paused:
                    continue
                if self.cut(source, target) or self.random.random() < self.loss:
                    continue
                self.dispatch(target, Received(source, message))

    def seconds(self, count):
        self.step(round(count / TICK.total_seconds()))


def make_member(number, domain="d0", incarnation="a", role=Role.AGENT, prefix="vm"):
    id = f"{prefix}-{domain}-{number}"
    return Member(
        id, role, domain, "r", f"tcp://{id}", f"{id}/{incarnation}", service="s"
    )


def make_cluster(link, count, domains=("d0",)):
    """Start `count` members; every one knows the first of each domain."""
    members = [make_member(n, domains[n % len(domains)]) for n in range(count)]
    seeds = [member.address for member in members[: len(domains)]]
    made = {}
    for member in members:
        made[member.address] = Membership(
            me=member, random=Random(member.id), seeds=seeds
        )
        link.add(member.address, [made[member.address]])
    return made


def alive_ids(membership):
    return {
        id
        for id, member in membership.members_by_id.items()
        if member.state is MemberState.ALIVE
    }
