"""Usage reports of entries, with a store and an interface that fail."""

import asyncio
import base64
import json
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta
from itertools import pairwise
from random import Random

import pytest
from aiohttp import web

from shallotpath.core import EPOCH, ManualClock
from shallotpath.duties import UsageRules
from shallotpath.fleet import EdgeProcess
from shallotpath.fleet._duties import DutyRunner
from shallotpath.platform import (
    DUTY_TOPIC,
    DutySettings,
    Endpoint,
    HttpCaller,
    StoreClient,
    open_session,
)
from shallotpath.replication import GossipMessage, PeerAddress, PeerTable

from .processes import make_settings, running
from .standins import HOST, Log, StoreStandIn, listen

SECOND = timedelta(seconds=1)
RULES = UsageRules(5 * SECOND, 10 * SECOND)
WINDOW = RULES.number(EPOCH)


class Quiet:
    """Keep the events for assertions."""

    def __init__(self):
        self.events = []

    def event(self, kind, **fields):
        self.events.append((kind, fields))

    def count(self, name, **labels):
        pass

    def gauge(self, name, value, **labels):
        pass


class Store:
    """Hold one topic; lose answers of appends or refuse some callers."""

    def __init__(self):
        self.records = []
        self.refused = set()
        self.lost_answers = 0
        self.calls = 0

    async def handle(self, request):
        self.calls += 1
        if request.headers.get("User-Agent") in self.refused:
            return web.Response(status=503)
        if request.path == "/log-newest":
            items = [
                {
                    "key": "lease",
                    "value": base64.b64encode(value).decode(),
                    "offset": len(self.records) - 1,
                }
                for value in self.records[-1:]
            ]
            return web.json_response({"items": items, "end": len(self.records)})
        body = await request.read()
        if int(request.query["at"]) != len(self.records):
            return web.json_response({"end": len(self.records)}, status=412)
        self.records.append(body[4 + 1 + body[4] :])
        if self.lost_answers:
            self.lost_answers -= 1
            request.transport.abort()
        return web.json_response({"offset": len(self.records) - 1})


class Interface:
    """Accept reports, and check that no rule of the hand-over is broken."""

    def __init__(self, clock):
        self.clock = clock
        self.refused = set()
        self.counts_by_window = {}
        self.calls = []

    async def handle(self, request):
        holder = request.headers["Shallotpath-Duty-Holder"]
        if holder in self.refused:
            return web.Response(status=503)
        token = int(request.headers["Shallotpath-Fencing-Token"])
        self.calls.append((self.clock.now(), holder, token))
        fields = json.loads(await request.read())
        known = self.counts_by_window.setdefault(fields["window"], fields["counts"])
        assert known == fields["counts"]
        return web.Response()

    def check_order(self):
        tokens = [token for _, _, token in self.calls]
        assert tokens == sorted(tokens)
        assert len({call[1:] for call in self.calls}) == len(set(tokens))
        for (first, one, _), (second, other, _) in pairwise(self.calls):
            assert one == other or second - first > 3 * SECOND


