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


class AgentWithLog:
    """Hold one agent and a log that answers at once."""

    def __init__(self, out=False):
        self.clock = ManualClock()
        self.configuration = StaticConfiguration()
        self.set_out(out)
        identity = Identity("kit-desk", "a", "a1", "d")
        self.claims = ClaimTable(identity, StaticMembership())
        controller = HomeSetController(
            domain="d", configuration=self.configuration, claims=self.claims
        )
        self.node = Node("a", [self.claims, controller])
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
    # Guards against calls that are refused as long as their key's home is in a domain
    # that is out.
    agent = AgentWithLog()
    agent.run(12)
    assert agent.claims.joined
    agent.set_out(True)
    agent.run(2)
    assert agent.claims.left
    assert agent.claims.homes.home_of("kit-desk", "k") is None
    agent.set_out(False)
    agent.run(12)
    assert agent.claims.joined
    assert agent.claims.homes.home_of("kit-desk", "k") == "a"


def test_a_draining_agent_leaves_and_stays_away():
    # Guards against a draining agent that rejoins because its domain is in service.
    agent = AgentWithLog()
    agent.run(12)
    agent.dispatch(DrainRequested())
    agent.run(12)
    assert agent.claims.left
    assert not agent.claims.joined


def test_an_agent_that_starts_while_its_domain_is_out_joins_on_the_return():
    # Guards against an agent that waits for a leave which it never made.
    agent = AgentWithLog(out=True)
    agent.run(5)
    assert not agent.claims.joined
    agent.set_out(False)
    agent.run(12)
    assert agent.claims.joined
