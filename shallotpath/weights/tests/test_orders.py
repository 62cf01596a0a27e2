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
    """Connect an engine with the orders of one agent."""

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
    """Stage a whole version at the engine and return its digest."""
    manifest = make_version(version, [seed] * count)
    engine.stage(manifest)
    for index in range(count):
        engine.staged[manifest.digest][index] = content(seed, index)
    return manifest.digest


def test_load_precedes_switch_and_no_order_repeats_while_one_is_open():
    # Guards against a switch to a version that is not loaded, and against an order that
    # is issued twice before its outcome is known.
    pair = Pair()
    digest = stage(pair.engine)
    pair.observe()
    first = pair.next_order(digest)
    assert first.kind is OrderKind.LOAD
    assert pair.next_order(digest) is None
    pair.orders.reduce(pair.engine.order(first), pair.clock.now())
    # A repeated order has no further effect on the engine.
    pair.engine.order(first)
    assert pair.send_next_order(digest).kind is OrderKind.SWITCH
    assert pair.orders.confirmed_digest == digest
    assert pair.next_order(digest) is None


def test_a_lost_answer_is_settled_by_the_engines_state():
    # Guards against an agent that reports a digest or sends an order while the
    # outcome of the last order is unknown.
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


def test_an_order_that_arrives_after_a_newer_one_is_rejected():
    # Guards against a late order that undoes the roll back sent after it.
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


def test_an_engine_without_fencing_gets_no_order_until_old_ones_settled():
    # Guards against an order of the agent before this one that takes effect after a
    # newer order.
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
    # Checks that the wait is what protects engines that do not check fencing tokens.
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


def test_a_lost_answer_of_an_engine_without_fencing_delays_the_next_order():
    # Guards against a new order while the unanswered one can still take effect.
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
def test_a_paused_agent_that_was_replaced_sends_no_order(checks_fencing):
    # Guards against two agents of one VM that both send orders to its engine.
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
    # Guards against an agent that goes on although a newer one has taken over.
    pair = Pair()
    digest = stage(pair.engine)
    pair.observe()
    order = pair.next_order(digest)
    pair.engine.fencing = order.fencing + 1
    pair.orders.reduce(pair.engine.order(order), pair.clock.now())
    assert pair.orders.superseded_
    assert pair.next_order(digest) is None


def test_two_agents_that_read_the_same_state_take_different_tokens():
    # Guards against equal tokens, which the engine cannot tell apart.
    engine = FakeEngine()
    first, second = Pair(engine, 1), Pair(engine, 2)
    first.observe()
    second.observe()
    assert first.orders.fencing_ != second.orders.fencing_


def test_a_cold_restart_with_the_old_version_is_noticed():
    # Guards against an agent that reports, or switches to, a version that its engine
    # has lost.
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
    # Guards against the same order again and again for a set with a corrupt chunk.
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
