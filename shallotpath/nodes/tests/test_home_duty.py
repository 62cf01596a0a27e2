from datetime import timedelta

from shallotpath.claims import STREAM, ClaimTable, Identity
from shallotpath.config import DomainState, StaticConfiguration
from shallotpath.core import (
    Append,
    AppendDone,
    DrainRequested,
    LogRecord,
    ManualClock,
    Node,
    RecordsRead,
    Tick,
)
from shallotpath.membership import StaticMembership
from shallotpath.nodes import HomeSetController


class World:
    """Hold one agent and a log that answers at once."""

    def __init__(self, out=False):
        self.clock = ManualClock()
        self.configuration = StaticConfiguration()
        self.set_out(out)
        identity = Identity("kit-desk", "a", "a1", "d")
        self.claims = ClaimTable(identity, StaticMembership())
        duty = HomeSetController(
            domain="d", configuration=self.configuration, claims=self.claims
        )
        self.node = Node("a", [self.claims, duty])
        self.records = []
        self.read([])

    def read(self, records):
        self.dispatch(RecordsRead(STREAM, records, len(self.records)))

    def dispatch(self, event):
        for effect in self.node.reduce(event, self.clock.now()):
            if isinstance(effect, Append):
                start = len(self.records)
                new = [
                    LogRecord(start + index, data)
                    for index, data in enumerate(effect.records)
                ]
                self.records += new
                self.read(new)
                self.dispatch(AppendDone(STREAM, effect.token, start))

    def run(self, seconds):
        for _ in range(seconds * 5):
            self.clock.advance(timedelta(milliseconds=200))
            self.dispatch(Tick())

    def set_out(self, out):
        self.configuration.domains_by_id["d"] = DomainState("d", "r", out)


def test_keys_move_away_while_the_domain_is_out_and_back_on_its_return():
    # Guards against orders that are refused as long as their home's domain is out.
    world = World()
    world.run(12)
    assert world.claims.joined
    world.set_out(True)
    world.run(2)
    assert world.claims.left
    assert world.claims.homes.home_of("kit-desk", "k") is None
    world.set_out(False)
    world.run(12)
    assert world.claims.joined
    assert world.claims.homes.home_of("kit-desk", "k") == "a"


def test_a_draining_agent_leaves_and_stays_away():
    world = World()
    world.run(12)
    world.dispatch(DrainRequested())
    world.run(12)
    assert world.claims.left
    assert not world.claims.joined


def test_an_agent_that_starts_while_its_domain_is_out_joins_on_the_return():
    # Guards against an agent that waits for a leave which it never made.
    world = World(out=True)
    world.run(5)
    assert not world.claims.joined
    world.set_out(False)
    world.run(12)
    assert world.claims.joined
