"""Simulation of batching engines, entries with stale loads and callers that retry."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from functools import partial
from itertools import count
from math import ceil
from random import Random

from shallotpath.core import EPOCH
from shallotpath.gateway import (
    Dispatcher,
    EngineReport,
    EntryLoad,
    GatewayCall,
    Placement,
)

from .helpers import (
    RATES,
    REGIONS,
    make_call,
    make_catalog,
    make_dispatcher,
    make_record,
    make_route,
    make_subsets,
    ms,
)

GOSSIP_INTERVAL = ms(300)
# With more peers in its region, an entry sends messages less often.
PEERS_AT_FULL_RATE = 8
MAX_GOSSIP_INTERVAL = ms(650)
REMOTE_GOSSIP_INTERVAL = ms(850)
DOMAINS = ("a-1", "b-1", "c-1")
REPORT_LAG = ms(200)
NETWORK_DELAY = ms(3)
# Share, prompt tokens, output tokens, target latency in ms and priority of each kind of
# request.
REQUEST_KINDS = (
    (0.41, 1330, 100, 506, 1),
    (0.31, 827, 100, 406, 1),
    (0.28, 647, 70, 405, 1),
)
LATE_CREDIT = 0.25


@dataclass(eq=False, slots=True)
class _Work:
    """A request at an engine."""

    caller: _Caller
    priority: int
    prompt_tokens_left: int
    tokens_left: int
    order: int
    started: bool = False
    gone: bool = False


@dataclass(eq=False, slots=True)
class _Caller:
    number: int
    kind: tuple[float, int, int, int, int]
    first_sent_at: datetime
    retried: bool = False
    outcome: str = ""
    first_token_at: datetime | None = None


class _Engine:
    """Run requests with continuous batching, urgent ones first."""

    def __init__(self, simulation: LoadSimulation, number: int) -> None:
        self.simulation = simulation
        self.number = number
        self.queue: list[_Work] = []
        self.running: list[_Work] = []
        self.busy = False

    def take(self, work: _Work) -> None:
        self.queue.append(work)
        if not self.busy:
            self._start_pass()

    def _start_pass(self) -> None:
        self.queue = [work for work in self.queue if not work.gone]
        self.running = [work for work in self.running if not work.gone]
        self.queue.sort(key=lambda work: (work.priority, work.order))
        free = RATES.slots - len(self.running)
        self.running += self.queue[:free]
        self.queue = self.queue[free:]
        self.busy = bool(self.running)
        if not self.busy:
            return
        duration, chunk_left = timedelta(), RATES.chunk_tokens
        for work in self.running:
            read = min(work.prompt_tokens_left, chunk_left)
            work.prompt_tokens_left -= read
            chunk_left -= read
            duration += timedelta(seconds=read / RATES.prefill_tokens_per_s)
        decoding = [work for work in self.running if not work.prompt_tokens_left]
        if decoding:
            step = RATES.step + len(decoding) * (
                RATES.step_per_sequence + RATES.step_per_kilotoken
            )
            duration += RATES.steps_per_pass * step
        self.simulation.at(
            self.simulation.now + duration, lambda: self._end_pass(decoding)
        )

    def _end_pass(self, decoding: list[_Work]) -> None:
        for work in decoding:
            if work.gone:
                continue
            if not work.started:
                work.started = True
                self.simulation.first_token(work)
            work.tokens_left -= RATES.steps_per_pass
            if work.tokens_left <= 0:
                work.gone = True
                self.simulation.ended(work)
        self._start_pass()


@dataclass(slots=True)
class Outcome:
    """Count the outcomes of the callers of a run."""

    on_time: int = 0
    late: int = 0
    refused: int = 0
    # Callers whose timeout ended at an engine before the answer was complete.
    timed_out: int = 0
    waits: list[timedelta] = field(default_factory=list)

    @property
    def callers(self) -> int:
        """Return the number of callers."""
        return self.on_time + self.late + self.refused + self.timed_out

    @property
    def weighted_served_share(self) -> float:
        """Return the share of callers served, with late ones counted in part."""
        return (self.on_time + LATE_CREDIT * self.late) / self.callers

    @property
    def served(self) -> float:
        """Return the share of callers that got an answer."""
        return (self.on_time + self.late) / self.callers


class LoadSimulation:
    """Send calls to engines through entries that decide independently."""

    def __init__(
        self,
        *,
        engines: int = 5,
        entries: int = 7,
        seed: int = 1,
        kinds: tuple[tuple[float, int, int, int, int], ...] = REQUEST_KINDS,
    ) -> None:
        self.kinds = kinds
        self.engines_report = True
        self.random = Random(seed)
        self.now = self.started_at = EPOCH
        self.events: list[tuple[datetime, int, Callable[[], None]]] = []
        self.sequence = count()
        self.engines = [_Engine(self, number) for number in range(engines)]
        self.records = [
            make_record(number, DOMAINS[number % len(DOMAINS)])
            for number in range(engines)
        ]
        self.entries = [self._entry(seed, n, entries) for n in range(entries)]
        self.entries_by_id = {entry.subsets.own: entry for entry in self.entries}
        self.work_by_key: dict[str, tuple[Dispatcher, _Work]] = {}
        self.callers: list[_Caller] = []

    def _entry(self, seed: int, number: int, entries: int) -> Dispatcher:
        domain = DOMAINS[number % len(DOMAINS)]
        seed = 1000 * seed + number
        subsets = make_subsets(number, entries)
        routes = [make_route(priority=kind[4]) for kind in self.kinds]
        dispatcher = make_dispatcher(
            self.records,
            seed=seed,
            catalog=make_catalog(routes=routes),
            domain=domain,
            subsets=subsets,
        )
        dispatcher.loads.on_sent = lambda upstream, share: self._send_placement(
            dispatcher, upstream, share
        )
        return dispatcher

    def _send_placement(
        self, sender: Dispatcher, upstream_id: str, share: EntryLoad
    ) -> None:
        domain = sender.upstreams.upstreams_by_id_[upstream_id].record.domain
        for entry_id in sender.subsets.primaries(upstream_id, REGIONS[domain]):
            other = self.entries_by_id[entry_id]
            if other is not sender:
                arrives_at = self.now + NETWORK_DELAY
                deliver = partial(
                    other.loads.add_peer_placement,
                    str(id(sender)),
                    upstream_id,
                    share,
                    arrives_at,
                )
                self.at(arrives_at, deliver)

    def _same_domain(self, dispatcher: Dispatcher) -> list[Dispatcher]:
        domain = dispatcher.rules.domain
        return [other for other in self.entries if other.rules.domain == domain]

    def at(self, when: datetime, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (when, next(self.sequence), action))

    def run(
        self,
        rate: Callable[[float], float],
        seconds: float,
        weights: Callable[[float], list[float]] | None = None,
    ) -> Outcome:
        """Send calls at a rate per second that depends on the time.

        So may the weights of the kinds; without them each has its share.
        """
        for dispatcher in self.entries:
            self.at(
                self.now + self.random.random() * GOSSIP_INTERVAL,
                partial(self._gossip, dispatcher),
            )
            self.at(
                self.now + self.random.random() * REMOTE_GOSSIP_INTERVAL,
                partial(self._gossip_to_other_regions, dispatcher),
            )
        for engine in self.engines:
            self.at(
                self.now + self.random.random() * GOSSIP_INTERVAL, self._report(engine)
            )
        at = 0.0
        while at < seconds:
            at += self.random.expovariate(max(rate(at), 0.01))
            shares = weights(at) if weights else [kind[0] for kind in self.kinds]
            kind = self.random.choices(self.kinds, shares)[0]
            caller = _Caller(len(self.callers), kind, EPOCH + timedelta(seconds=at))
            self.callers.append(caller)
            self.at(caller.first_sent_at, lambda caller=caller: self._request(caller))
        end = EPOCH + timedelta(seconds=seconds + 7)
        while self.events and self.events[0][0] < end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self._outcome()

    def _request(self, caller: _Caller) -> None:
        dispatcher = self.random.choice(self.entries)
        _, prompt, output, target, priority = caller.kind
        call = make_call(
            caller.number,
            self.now,
            request_id=f"q{caller.number}-{int(caller.retried)}",
            route=make_route(target_latency=ms(target), priority=priority),
            priority=priority,
            caller_timeout=caller.first_sent_at + ms(6078) - self.now,
            prompt_tokens=prompt,
            output_tokens=output,
        )
        decision = dispatcher.choose(call, (), self.now)
        if isinstance(decision, Placement):
            self._send(dispatcher, call, caller, decision)
        elif caller.retried:
            caller.outcome = "refused"
        else:
            caller.retried = True
            self.at(self.now + decision.retry_after, lambda: self._request(caller))

    def _send(
        self,
        dispatcher: Dispatcher,
        call: GatewayCall,
        caller: _Caller,
        placement: Placement,
    ) -> None:
        _, prompt, output, *_ = caller.kind
        work = _Work(caller, placement.priority, prompt, output, next(self.sequence))
        dispatcher.loads.sent(
            call.request_id,
            placement.upstream.id,
            prompt,
            self.now,
            yielding=placement.yielding,
            rank_priority=placement.rank_priority,
        )
        self.work_by_key[call.request_id] = (dispatcher, work)
        engine = self.engines[int(placement.upstream.id[1:])]
        self.at(self.now + NETWORK_DELAY, lambda: engine.take(work))
        self.at(call.ends_at, lambda: self._leave(work))

    def _leave(self, work: _Work) -> None:
        if not work.gone:
            work.gone = True
            self.ended(work)

    def first_token(self, work: _Work) -> None:
        """Record the first token of a request."""
        work.caller.first_token_at = self.now
        key = self._key(work)
        self.work_by_key[key][0].loads.first_token(key)

    def ended(self, work: _Work) -> None:
        """Record the end of a request."""
        key = self._key(work)
        self.work_by_key.pop(key)[0].loads.ended(key)
        work.caller.outcome = "timed_out" if work.tokens_left > 0 else "served"

    def _key(self, work: _Work) -> str:
        return f"q{work.caller.number}-{int(work.caller.retried)}"

    def _gossip(self, dispatcher: Dispatcher) -> None:
        peers = self._same_domain(dispatcher)
        self._send_loads(dispatcher, peers)
        interval = GOSSIP_INTERVAL * max(1.0, len(peers) / PEERS_AT_FULL_RATE)
        self.at(
            self.now + min(interval, MAX_GOSSIP_INTERVAL),
            partial(self._gossip, dispatcher),
        )

    def _gossip_to_other_regions(self, dispatcher: Dispatcher) -> None:
        domain = dispatcher.rules.domain
        others = [other for other in self.entries if other.rules.domain != domain]
        self._send_loads(dispatcher, others)
        self.at(
            self.now + REMOTE_GOSSIP_INTERVAL,
            partial(self._gossip_to_other_regions, dispatcher),
        )

    def _send_loads(self, sender: Dispatcher, others: list[Dispatcher]) -> None:
        shares = sender.loads.own_loads()
        demands = sender.demand.own(self.now)
        for other in others:
            if other is not sender:
                name = str(id(sender))
                other.loads.update_peer_loads(name, shares, self.now)
                other.demand.update_peer(name, demands, self.now)

    def _report(self, engine: _Engine) -> Callable[[], None]:
        def take() -> None:
            report = EngineReport(
                address=self.records[engine.number].address,
                model="m",
                version=1,
                accepting=True,
                queued=len(engine.queue),
                active=len(engine.running),
                pace=1.0,
            )
            self.at(self.now + REPORT_LAG, lambda: deliver(report))
            self.at(self.now + GOSSIP_INTERVAL, take)

        def deliver(report: EngineReport) -> None:
            if not self.engines_report:
                return
            for dispatcher in self.entries:
                dispatcher.loads.update_engine_report(report, self.now)

        return take

    def _outcome(self) -> Outcome:
        return self.outcome_of(self.callers)

    def outcome_of(self, callers: list[_Caller]) -> Outcome:
        """Return the outcomes of some callers."""
        outcome = Outcome()
        for caller in callers:
            if caller.outcome == "refused":
                outcome.refused += 1
            elif caller.outcome != "served":
                outcome.timed_out += 1
            else:
                outcome.waits.append(caller.first_token_at - caller.first_sent_at)
                if self.on_time(caller):
                    outcome.on_time += 1
                else:
                    outcome.late += 1
        return outcome

    @staticmethod
    def on_time(caller: _Caller) -> bool:
        """Check whether a caller was served within its target."""
        if caller.outcome != "served":
            return False
        return caller.first_token_at - caller.first_sent_at <= ms(caller.kind[3])


def capacity(
    engines: int,
    kinds: tuple[tuple[float, int, int, int, int], ...] = REQUEST_KINDS,
) -> float:
    """Return the calls a second that full engines complete."""
    prompt = sum(kind[0] * kind[1] for kind in kinds)
    output = sum(kind[0] * kind[2] for kind in kinds)
    passes = ceil(output / RATES.steps_per_pass)
    step = RATES.step + RATES.slots * (
        RATES.step_per_sequence + RATES.step_per_kilotoken
    )
    writing = passes * RATES.steps_per_pass * step / RATES.slots
    reading = timedelta(seconds=prompt / RATES.prefill_tokens_per_s)
    return engines / (writing + reading).total_seconds()
