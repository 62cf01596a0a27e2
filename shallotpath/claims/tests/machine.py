"""Random interleavings of requests, log, links, restarts and home set changes.

Actions are grouped into few rules: Hypothesis picks rules evenly, and most faults show
only with requests between two changes of the home set.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from shallotpath.claims import ClaimTable, HomeSet
from shallotpath.claims.tests.world import Request, make_world

AGENTS = ["a1", "a2", "b1", "b2"]
WITNESSES = ["aw0", "aw1", "aw2", "bw0", "bw1", "bw2"]
PROLOGUES = [
    "none",
    "runs_in_an_outage",
    "join_while_a_lacks_the_log",
    "open_confirmation",
    "open_contact",
    "open_join",
]
STEPS = ["append", "append_lost", "append_late", "append_fails", "read", "read_one"]
STEPS += ["apply_late", "deliver", "deliver", "drop", "tick"]
FAULTS = ["log", "log_of_domain", "log_of_domain", "cut", "pause", "outage", "end"]
CHANGES = ["restart", "restart", "restart_witness", "restart_all", "remove", "add"]
CHANGES += ["add", "operator", "list", "leave"]
MAX_RESTARTS = 6
# Enough keys that a join moves some and each domain holds some.
BURST_KEYS = 6


class Interleavings(RuleBasedStateMachine):
    make_table = ClaimTable
    make_homes = HomeSet

    def __init__(self):
        super().__init__()
        self.world = make_world(table=self.make_table, homes=self.make_homes)
        self.keys = []
        self.delayed = []
        self.lost = set()
        self.accepted = {}
        self.restarts = 0

    @initialize(prologue=st.sampled_from(PROLOGUES), applied_late=st.booleans())
    def start_within_a_fault(self, prologue, applied_late):
        """Start in a state that random steps seldom reach.

        `applied_late` also decides whether domain a loses the log.
        """
        world = self.world
        if prologue == "runs_in_an_outage":
            world.log_up = False
            world.settle(10)
            self.burst(False)
        elif prologue == "join_while_a_lacks_the_log":
            world.log_cut_domains = {"a"}
            world.settle(10)
            world.add_agent("b2", "b")
            world.settle(4)
        elif prologue == "open_confirmation":
            world.add_agent("b2", "b")
            world.read("b2")
            world.run_append("b2")
            world.read("a1")
            world.run_append("a1", "late")
            world.log_cut_domains = {"a"} if applied_late else set()
        elif prologue == "open_contact":
            world.restart("aw0")
            world.restart("aw1")
            world.advance(2.5)
            world.run_append("a1", "late")
            world.run_append("a2", "late")
            world.log_up = False
            world.settle(10)
        elif prologue == "open_join":
            self.remove("a1", applied_late)
            world.add_agent("a1", "a")
            world.read("a1")
            world.run_append("a1", "late")
            self.restart("a1", applied_late)
            world.settle(8)

    @rule(fresh=st.booleans(), at_once=st.booleans(), count=st.integers(1, 4))
    def new_requests(self, fresh, at_once, count):
        for _ in range(count):
            self.new_request(fresh, at_once)

    @rule(fresh=st.booleans())
    def burst(self, fresh):
        for _ in range(BURST_KEYS):
            self.new_request(fresh, True)
        self.world.settle(2)

    @precondition(lambda self: self.keys)
    @rule(
        index=st.integers(0, 5),
        anywhere=st.none() | st.sampled_from(AGENTS),
        at_once=st.booleans(),
    )
    def resend(self, index, anywhere, at_once):
        key = self.keys[-1 - index % len(self.keys)]
        self._send(key, anywhere or self.world.home(key), False, at_once)

    @precondition(lambda self: self.keys)
    @rule(rounds=st.integers(0, 3))
    def resend_through_all_agents(self, rounds):
        for key in self.keys[-2 * BURST_KEYS :]:
            for member in list(self.world.agents):
                self._send(key, member, False, True)
        self.world.settle(rounds)

    @precondition(lambda self: self.delayed)
    @rule(index=st.integers(0, 5))
    def arrive(self, index):
        self._arrive(index % len(self.delayed))

    @rule(
        action=st.sampled_from(STEPS),
        member=st.sampled_from(AGENTS),
        index=st.integers(0, 5),
    )
    def step(self, action, member, index):
        world = self.world
        if action.startswith("append"):
            outcomes = {"append": "ok", "append_fails": "fail"}
            world.run_append(member, outcomes.get(action, action[7:]))
        elif action.startswith("read"):
            world.read(member, 1 if action == "read_one" else 1000)
        elif action == "apply_late":
            world.apply_late(index)
        elif action == "deliver":
            for _ in range(1 + 2 * index):
                world.deliver(index)
        elif action == "drop" and world.messages_in_flight:
            world.messages_in_flight.pop(index % len(world.messages_in_flight))
        elif action == "tick":
            world.advance(0.2 * (1 + index))

    @rule(rounds=st.integers(1, 10))
    def settle(self, rounds):
        self.world.settle(rounds)

    @rule(
        fault=st.sampled_from(FAULTS),
        member=st.sampled_from(AGENTS),
        rounds=st.sampled_from([0, 0, 9]),
    )
    def fault(self, fault, member, rounds):
        world, domain = self.world, member[0]
        if fault == "log":
            world.log_up = not world.log_up
        elif fault == "log_of_domain":
            world.log_cut_domains ^= {domain}
        elif fault == "cut":
            world.cut_domains ^= {domain}
        elif fault == "pause" and member in world.agents:
            world.agents[member].paused = not world.agents[member].paused
        elif fault == "outage":
            world.log_up = False
            rounds = 9
        elif fault == "end":
            world.heal()
        world.settle(rounds)

    @rule(
        change=st.sampled_from(CHANGES),
        member=st.sampled_from(AGENTS),
        witness=st.sampled_from(WITNESSES),
        applied_late=st.booleans(),
    )
    def change(self, change, member, witness, applied_late):
        world = self.world
        if change == "restart":
            self.restart(member, applied_late)
        elif change == "restart_witness" and self.restarts < MAX_RESTARTS:
            self.restarts += 1
            world.restart(witness)
        elif change == "restart_all":
            for name in list(world.agents):
                self.restart(name, applied_late)
        elif change == "remove":
            self.remove(member, applied_late)
        elif change == "add" and member not in world.agents:
            world.add_agent(member, member[0])
        elif change == "operator" and member not in world.agents:
            world.retire(member)
        elif change == "list":
            world.send_list(member)
        elif change == "leave":
            self.leave(member)

    @invariant()
    def no_fault(self):
        self.world.check()

    def teardown(self):
        """Check that everything is decided once the faults end."""
        self.world.heal()
        self.world.settle(40)
        self.world.check()
        undecided = set(self.accepted) - set(self.world.decisions) - self.lost
        assert not undecided, undecided

    def new_request(self, fresh, at_once):
        key = f"k{len(self.keys)}"
        home = self.world.home(key)
        if home is not None:
            self.keys.append(key)
            self._send(key, home, fresh, at_once)

    def restart(self, member, applied_late):
        if member in self.world.agents and self.restarts < MAX_RESTARTS:
            self.restarts += 1
            self._stop(member)
            self.world.restart(member, applied_late)

    def remove(self, member, applied_late):
        if member in self.world.agents and len(self.world.agents) > 1:
            self._stop(member)
            self.world.kill(member, applied_late)

    def leave(self, member):
        agent = self.world.agents.get(member)
        if agent is not None and not agent.paused and len(self.world.agents) > 1:
            self.world.perform(agent, agent.table.leave(self.world.now()))

    def _send(self, key, member, fresh, at_once):
        request = Request(key, f"q{len(self.world.requests)}", fresh)
        self.world.requests[request.request_id] = request
        self.world.attempts[key].append(request)
        self.delayed.append((request, member))
        if at_once:
            self._arrive(len(self.delayed) - 1)

    def _arrive(self, index):
        request, member = self.delayed.pop(index)
        agent = self.world.agents.get(member)
        if agent is None or agent.paused:
            self.lost.add(request.request_id)
            return
        self.accepted[request.request_id] = member
        self.world.arrive(request, member)

    def _stop(self, member):
        """Record that undecided requests at a stopped agent get no decision."""
        self.lost |= {
            request
            for request, at in self.accepted.items()
            if at == member and request not in self.world.decisions
        }
