"""Decisions on connections, bodies and parsing time, without a network."""

from datetime import timedelta
from functools import partial
from types import SimpleNamespace

import pytest

from shallotpath.connections import (
    BodyBudget,
    ConnectionLimits,
    DescriptorShares,
    ParsingAccount,
    ParsingQueue,
    Phase,
    choose_closed,
    overdue_reason,
)
from shallotpath.connections._table import ClosedConnections
from shallotpath.core import ManualClock

LIMITS = ConnectionLimits(
    100, header_timeout=timedelta(seconds=3), idle_timeout=timedelta(seconds=15)
)
NOW = ManualClock().now()


def seconds(value):
    return timedelta(seconds=value)


def holder(phase, age=0.0, received=0, *, silent=0.0, held=False):
    return SimpleNamespace(
        phase=phase,
        held_since=NOW - seconds(age),
        received_bytes=received,
        last_received_at=NOW - seconds(silent),
        was_held=held,
    )


def test_nothing_is_closed_while_there_is_room():
    # Guards against clients that are cut off although a descriptor is free.
    holders = [holder(Phase.SILENT, 100) for _ in range(9)]
    assert choose_closed(holders, 10, NOW) == []


def test_connection_with_a_request_in_progress_is_never_closed():
    # Guards against answers that are lost because others open connections.
    busy = [holder(Phase.BUSY, 100, 10**6) for _ in range(9)]
    young = holder(Phase.KEPT)
    assert choose_closed([*busy, young], 10, NOW) == [young]
    assert choose_closed([*busy, busy[0]], 10, NOW) == []


def test_connections_that_hold_most_for_longest_are_closed_first():
    # Load pattern: descriptors are used up by silent clients and bodies that stopped.
    # Guards against kept connections and young bodies that pay for them.
    body = holder(Phase.BODY, 9, 1000)
    small, young = holder(Phase.BODY, 9, 10), holder(Phase.BODY, 0.1, 9000)
    silent, newer = holder(Phase.SILENT, 9), holder(Phase.SILENT, 1)
    kept, discarded = holder(Phase.KEPT, 14), holder(Phase.DISCARDED, 1)
    holders = [kept, young, newer, body, small, silent, discarded]
    chosen = choose_closed(holders, 1, NOW)
    assert chosen == [discarded, silent, newer, body, young, small, kept]


@pytest.mark.parametrize(
    ("connection", "reason"),
    [
        (holder(Phase.HEAD, 2.9), ""),
        (holder(Phase.HEAD, 3.1), "slow_head"),
        (holder(Phase.HEAD, 3.1, held=True), ""),
        (holder(Phase.BODY, 60, 40_000, silent=14), ""),
        (holder(Phase.BODY, 60, 40_000, silent=16), "slow_body"),
        (holder(Phase.BODY, 60, 1000), "slow_body"),
        (holder(Phase.BODY, 60, 1000, held=True), ""),
        (holder(Phase.KEPT, 60, silent=60), ""),
        (holder(Phase.BUSY, 60, silent=60), ""),
    ],
)
def test_least_rate_of_progress(connection, reason):
    # Guards against callers that send just enough to stay, and against slow but sound
    # callers that are refused.
    assert overdue_reason(connection, LIMITS, NOW) == reason


@pytest.mark.parametrize("descriptors", [500, 2048, 4100])
def test_listeners_leave_descriptors_for_upstreams(descriptors):
    # Guards against requests that are accepted but cannot reach an upstream.
    shares = DescriptorShares(descriptors)
    listeners = shares.callers + shares.peers + 2 * shares.monitoring
    assert shares.sockets - listeners >= shares.callers * 0.7
    assert shares.sockets <= descriptors - min(200, descriptors // 2)


def test_body_of_a_small_team_is_kept():
    # Load pattern: one team sends many bodies that stop before their end.
    # Guards against another team that is refused for them.
    budget, refused, clock = BodyBudget(1000), [], ManualClock()
    many = []
    for number in range(9):
        refuse = partial(refused.append, number)
        many.append(budget.open("many", clock.now(), refuse))
        budget.receive(many[-1], 100, clock.now())
        clock.advance(seconds(1))
    other = budget.open("other", clock.now(), lambda: refused.append("other"))
    budget.receive(other, 400, clock.now())
    # The oldest of the large team goes first, until the rest fits.
    assert refused == [0, 1, 2]
    assert budget.held_bytes == 1000
    budget.complete(other)
    for body in [*many, other]:
        budget.close(body)
    assert budget.held_bytes == 0


def test_body_alone_above_the_budget_is_refused():
    # Guards against one body that takes the memory of the process.
    budget, refused = BodyBudget(1000), []
    body = budget.open("t", NOW, lambda: refused.append(1))
    budget.receive(body, 1001, NOW)
    assert refused == [1]
    budget.receive(body, 1, NOW)
    assert (refused, budget.held_bytes) == ([1], 0)


def make_waiting(used_ms=0):
    account = ParsingAccount()
    account.used = timedelta(milliseconds=used_ms)
    return SimpleNamespace(parsing=account)


def test_costly_reads_of_many_connections_have_to_wait():
    # Load pattern: 60 bodies in chunks of one byte, each a small part of the time.
    # Guards against requests that wait for the parsing of others.
    queue, clock = ParsingQueue(), ManualClock()
    crowd = [make_waiting() for _ in range(60)]
    cost = timedelta(milliseconds=1)
    held = 0
    for _ in range(10):
        for waiting in crowd:
            clock.advance(cost)
            held += queue.charge(waiting.parsing, cost, clock.now())
    assert held > 200
    # An ordinary request takes less than it may take without a wait.
    assert not queue.charge(ParsingAccount(), cost, clock.now())


def test_reads_within_their_share_of_the_time_do_not_wait():
    # Guards against a single body in small chunks that is slowed down for nothing.
    queue, clock, account = ParsingQueue(), ManualClock(), ParsingAccount()
    for _ in range(100):
        clock.advance(timedelta(milliseconds=10))
        assert not queue.charge(account, timedelta(milliseconds=1), clock.now())


def test_only_as_many_wait_as_get_on():
    # Guards against bodies that are held for minutes although they cannot arrive.
    queue = ParsingQueue()
    waiting = [make_waiting(used_ms) for used_ms in range(17)]
    cost = timedelta(milliseconds=1)
    refused = [queue.add(each, cost) for each in waiting]
    assert refused == [None] * 16 + [waiting[-1]]
    queue.remove(waiting[-1])
    assert queue.pause() == 8 * cost
    assert [queue.next() for _ in range(16)] == waiting[:16]
    assert queue.next() is None


def test_each_reason_is_logged_once_a_second():
    # Guards against a log that fills up with the connections of a crowd.
    clock, lines = ManualClock(), []
    closed = ClosedConnections(clock, lambda *line: lines.append(line), None)
    for _ in range(5):
        closed.record("no_room")
    closed.record("slow_head")
    assert closed.has_unreported
    clock.advance(seconds(1))
    closed.report_due()
    assert lines == [("no_room", 1), ("slow_head", 1), ("no_room", 4)]
    assert not closed.has_unreported
