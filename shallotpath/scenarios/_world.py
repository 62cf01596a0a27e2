"""A small deterministic world that runs a scenario on the real parts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..config import STREAM as CONFIG
from ..config import (
    BringDomainIn,
    DefinePreset,
    Header,
    ModelVersion,
    Preset,
    PutService,
    PutTeam,
    PutVersion,
    Record,
    Service,
    ServiceKind,
    Team,
    encode_record,
)
from ..core import EPOCH, ListedVm, ListUpdated, Message, RunState, Submit
from ..membership import Member, Role
from ._agent import Agent
from ._entry import Entry
from ._fakes import DIGEST, EventQueue, FakeLinks, FakeLog, FakeUpstream
from ._model import Scenario
from ._process import Process
from ._steps import perform

MECHANISMS = frozenset(
    {
        "claims",
        "conflict check",
        "domain check",
        "drain",
        "gate",
        "home duty",
        "run states",
        "suspects",
        "weights check",
    }
)
# Membership, configuration and home sets have settled after this time; it is
# two contact intervals of the home agents.
WARM_UP = timedelta(seconds=15)
LIST_INTERVAL = timedelta(seconds=1)


@dataclass(slots=True, frozen=True)
class Start:
    """Record one start of a call on an upstream."""

    at: datetime
    upstream: str
    domain: str
    request_id: str
    key: str
    digest: str


@dataclass(slots=True, frozen=True)
class Outcome:
    """Record what a caller was told."""

    at: datetime
    request_id: str
    key: str
    code: str
    run: RunState


class World:
    """Compose the processes of a scenario and run its steps."""

    def __init__(self, scenario: Scenario, without: Collection[str] = ()) -> None:
        unknown = set(without) - MECHANISMS
        if unknown:
            raise ValueError(
                f"unknown mechanism {sorted(unknown)}; use {sorted(MECHANISMS)}"
            )
        self.scenario = scenario
        self.without = frozenset(without)
        layout = scenario.layout
        self.queue = EventQueue()
        self.log = FakeLog()
        self.links = FakeLinks({d.id: d.region for d in layout.domains_by_id.values()})
        self.processes: dict[str, Process] = {}
        self.all_processes: list[Process] = []
        self.upstreams_by_id: dict[str, FakeUpstream] = {}
        self.vms_by_id: dict[str, ListedVm] = {}
        self.list_version = 0
        self.incarnations: Counter[str] = Counter()
        self.sent: list[str] = []
        self.poisonous: set[str] = set()
        self.starts: list[Start] = []
        self.outcomes_by_id: dict[str, Outcome] = {}
        self.timeline: list[str] = []
        self.seeds = self._make_seeds()

    def has(self, mechanism: str) -> bool:
        """Check whether a mechanism is in force."""
        return mechanism not in self.without

    @property
    def now(self) -> datetime:
        """Return the current time."""
        return self.queue.clock.now()

    @property
    def elapsed(self) -> timedelta:
        """Return the time since the start of the scenario."""
        return self.now - EPOCH - WARM_UP

    def run(self) -> None:
        """Run the whole scenario."""
        self._configure()
        layout = self.scenario.layout
        for spec in layout.entries_by_id.values():
            self.start_process(spec.id)
        for spec in layout.upstreams_by_id.values():
            self.upstreams_by_id[spec.id] = FakeUpstream(
                self.queue,
                spec.id,
                spec.capacity,
                spec.cold_capacity,
                self._digest(spec.id),
            )
            self.start_process(spec.id)
        self._send_list()
        for step in self.scenario.steps:
            self.queue.after(WARM_UP + step.at, lambda step=step: perform(self, step))
        self.queue.run_until(EPOCH + WARM_UP + self.scenario.end)

    def start_process(self, id: str) -> None:
        """Start an entry or agent at a new incarnation."""
        layout = self.scenario.layout
        self.incarnations[id] += 1
        upstream = layout.upstreams_by_id.get(id)
        spec = upstream or layout.entries_by_id[id]
        member = Member(
            id,
            Role.AGENT if upstream else Role.ENTRY,
            spec.domain,
            layout.domains_by_id[spec.domain].region,
            f"tcp://{id}",
            f"{id}.{self.incarnations[id]}",
            service=upstream.service if upstream else "",
        )
        process: Process
        if upstream:
            process = Agent(self, member, self.upstreams_by_id[id])
        else:
            process = Entry(self, member)
        self.processes[id] = process
        self.all_processes.append(process)
        self.list_vm(member)
        process.start()

    def list_vm(self, member: Member) -> None:
        """Add a VM to the platform's list."""
        self.vms_by_id[member.id] = ListedVm(
            member.id, member.incarnation, member.address, member.domain, "live"
        )
        self.list_version += 1

    def stop_process(self, id: str, *, listed: bool) -> None:
        """Stop a process at once."""
        process = self.processes.pop(id, None)
        if process is not None:
            process.alive = False
            process.stopped_at_ = self.now
        if not listed and self.vms_by_id.pop(id, None) is not None:
            self.list_version += 1

    def send(self, sender: Process, address: str, message: Message) -> None:
        """Carry a message over the links."""
        target_id = address.removeprefix("tcp://")
        target = self.processes.get(target_id)
        if target is None or not self.links.open(sender.domain, target.domain):
            return

        def deliver() -> None:
            current = self.processes.get(target_id)
            if current is target and self.links.open(sender.domain, target.domain):
                target.later(
                    timedelta(),
                    lambda: target.receive(sender.member.address, message),
                )

        self.queue.after(self.links.latency(sender.domain, target.domain), deliver)

    def append_change(self, change, operator: str, base: int, command: str) -> bool:
        """Append an operator's change and return whether the log accepted it."""
        if not self.log.up:
            return False
        if not self.has("conflict check"):
            base = len(self.log.read(CONFIG, 0)) - 1
        record = Record(Header(command, operator, self.now, base), change)
        data = encode_record(record)
        self.log.append(CONFIG, [data])
        if self.log.loses_answers:
            # The operator repeats a command whose answer was lost.
            self.log.append(CONFIG, [data])
        return True

    def record_start(self, agent: Agent, submit: Submit) -> None:
        """Record that an upstream got a call."""
        start = Start(
            self.now,
            agent.id,
            agent.domain,
            submit.request_id,
            submit.key,
            agent.upstream.digest,
        )
        self.starts.append(start)
        if submit.key:
            self.note(f"{agent.id} runs {submit.request_id} key {submit.key}")

    def record_outcome(self, submit: Submit, code: str, run: RunState) -> None:
        """Record what a caller was told."""
        outcome = Outcome(self.now, submit.request_id, submit.key, code, run)
        self.outcomes_by_id[submit.request_id] = outcome
        if submit.key or code != "answered":
            self.note(f"{submit.request_id} {code} run {run.value}")

    def note(self, text: str) -> None:
        """Add a line to the timeline."""
        self.timeline.append(f"{self.elapsed.total_seconds():7.3f} {text}")

    def _digest(self, upstream_id: str) -> str:
        layout = self.scenario.layout
        service = layout.services_by_id[layout.upstreams_by_id[upstream_id].service]
        return "" if service.non_repeatable else DIGEST

    def _make_seeds(self) -> list[str]:
        layout = self.scenario.layout
        specs = [*layout.entries_by_id.values(), *layout.upstreams_by_id.values()]
        first_by_domain: dict[str, str] = {}
        for spec in specs:
            first_by_domain.setdefault(spec.domain, f"tcp://{spec.id}")
        return list(first_by_domain.values())

    def _configure(self) -> None:
        layout = self.scenario.layout
        changes: list = [
            BringDomainIn(d.id, d.region) for d in layout.domains_by_id.values()
        ]
        changes += [PutTeam(Team(team, team)) for team in layout.teams or ["lab"]]
        changes += [DefinePreset(Preset(name)) for name in layout.presets]
        changes.append(PutVersion(ModelVersion("model", "1", DIGEST, 10, 5)))
        for spec in layout.services_by_id.values():
            service = Service(spec.id, ServiceKind.MODEL, "model", "1")
            if spec.non_repeatable:
                paths = [spec.non_repeatable]
                service = Service(
                    spec.id, ServiceKind.PLAIN, non_repeatable_paths=paths
                )
            changes.append(PutService(service))
        for number, change in enumerate(changes):
            record = Record(
                Header(f"setup-{number}", "setup", EPOCH, number - 1), change
            )
            self.log.append(CONFIG, [encode_record(record)])

    def _send_list(self) -> None:
        self.queue.after(LIST_INTERVAL, self._send_list)
        event = ListUpdated(self.list_version, list(self.vms_by_id.values()))
        for process in list(self.processes.values()):
            if self.links.platform(process.domain):
                process.later(
                    timedelta(), lambda process=process: process.dispatch(event)
                )


def run(scenario: Scenario, without: Collection[str] = ()) -> World:
    """Run a scenario, optionally without some mechanisms, and return its world."""
    world = World(scenario, without)
    world.run()
    return world
