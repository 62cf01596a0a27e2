"""A simulation of home agents, witnesses, a log and links.

Everything nondeterministic is a method, so that tests choose the interleaving. After
each decision the simulation checks that no key runs twice and that a refusal with
`run: no` (the call has not run) is true.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from datetime import timedelta

from shallotpath.claims import (
    ClaimDecided,
    ClaimSettings,
    ClaimTable,
    HomeSet,
    Identity,
    KnownClaim,
    RefuseClaim,
    Retire,
    RunClaim,
    WitnessStore,
    encode_record,
)
from shallotpath.core import (
    Append,
    AppendDone,
    AppendFailed,
    Emit,
    ListedVm,
    ListUpdated,
    LogContact,
    LogRecord,
    ManualClock,
    Received,
    RecordsRead,
    RunState,
    Send,
    Tick,
    rendezvous_choice,
)
from shallotpath.membership import Member, MemberState, Role, StaticMembership

SERVICE = "kit-desk"
SETTINGS = ClaimSettings(
    handover_timeout=timedelta(seconds=2),
    contact_interval=timedelta(seconds=2),
    decide_within=timedelta(seconds=4),
    retry_interval=timedelta(milliseconds=500),
    appends_per_second=100.0,
)


@dataclass
class SentMessage:
    sender: str
    receiver: str
    message: object


@dataclass
class Request:
    key: str
    request_id: str
    fresh: bool
    sent_after_first: bool = False


@dataclass
class Agent:
    member: str
    domain: str
    incarnation: str
    table: ClaimTable
    store: WitnessStore
    read: int = 0
    paused: bool = False
    appends: list = field(default_factory=list)


class World:
    def __init__(
        self, table=ClaimTable, homes=HomeSet, store=WitnessStore, settings=SETTINGS
    ):
        self.make_store = store
        self.make_table = table
        self.make_homes = homes
        self.settings = settings
        self.clock = ManualClock()
        self.membership = StaticMembership()
        self.log = []
        self.log_up = True
        self.late_appends = []
        # A cut domain reaches neither the log nor the other domains; a domain in
        # `log_cut_domains` only lacks the log.
        self.cut_domains = set()
        self.log_cut_domains = set()
        self.agents = {}
        self.witnesses = {}
        self.messages_in_flight = []
        self.serial = Counter()
        self.entry_homes = homes()
        self.runs = Counter()
        self.runners_by_key = defaultdict(list)
        self.attempts = defaultdict(list)
        self.requests = {}
        self.decisions = {}
        self.violations = []
        self.vms = {}
        self.list_version = 0

    def now(self):
        return self.clock.now()

    def add_agent(self, member, domain):
        self.serial[member] += 1
        incarnation = f"{member}.{self.serial[member]}"
        table = self.make_table(
            Identity(SERVICE, member, incarnation, domain, vm_incarnation=incarnation),
            self.membership,
            settings=self.settings,
            homes=self.make_homes(),
        )
        store = self.make_store(member_id=member, incarnation=incarnation)
        self.agents[member] = Agent(member, domain, incarnation, table, store)
        self._register(member, domain, incarnation, Role.AGENT)
        self.vms[member] = ListedVm(member, incarnation, member, domain, "live")
        self.list_version += 1
        return self.agents[member]

    def add_witness(self, member, domain):
        self.serial[member] += 1
        incarnation = f"{member}.{self.serial[member]}"
        self.witnesses[member] = self.make_store(
            member_id=member, incarnation=incarnation
        )
        self._register(member, domain, incarnation, Role.ENTRY)

    def _register(self, member, domain, incarnation, role):
        self.membership.members_by_id[member] = Member(
            member, role, domain, "r", member, incarnation
        )

    def domain_of(self, member):
        return self.membership.members_by_id[member].domain

    def kill(self, member, applied_late=True):
        """Stop a process; its open appends take effect late or never."""
        agent = self.agents.pop(member, None)
        if agent is not None and applied_late:
            self.late_appends.extend(a.records for a in agent.appends)
        self.witnesses.pop(member, None)
        known = self.membership.members_by_id[member]
        self.membership.members_by_id[member] = Member(
            known.id,
            known.role,
            known.domain,
            known.region,
            known.address,
            known.incarnation,
            MemberState.DEAD,
        )
        if self.vms.pop(member, None) is not None:
            self.list_version += 1

    def restart(self, member, applied_late=True):
        domain = self.domain_of(member)
        was_agent = member in self.agents
        self.kill(member, applied_late)
        if was_agent:
            self.add_agent(member, domain)
        else:
            self.add_witness(member, domain)

    def send_list(self, member):
        self.dispatch(member, ListUpdated(self.list_version, list(self.vms.values())))

    def retire(self, member):
        """Retire a stopped agent as an operator does."""
        home = self.entry_homes.service(SERVICE).active_by_id.get(member)
        assert member not in self.agents, "only stopped agents are retired"
        if home is not None:
            record = Retire(SERVICE, member, home.incarnation, "operator")
            self.store([encode_record(record)])

    def store(self, records):
        for data in records:
            self.log.append(data)
        start = self.entry_homes.offset + 1
        self.entry_homes.reduce(
            RecordsRead(
                "claims",
                [LogRecord(n, d) for n, d in enumerate(self.log)][start:],
                len(self.log),
            ),
            self.now(),
        )

    def reaches_log(self, member):
        domain = self.domain_of(member)
        return self.log_up and domain not in self.cut_domains | self.log_cut_domains

    def dispatch(self, member, event):
        agent = self.agents.get(member)
        if agent is None or agent.paused:
            return
        self.perform(agent, agent.table.reduce(event, self.now()))

    def perform(self, agent, effects):
        for effect in effects:
            if isinstance(effect, Emit) and isinstance(effect.event, ClaimDecided):
                self.decide(agent, effect.event)
            elif isinstance(effect, Send):
                self.messages_in_flight.append(
                    SentMessage(agent.member, effect.peer, effect.message)
                )
            elif isinstance(effect, Append):
                agent.appends.append(effect)

    def decide(self, agent, event):
        if event.request_id in self.decisions:
            self.violations.append(f"{event.request_id} decided twice")
        self.decisions[event.request_id] = event.decision
        if isinstance(event.decision, RunClaim):
            self.runs[event.key] += 1
            self.runners_by_key[event.key].append((agent.incarnation, event.request_id))
            if self.runs[event.key] > 1:
                self.violations.append(
                    f"{event.key} ran: {self.runners_by_key[event.key]}"
                )
        elif isinstance(event.decision, RefuseClaim):
            self.check_refusal(event)

    def check_refusal(self, event):
        # An entry ignores answers to a first attempt that it has resent since.
        request = self.requests[event.request_id]
        last = self.attempts[event.key][-1] is request
        says_not_run = event.decision.run is RunState.NO and (last or not request.fresh)
        if says_not_run and self.runs[event.key]:
            self.violations.append(f"{event.key} refused with run: no after it ran")

    def check(self):
        assert not self.violations, self.violations

    def run_append(self, member, outcome="ok"):
        """End the oldest append of an agent: ok, lost, late or fail."""
        agent = self.agents.get(member)
        if agent is None or not agent.appends:
            return
        append = agent.appends.pop(0)
        if not self.reaches_log(member) and outcome in ("ok", "lost"):
            outcome = "fail"
        if outcome in ("ok", "lost"):
            self.store(append.records)
        if outcome == "late":
            self.late_appends.append(append.records)
        if outcome == "ok":
            done = AppendDone("claims", append.token, len(self.log) - 1)
            self.dispatch(member, done)
        else:
            self.dispatch(member, AppendFailed("claims", append.token))

    def apply_late(self, index=0):
        if self.late_appends:
            self.store(self.late_appends.pop(index % len(self.late_appends)))

    def read(self, member, limit=1000):
        agent = self.agents.get(member)
        if agent is None or agent.paused:
            return
        if not self.reaches_log(member):
            self.dispatch(member, LogContact("claims", False))
            return
        records = [LogRecord(n, d) for n, d in enumerate(self.log)]
        records = records[agent.read : agent.read + limit]
        agent.read += len(records)
        if records:
            self.dispatch(member, RecordsRead("claims", records, agent.read))
        self.dispatch(member, LogContact("claims", True))

    def linked(self, one, other):
        first, second = self.domain_of(one), self.domain_of(other)
        return first == second or not {first, second} & self.cut_domains

    def deliver(self, index=0):
        if not self.messages_in_flight:
            return
        sent = self.messages_in_flight.pop(index % len(self.messages_in_flight))
        if not self.linked(sent.sender, sent.receiver):
            return
        agent = self.agents.get(sent.receiver)
        received = Received(sent.sender, sent.message)
        store = agent.store if agent else self.witnesses.get(sent.receiver)
        if store is None or (agent and agent.paused):
            return
        for effect in store.reduce(received, self.now()):
            if isinstance(effect, Send):
                self.messages_in_flight.append(
                    SentMessage(sent.receiver, effect.peer, effect.message)
                )
        self.dispatch(sent.receiver, received)

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        for member in list(self.agents):
            self.dispatch(member, Tick())

    def request(self, key, member, fresh=False):
        """Send a request for a key to an agent; return its id."""
        request = Request(key, f"q{len(self.requests)}", fresh)
        self.requests[request.request_id] = request
        self.attempts[key].append(request)
        self.arrive(request, member)
        return request.request_id

    def arrive(self, request, member):
        agent = self.agents.get(member)
        if agent is not None and not agent.paused:
            self.perform(
                agent,
                agent.table.request(
                    request.key, request.request_id, request.fresh, self.now()
                ),
            )

    def settle(self, rounds=12, seconds=0.3):
        """Run all appends, reads and deliveries in order for several rounds."""
        for _ in range(rounds):
            for member in list(self.agents):
                while self.agents[member].appends and not self.agents[member].paused:
                    self.run_append(member)
                self.read(member)
            while self.messages_in_flight:
                self.deliver()
            self.advance(seconds)

    def heal(self):
        self.log_up = True
        self.cut_domains.clear()
        self.log_cut_domains.clear()
        while self.late_appends:
            self.apply_late()
        for agent in self.agents.values():
            agent.paused = False

    def moving_key(self, member, joiner):
        """Return a key that moves from a member to one that joins."""
        homes = self.entry_homes.service(SERVICE).active_by_id
        return next(
            key
            for key in (f"m{n}" for n in range(10_000))
            if self.home(key) == member
            and rendezvous_choice(key, {*homes, joiner}) == joiner
        )

    def home(self, key):
        return self.entry_homes.home_of(SERVICE, key)

    def key_of(self, member, prefix="k"):
        """Return a key whose home agent is a member."""
        return next(
            key
            for key in (f"{prefix}{n}" for n in range(10_000))
            if self.home(key) == member
        )

    def ran(self, request_id):
        return isinstance(self.decisions.get(request_id), RunClaim)

    def known(self, request_id):
        return isinstance(self.decisions.get(request_id), KnownClaim)


def make_world(agents=("a1", "a2", "b1"), **kwargs):
    """Return a world with joined agents and three witnesses in each domain."""
    world = World(**kwargs)
    for domain in "ab":
        for n in range(3):
            world.add_witness(f"{domain}w{n}", domain)
    for member in agents:
        world.add_agent(member, member[0])
        world.settle(8)
    world.settle(12)
    return world
