"""Random interleavings of requests, log, links, restarts and home set changes."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from shallotpath.claims import ClaimTable, HomeSet
from shallotpath.claims.tests.world import Request, make_world

AGENTS = st.sampled_from(["a1", "a2", "b1", "b2"])
WITNESSES = st.sampled_from(["aw0", "aw1", "aw2", "bw0", "bw1", "bw2"])
INDEX = st.integers(0, 5)
OUTCOMES = st.sampled_from(["ok", "ok", "ok", "lost", "late", "fail"])
MAX_RESTARTS = 6
# Enough keys that a join moves some and the domain of the joiner holds some.
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

    def _send(self, key, member, fresh):
        request = Request(key, f"q{len(self.world.requests)}", fresh)
        self.world.requests[request.request_id] = request
        self.world.attempts[key].append(request)
        self.delayed.append((request, member))

    def _stop(self, member):
        """Note that undecided requests at a stopped agent get no decision."""
        self.lost |= {
            request
            for request, at in self.accepted.items()
            if at == member and request not in self.world.decisions
        }

    @rule(fresh=st.booleans(), at_once=st.booleans())
    def new_request(self, fresh, at_once):
        key = f"k{len(self.keys)}"
        home = self.world.home(key)
        if home is not None:
            self.keys.append(key)
            self._send(key, home, fresh)
            if at_once:
                self.arrive(len(self.delayed) - 1)

    @precondition(lambda self: self.keys)
    @rule(index=INDEX, anywhere=st.none() | AGENTS, at_once=st.booleans())
    def resend(self, index, anywhere, at_once):
        key = self.keys[-1 - index % len(self.keys)]
        self._send(key, anywhere or self.world.home(key), False)
        if at_once:
            self.arrive(len(self.delayed) - 1)

    @rule(fresh=st.booleans())
    def new_requests_at_all_homes(self, fresh):
        for _ in range(BURST_KEYS):
            self.new_request(fresh, True)

    @precondition(lambda self: self.keys)
    @rule()
    def resend_through_all_agents(self):
        for key in self.keys[-BURST_KEYS:]:
            for member in list(self.world.agents):
                self._send(key, member, False)
                self.arrive(len(self.delayed) - 1)

    @rule(domains=st.sampled_from(["a", "b", "ab"]), rounds=st.integers(8, 12))
    def long_cut(self, domains, rounds):
        self.world.cut = set(domains)
        self.world.settle(rounds)

    @rule(rounds=st.integers(8, 12))
    def long_outage(self, rounds):
        self.world.log_up = False
        self.world.settle(rounds)

    @rule(rounds=st.integers(1, 12))
    def faults_end(self, rounds):
        self.world.heal()
        self.world.settle(rounds)

    @precondition(lambda self: self.delayed)
    @rule(index=INDEX)
    def arrive(self, index):
        request, member = self.delayed.pop(index % len(self.delayed))
        agent = self.world.agents.get(member)
        if agent is None or agent.paused:
            self.lost.add(request.request_id)
            return
        self.accepted[request.request_id] = member
        self.world.arrive(request, member)

    @rule(member=AGENTS, outcome=OUTCOMES)
    def append(self, member, outcome):
        self.world.run_append(member, outcome)

    @precondition(lambda self: self.world.late)
    @rule(index=INDEX)
    def land_late(self, index):
        self.world.land_late(index)

    @rule(member=AGENTS, limit=st.sampled_from([1, 2, 1000, 1000]))
    def read(self, member, limit):
        self.world.read(member, limit)

    @precondition(lambda self: self.world.flights)
    @rule(index=INDEX, count=st.integers(1, 12))
    def deliver(self, index, count):
        for _ in range(count):
            self.world.deliver(index)

    @precondition(lambda self: self.world.flights)
    @rule(index=INDEX)
    def drop(self, index):
        self.world.flights.pop(index % len(self.world.flights))

    @rule(seconds=st.sampled_from([0.2, 0.6, 2.5]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(rounds=st.integers(1, 8))
    def settle(self, rounds):
        self.world.settle(rounds)

    @rule()
    def toggle_log(self):
        self.world.log_up = not self.world.log_up

    @rule(domain=st.sampled_from("ab"))
    def toggle_cut(self, domain):
        self.world.cut ^= {domain}

    @rule(domain=st.sampled_from("ab"))
    def toggle_log_of_a_domain(self, domain):
        self.world.log_cut ^= {domain}

    @rule(member=AGENTS)
    def toggle_pause(self, member):
        if member in self.world.agents:
            agent = self.world.agents[member]
            agent.paused = not agent.paused

    @precondition(lambda self: self.restarts < MAX_RESTARTS)
    @rule(member=AGENTS | WITNESSES, lands=st.booleans())
    def restart(self, member, lands):
        if member in self.world.agents or member in self.world.witnesses:
            self.restarts += 1
            self._stop(member)
            self.world.restart(member, lands)

    @precondition(lambda self: self.restarts < MAX_RESTARTS)
    @rule(lands=st.booleans())
    def restart_all_agents(self, lands):
        for member in list(self.world.agents):
            self.restart(member, lands)

    @rule(member=AGENTS, lands=st.booleans())
    def remove_vm(self, member, lands):
        if len(self.world.agents) > 1 and member in self.world.agents:
            self._stop(member)
            self.world.kill(member, lands)

    @rule(member=AGENTS)
    def add_vm(self, member):
        if member not in self.world.agents:
            self.world.add_agent(member, member[0])

    @rule(member=AGENTS)
    def operator_retires(self, member):
        if member not in self.world.agents:
            self.world.retire(member)

    @rule(member=AGENTS)
    def list_arrives(self, member):
        self.world.send_list(member)

    @rule(member=AGENTS)
    def leave(self, member):
        agent = self.world.agents.get(member)
        if agent is not None and not agent.paused and len(self.world.agents) > 1:
            self.world.perform(agent, agent.table.leave(self.world.now()))

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