class Fleet:
    """Run three entries on one manual clock."""

    def __init__(self, clock, store, interface):
        self.clock = clock
        self.store, self.interface = store, interface
        self.entries = {}
        self.addresses = {}
        self.down = set()

    async def start(self, name, ports, *, skew=timedelta(), incarnation=1):
        clock = ManualClock(self.clock.now() + skew)
        session = open_session()
        session.headers["User-Agent"] = name
        store_port, interface_port = ports
        runner, port = await listen(lambda request: self._answer(name, request))
        address = PeerAddress(name, HOST, port, False)
        reporter = Quiet()
        duties = DutyRunner(
            DutySettings(
                address=Endpoint(HOST, interface_port),
                checks_token=False,
                calls_per_s=50,
                lease=3 * SECOND,
                wake_slack=0.3 * SECOND,
                usage_window=RULES.window,
                usage_tolerance=0.05,
                usage_due=RULES.due,
                reports_usage=True,
            ),
            address,
            incarnation,
            peers=PeerTable(address, Random(1)),
            store=StoreClient(Endpoint(HOST, store_port), session),
            caller=HttpCaller(session),
            clock=clock,
            reporter=reporter,
            is_leaving=lambda: False,
            send=lambda usage, peers: [
                self.entries[peer.id][0].merge_counts(usage) for peer in peers
            ],
        )
        self.entries[name] = (duties, clock, session, runner, reporter)
        self.addresses[name] = address

    async def _answer(self, name, request):
        if name in self.down:
            request.transport.abort()
        return self.entries[name][0].answer_counts(request)

    async def run(self, duration, *, frozen=()):
        """Advance all clocks in steps of 200 ms."""
        for _ in range(duration // (0.2 * SECOND)):
            self.clock.advance(0.2 * SECOND)
            for number, (name, entry) in enumerate(self.entries.items()):
                duties, clock = entry[:2]
                clock.advance(0.2 * SECOND)
                if name in self.down or name in frozen:
                    continue
                self._gossip(duties, clock.now(), frozen)
                duties.record_begun(f"team-{number}")
                await duties.step()

    def _gossip(self, duties, now, frozen):
        for name, address in self.addresses.items():
            if name not in self.down and name not in frozen:
                sequence = 1 + int(now.timestamp() * 1000)
                duties.peers.update(GossipMessage(address, 1, sequence, "a"), now)

    def holder(self):
        now = [d.status()["holder"] for d, *_ in self.entries.values()]
        return max(now, key=lambda name: (name is not None, now.count(name)))

    async def close(self):
        for duties, _, session, runner, _ in self.entries.values():
            await duties.close()
            await session.close()
            await runner.cleanup()


@asynccontextmanager
async def started(*, skews_s=(0, 0, 0)):
    clock = ManualClock(EPOCH)
    store, interface = Store(), Interface(clock)
    store_runner, store_port = await listen(store.handle)
    interface_runner, interface_port = await listen(interface.handle)
    fleet = Fleet(clock, store, interface)
    for number, skew in enumerate(skews_s):
        ports = (store_port, interface_port)
        await fleet.start(f"e{number}", ports, skew=skew * SECOND)
    fleet.ports = ports
    try:
        yield fleet
    finally:
        await fleet.close()
        await store_runner.cleanup()
        await interface_runner.cleanup()


def play(scenario, **options):
    """Run a scenario and check the order of all calls."""

    async def run():
        async with started(**options) as fleet:
            await scenario(fleet)
            fleet.interface.check_order()

    asyncio.run(run())


def test_each_window_is_reported_once_with_all_counts():
    # Guards against missing windows, and store calls that grow with each step.
    async def scenario(fleet):
        await fleet.run(10 * SECOND)
        calls_before = fleet.store.calls
        await fleet.run(30 * SECOND)
        reported = fleet.interface.counts_by_window
        for window in range(WINDOW + 1, WINDOW + 7):
            assert reported[window] == {"team-0": 25, "team-1": 25, "team-2": 25}
        assert len(fleet.interface.calls) == len(reported)
        assert fleet.store.calls - calls_before <= 6 * 3

    play(scenario)


@pytest.mark.parametrize("frozen_s", [4, 20])
def test_frozen_holder_sends_nothing_after_it_wakes(frozen_s):
    # Guards against a holder that goes on with a token that a successor has passed.
    async def scenario(fleet):
        await fleet.run(12 * SECOND)
        holder = fleet.holder()
        await fleet.run(frozen_s * SECOND, frozen={holder})
        await fleet.run(20 * SECOND)
        assert set(range(WINDOW + 1, WINDOW + 5)) <= set(
            fleet.interface.counts_by_window
        )

    play(scenario)


def test_killed_holder_is_replaced_in_time():
    # Guards against windows that are missed because their holder died.
    async def scenario(fleet):
        await fleet.run(12 * SECOND)
        fleet.down.add(fleet.holder())
        await fleet.run(25 * SECOND)
        assert set(range(WINDOW + 1, WINDOW + 5)) <= set(
            fleet.interface.counts_by_window
        )
        assert len({call[1] for call in fleet.interface.calls}) > 1

    play(scenario)


def test_holder_without_the_store_sends_nothing():
    # Guards against a holder that renews its lease by itself.
    async def scenario(fleet):
        await fleet.run(12 * SECOND)
        holder = fleet.holder()
        fleet.store.refused.add(holder)
        seen = len(fleet.interface.calls)
        await fleet.run(25 * SECOND)
        later = fleet.interface.calls[seen:]
        assert later
        assert holder not in {name for _, name, _ in later}
        assert WINDOW + 3 in fleet.interface.counts_by_window

    play(scenario)


def test_holder_without_the_interface_steps_down():
    # Guards against reports that stay with a holder that cannot send them.
    async def scenario(fleet):
        await fleet.run(12 * SECOND)
        fleet.interface.refused.add(fleet.holder())
        holding = fleet.entries[fleet.holder()][4]

        # The entry waits in real time between its attempts.
        duties, clock = fleet.entries[fleet.holder()][:2]
        clock_steps = asyncio.ensure_future(_advance(clock))
        await fleet.run(4 * SECOND)
        clock_steps.cancel()
        assert "duty_released" in {kind for kind, _ in holding.events}
        assert not duties.lease.holds(clock.now())

    async def _advance(clock):
        while True:
            await asyncio.sleep(0.05)
            clock.advance(0.1 * SECOND)

    play(scenario)


def test_holder_without_its_peers_reports_in_time():
    # Guards against a report that waits for entries for too long, or that is dropped.
    async def scenario(fleet):
        await fleet.run(12 * SECOND)
        holder = fleet.holder()
        fleet.down |= set(fleet.entries) - {holder}
        await fleet.run(14 * SECOND)
        assert WINDOW + 3 in fleet.interface.counts_by_window

    play(scenario)


def test_lost_answers_of_the_store_change_no_report():
    # Guards against a second report with other counts after an append took effect.
    async def scenario(fleet):
        await fleet.run(12 * SECOND)
        for _ in range(4):
            fleet.store.lost_answers = 1
            await fleet.run(5 * SECOND)
        assert set(range(WINDOW + 1, WINDOW + 4)) <= set(
            fleet.interface.counts_by_window
        )

    play(scenario)


def test_restart_of_all_entries_keeps_the_order():
    # Guards against a token or a window that starts again with new processes.
    async def scenario(fleet):
        await fleet.run(12 * SECOND)
        await fleet.close()
        names = list(fleet.entries)
        for name in names:
            await fleet.start(name, fleet.ports, incarnation=2)
        await fleet.run(25 * SECOND)
        assert WINDOW + 4 in fleet.interface.counts_by_window
        tokens = [token for *_, token in fleet.interface.calls]
        assert tokens[-1] > tokens[0]

    play(scenario)


def test_lost_record_keeps_tokens_and_reports():
    # Guards against a store that forgets the record of the lease.
    async def scenario(fleet):
        await fleet.run(12 * SECOND)
        fleet.store.records[-1] = b"?"
        fleet.down.add(fleet.holder())
        await fleet.run(25 * SECOND)
        assert WINDOW + 6 in fleet.interface.counts_by_window

    play(scenario)


def test_clocks_that_differ_keep_the_order():
    # Guards against two holders whose clocks are 300 ms apart.
    async def scenario(fleet):
        await fleet.run(12 * SECOND)
        fleet.down.add(fleet.holder())
        await fleet.run(25 * SECOND)
        assert WINDOW + 5 in fleet.interface.counts_by_window

    play(scenario, skews_s=(0, 0.3, -0.3))


def test_entry_that_dies_loses_only_what_it_has_not_sent():
    # Guards against counts of a whole window that are lost with one process.
    async def scenario(fleet):
        await fleet.run(12 * SECOND)
        holder = fleet.holder()
        victim = next(name for name in fleet.entries if name != holder)
        await fleet.run(2 * SECOND)
        fleet.entries[victim][0].push_counts()
        fleet.down.add(victim)
        await fleet.run(12 * SECOND)
        team = f"team-{list(fleet.entries).index(victim)}"
        assert fleet.interface.counts_by_window[WINDOW + 2][team] == 21

    play(scenario)


@pytest.mark.parametrize("asked", [False, True])
def test_entry_without_duties_makes_no_call(asked):
    # Guards against store calls and leases where no duty is asked for.
    async def run():
        topics = set()
        log = Log()
        stand_in = StoreStandIn(log)

        async def handle(request):
            topics.add(request.query["topic"])
            return await stand_in.handle(request)

        runner, port = await listen(handle)
        settings = make_settings("edge-0", port)
        duties = DutySettings(
            address=Endpoint(HOST, 1),
            checks_token=False,
            calls_per_s=50,
            lease=0.2 * SECOND,
            wake_slack=0.02 * SECOND,
            usage_window=0.2 * SECOND,
            usage_tolerance=0.05,
            usage_due=0.4 * SECOND,
            reports_usage=True,
        )
        settings = replace(settings, duties=duties if asked else None)
        async with running(EdgeProcess, settings) as edge:
            await asyncio.sleep(1)
            assert ("duties" in edge.status()) is asked
            assert (edge.parts.on_begun is not None) is asked
        await runner.cleanup()
        assert (DUTY_TOPIC in topics) is asked

    asyncio.run(run())
