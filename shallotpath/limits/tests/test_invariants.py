"""Property tests of the gate, the fair queue and the exchange of suspects."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from shallotpath.core import (
    EPOCH,
    EngineLost,
    EngineObserved,
    Gossip,
    Received,
    Send,
    rendezvous_choice,
)
from shallotpath.limits import (
    Admit,
    AimdRule,
    Call,
    FairQueue,
    FixedRule,
    Gate,
    GateSettings,
    GradientRule,
    Queue,
    Refuse,
    Suspects,
    Suspicion,
    affinity_slots,
    designated_agent,
)
from shallotpath.limits.tests.test_gate import TOKEN, make_configuration
from shallotpath.membership import StaticMembership

MEMORY = 400 * TOKEN
calls = st.tuples(
    st.just("request"),
    st.sampled_from(["big", "small"]),
    st.integers(1, 120),
    st.floats(0.05, 30),
    st.integers(0, 2),
)
releases = st.tuples(st.just("release"), st.integers(0, 30), st.booleans())
tokens = st.tuples(st.just("tokens"), st.integers(0, 30))
reports = st.tuples(st.just("report"), st.sampled_from("ab"), st.booleans())
steps = st.one_of(calls, calls, releases, tokens, reports, st.just(("lost",)))


class GateDriver:
    """Drive a gate and keep an independent record of its decisions."""

    def __init__(self, rule):
        self.gate = Gate(
            node_id="a1",
            domain="bne-a",
            service="fold-model",
            configuration=make_configuration(),
            membership=StaticMembership(),
            suspects=Suspects(node_id="a1", incarnation="i1"),
            settings=GateSettings(max_limit=6, warm_up_runs=4, queue_capacity=8),
            rule=rule,
        )
        self.now = EPOCH
        self.running, self.queued, self.finished, self.number = {}, {}, set(), 0
        self.report("a", False)

    def request(self, team, tokens, seconds, priority):
        self.number += 1
        deadline = self.now + timedelta(seconds=seconds)
        call = Call(
            f"r{self.number}",
            "fold-model",
            team,
            deadline,
            priority,
            prompt_bytes=100,
            max_tokens=tokens,
            fingerprint=f"f{self.number % 7}",
        )
        decision = self.gate.request(call, self.now)
        if isinstance(decision, Admit):
            self.start([call])
        elif isinstance(decision, Queue):
            self.queued[call.request_id] = call
        else:
            assert isinstance(decision, Refuse)
            self.finished.add(call.request_id)

    def start(self, started):
        for call in started:
            assert call.request_id not in self.finished
            self.queued.pop(call.request_id, None)
            self.running[call.request_id] = call
            assert len(self.running) <= max(1, self.gate.load().limit)
            size = sum(100 + c.max_tokens * TOKEN for c in self.running.values())
            assert size <= MEMORY

    def release(self, index, completed):
        if self.running:
            name = list(self.running)[index % len(self.running)]
            del self.running[name]
            self.finished.add(name)
            self.start(self.gate.release(name, completed, self.now))

    def tokens(self, index):
        if self.running:
            name = list(self.running)[index % len(self.running)]
            held = self.gate.running_by_id_[name].held
            call = self.running[name]
            limit = call.prompt_bytes + call.max_tokens * TOKEN
            self.start(self.gate.held(name, min(limit, held + TOKEN), self.now))

    def report(self, incarnation, cold):
        event = EngineObserved(incarnation, "d1", cold, 0, 0, MEMORY)
        self.gate.reduce(event, self.now)

    def lost(self):
        lost = [call.fingerprint for call in self.running.values()]
        for part in (self.gate.suspects, self.gate):
            part.reduce(EngineLost(lost), self.now)
        self.finished.update(self.running)
        self.running.clear()
        self.report("c", True)

    def check(self):
        for expired in self.gate.expire(self.now):
            assert self.queued.pop(expired.call.request_id)
            self.finished.add(expired.call.request_id)
        run_time = timedelta(seconds=self.gate.limit.pace_ or 0.0)
        for call in self.gate.queue:
            assert self.now + run_time * call.max_tokens <= call.deadline
        assert {call.request_id for call in self.gate.queue} == set(self.queued)
        assert set(self.gate.running_by_id_) == set(self.running)
        states = [
            self.gate.suspects.state(call.fingerprint, self.now)
            for call in self.running.values()
        ]
        assert len(states) <= 1 or set(states) == {Suspicion.CLEAR}


@given(
    st.lists(st.tuples(steps, st.floats(0, 0.2)), max_size=80),
    st.sampled_from([AimdRule, GradientRule, FixedRule]),
)
def test_gate_keeps_its_limits_and_its_record(actions, rule):
    # Guards against exceeding the concurrency or memory limit, a call that runs after
    # it was refused, a queued call that cannot meet its deadline, and a suspect that
    # runs beside others.
    driver = GateDriver(rule(6))
    for (name, *arguments), delay in actions:
        driver.now += timedelta(seconds=delay)
        getattr(driver, name)(*arguments)
        driver.check()


@given(
    st.lists(st.integers(1, 5), min_size=2, max_size=5),
    st.integers(1, 60),
    st.lists(st.integers(1, 9), min_size=300, max_size=300),
)
def test_teams_that_wait_are_served_by_weight(weights, pop_count, costs):
    # Guards against a large team that starves a small one. The bound is that of
    # start-time fair queueing: the largest cost of a call over the team's weight.
    queue = FairQueue(10_000, lambda team: weights[int(team)])
    for number, cost in enumerate(costs):
        team = str(number % len(weights))
        queue.push(Call(f"r{number}", "s", team, EPOCH, max_tokens=cost))
    served = [0.0] * len(weights)
    for _ in range(pop_count):
        call = queue.pop()
        queue.charge(call, call.max_tokens)
        served[int(call.team)] += call.max_tokens / weights[int(call.team)]
        bound = 2 * max(9 / weight for weight in weights)
        assert max(served) - min(served) <= bound


@given(
    st.lists(
        st.tuples(st.sampled_from(["crash", "clear", "gossip"]), st.integers(0, 8)),
        max_size=40,
    )
)
def test_suspects_agree_whatever_the_order_of_gossip(actions):
    # Guards against merges that count a crash twice or lose that it was cleared.
    nodes = [Suspects(node_id=f"a{n}", incarnation="i") for n in range(3)]
    for action, number in actions:
        node = nodes[number % 3]
        if action == "crash":
            node.reduce(EngineLost(["f"]), EPOCH)
        elif action == "clear":
            node.completed("f", EPOCH)
        else:
            deliver(node, nodes[number // 3])
    for _ in range(2):
        for source in nodes:
            for target in nodes:
                deliver(source, target)
    assert len({repr(node.updates(EPOCH)) for node in nodes}) == 1


def deliver(source, target):
    message = Gossip(source.node_id, quarantine=source.updates(EPOCH))
    target.reduce(Received(source.node_id, message), EPOCH)


class Fleet:
    """Agents of one domain with delayed gossip between them."""

    def __init__(self):
        self.domains_by_agent = {f"a{n}": "bne-a" for n in range(4)}
        self.crashes = 0
        self.undelivered = []
        self.suspects_by_agent = {
            name: Suspects(
                node_id=name, incarnation="i", connected=lambda: self.domains_by_agent
            )
            for name in self.domains_by_agent
        }

    def reduce(self, name, event):
        for effect in self.suspects_by_agent[name].reduce(event, EPOCH):
            if isinstance(effect, Send):
                self.undelivered.append((effect.peer, Received(name, effect.message)))

    def may_run(self, name, call):
        suspects = self.suspects_by_agent[name]
        state = suspects.state(call.fingerprint, EPOCH)
        if state is Suspicion.SUSPECT:
            sites = suspects.crash_sites(call.fingerprint)
            return designated_agent(call, self.domains_by_agent, sites) == name
        return state is Suspicion.CLEAR

    def crash(self, name, call):
        self.crashes += 1
        self.reduce(name, EngineLost([call.fingerprint]))


@given(
    st.sampled_from(["", "p1", "p2", "p3"]),
    st.lists(
        st.tuples(st.sampled_from(["run", "designated", "deliver"]), st.integers(0, 7)),
        max_size=60,
    ),
)
def test_a_poison_request_costs_at_most_two_crashes(prefix, actions):
    # Guards against a poison request that crashes more engines while gossip is delayed.
    # A resend goes to one of the preferred pair, or to the agent an entry designates.
    fleet = Fleet()
    call = Call("r", "s", "t", EPOCH, fingerprint="poison", prefix=prefix)
    by_prefix, by_call = affinity_slots(call)
    first = rendezvous_choice(by_prefix, fleet.domains_by_agent)
    rest = [name for name in fleet.domains_by_agent if name != first]
    pair = [first, rendezvous_choice(by_call, rest)]
    for action, number in actions:
        if action == "deliver" and fleet.undelivered:
            fleet.reduce(*fleet.undelivered.pop(number % len(fleet.undelivered)))
            continue
        target = pair[number % 2]
        view = fleet.suspects_by_agent[f"a{number % 4}"]
        # An entry that knows of the suspicion uses the designated agent, as the router
        # does.
        suspicion = view.state("poison", EPOCH)
        if action == "designated" and suspicion is Suspicion.QUARANTINED:
            continue
        if action == "designated" and suspicion is Suspicion.SUSPECT:
            sites = view.crash_sites("poison")
            target = designated_agent(call, fleet.domains_by_agent, sites)
        if fleet.may_run(target, call):
            fleet.crash(target, call)
    assert fleet.crashes <= 2
