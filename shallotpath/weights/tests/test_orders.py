from datetime import timedelta
from random import Random

import pytest

from shallotpath.core import ManualClock, Tick
from shallotpath.weights import (
    EngineOrders,
    Order,
    OrderFenced,
    OrderKind,
    OrderRejected,
)

from .swarm import FakeEngine, content, make_version

SETTLE_TIME = timedelta(seconds=30)
SECOND = timedelta(seconds=1)


class Pair:
    """Hold one engine and one agent's orders to it."""

    def __init__(self, engine=None, seed=1, clock=None):
        self.clock = clock or ManualClock()
        self.engine = engine or FakeEngine()
        self.orders = EngineOrders(random=Random(seed), settle_time=SETTLE_TIME)

    def observe(self):
        self.orders.reduce(self.engine.state(), self.clock.now())

    def tick(self, delta=SECOND):
        self.orders.reduce(Tick(), self.clock.advance(delta))

    def next_order(self, digest, complete=True, may_switch=True):
        return self.orders.next_order(
            digest,
            complete=complete,
            may_switch=may_switch,
            now=self.clock.now(),
        )

    def send_next_order(self, digest):
        order = self.next_order(digest)
        if order is not None:
            self.orders.reduce(self.engine.order(order), self.clock.now())
        return order


def stage(engine, version="1", seed=1, count=3):
    manifest = make_version(version, [seed] * count)
    engine.stage(manifest)
    for index in range(count):
        engine.staged[manifest.digest][index] = content(seed, index)
    return manifest.digest


def test_load_precedes_switch_and_no_order_repeats_while_one_is_open():
    pair = Pair()
    digest = stage(pair.engine)
    pair.observe()
    first = pair.next_order(digest)
    assert first.kind is OrderKind.LOAD
    # Guards against the same order twice: none is issued before the outcome.
    assert pair.next_order(digest) is None
    pair.orders.reduce(pair.engine.order(first), pair.clock.now())
    # The engine takes the same order again without harm.
    pair.engine.order(first)
    assert pair.send_next_order(digest).kind is OrderKind.SWITCH
    assert pair.orders.confirmed_digest == digest
    assert pair.next_order(digest) is None


def test_a_lost_answer_is_settled_by_the_engines_state():
    pair = Pair()
    digest = stage(pair.engine)
    pair.observe()
    pair.send_next_order(digest)
    pair.engine.lose_answers = 1
    pair.send_next_order(digest)
    assert pair.orders.confirmed_digest == ""
    assert pair.next_order(digest) is None
    pair.observe()
    assert pair.orders.confirmed_digest == digest


def test_an_order_that_arrives_late_loses_against_the_next_one():
    # Guards against a roll back that is undone by the order before it.
    pair = Pair()
    first = stage(pair.engine, "1", 1)
    second = stage(pair.engine, "2", 2)
    pair.observe()
    pair.send_next_order(first)
    pair.engine.delay_orders = True
    pair.send_next_order(first)
    pair.engine.delay_orders = False
    pair.observe()
    pair.send_next_order(second)
    pair.send_next_order(second)
    late = pair.engine.delayed_orders[0]
    assert isinstance(pair.engine.order(late), OrderFenced)
    assert pair.engine.digest == second


def test_an_engine_that_does_not_check_gets_no_order_until_old_ones_settled():
    pair = Pair(FakeEngine(checks_fencing=False))
    digest = stage(pair.engine)
    pair.tick()
    pair.observe()
    for _ in range(29):
        assert pair.next_order(digest) is None
        pair.tick()
        pair.observe()
    pair.tick()
    assert pair.send_next_order(digest) is not None


def test_without_the_wait_an_old_order_undoes_a_new_one(monkeypatch):
    # Shows that the wait is what protects engines that do not check.
    engine = FakeEngine(checks_fencing=False)
    first, second = stage(engine, "1", 1), stage(engine, "2", 2)
    late = Order(OrderKind.SWITCH, first, 1)
    pair = Pair(engine)
    pair.orders.settle_time = timedelta(0)
    pair.observe()
    pair.send_next_order(second)
    pair.send_next_order(second)
    engine.order(late)
    assert engine.digest == first


def test_a_lost_answer_of_an_engine_that_does_not_check_waits():
    pair = Pair(FakeEngine(checks_fencing=False))
    digest = stage(pair.engine)
    pair.tick()
    pair.observe()
    for _ in range(30):
        pair.tick()
    pair.send_next_order(digest)
    pair.engine.delay_orders = True
    pair.send_next_order(digest)
    pair.engine.delay_orders = False
    for _ in range(29):
        pair.tick()
        pair.observe()
        assert pair.next_order(digest) is None
    pair.engine.order(pair.engine.delayed_orders[0])
    pair.observe()
    assert pair.orders.confirmed_digest == digest


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_a_paused_agent_that_wakes_after_its_replacement_gives_no_order(checks_fencing):
    engine = FakeEngine(checks_fencing=checks_fencing)
    clock = ManualClock()
    first, second = stage(engine, "1", 1), stage(engine, "2", 2)
    old, new = Pair(engine, 1, clock), Pair(engine, 2, clock)
    old.tick()
    old.observe()
    clock.advance(SETTLE_TIME)
    old.orders.last_tick_at_ = clock.now()
    assert old.send_next_order(first).kind is OrderKind.LOAD
    new.observe()
    clock.advance(SETTLE_TIME)
    new.send_next_order(second)
    new.send_next_order(second)
    assert engine.digest == second
    old.tick()
    assert old.next_order(first) is None
    old.observe()
    assert old.orders.superseded_
    assert old.next_order(first) is None
    assert old.orders.confirmed_digest == ""


def test_an_old_fencing_token_stops_the_agent():
    pair = Pair()
    digest = stage(pair.engine)
    pair.observe()
    order = pair.next_order(digest)
    pair.engine.fencing = order.fencing + 1
    pair.orders.reduce(pair.engine.order(order), pair.clock.now())
    assert pair.orders.superseded_
    assert pair.next_order(digest) is None


def test_two_agents_that_read_the_same_state_take_different_tokens():
    engine = FakeEngine()
    first, second = Pair(engine, 1), Pair(engine, 2)
    first.observe()
    second.observe()
    assert first.orders.fencing_ != second.orders.fencing_


def test_a_cold_restart_with_the_old_version_is_noticed():
    pair = Pair()
    digest = stage(pair.engine)
    pair.observe()
    pair.send_next_order(digest)
    pair.send_next_order(digest)
    pair.engine.restart()
    pair.observe()
    assert pair.orders.confirmed_digest == "old"
    assert pair.next_order(digest, complete=False) is None
    stage(pair.engine)
    assert pair.send_next_order(digest).kind is OrderKind.LOAD


def test_a_rejected_set_is_read_back_before_the_next_order():
    pair = Pair()
    digest = stage(pair.engine)
    pair.engine.staged[digest][1] = b"corrupt!"
    pair.observe()
    order = pair.next_order(digest)
    outcome = pair.engine.order(order)
    assert isinstance(outcome, OrderRejected)
    pair.orders.reduce(outcome, pair.clock.now())
    assert pair.orders.recheck_
    pair.clock.advance(2 * SECOND)
    assert pair.next_order(digest) is None
