from functools import singledispatchmethod

from shallotpath.core import (
    EPOCH,
    Count,
    DrainRequested,
    Emit,
    Event,
    Node,
    Tick,
    rendezvous_choice,
    rendezvous_order,
)


class Source:
    @singledispatchmethod
    def reduce(self, event: Event, now):
        return []

    @reduce.register
    def _(self, event: Tick, now):
        return [Emit(DrainRequested()), Count("ticks")]


class Sink:
    def __init__(self):
        self.seen_ = []

    @singledispatchmethod
    def reduce(self, event: Event, now):
        raise AssertionError("an unregistered event type reached the part")

    @reduce.register
    def _(self, event: DrainRequested, now):
        self.seen_.append(event)
        return [Count("drains")]


def test_emitted_events_reach_the_other_parts_in_order():
    # Guards against emitted events that are lost or sent to parts without a handler.
    sink = Sink()
    node = Node("n", [Source(), sink])
    assert node.reduce(Tick(), EPOCH) == [Count("ticks"), Count("drains")]
    assert sink.seen_ == [DrainRequested()]


def test_removal_of_a_node_moves_only_its_own_keys():
    # Guards against a hash that moves keys between the remaining nodes.
    nodes = [f"n{i}" for i in range(8)]
    for key in map(str, range(200)):
        before = rendezvous_choice(key, nodes)
        after = rendezvous_choice(key, [n for n in nodes if n != "n3"])
        assert before in (after, "n3")
        assert rendezvous_order(key, nodes)[0] == before
