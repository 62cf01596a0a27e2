from datetime import timedelta

from shallotpath.claims import CLAIM_WINDOW, Identity, Witness, WitnessStore
from shallotpath.claims._witnessing import WitnessWriter
from shallotpath.core import (
    EPOCH,
    Received,
    Send,
    Tick,
    WitnessAck,
    WitnessRead,
    WitnessWrite,
)


def make_store(**kwargs):
    return WitnessStore(member_id="w", incarnation="w.1", **kwargs)


def write(store, keys, now=EPOCH, incarnation="a.1"):
    effects = store.reduce(Received("p", WitnessWrite("a", incarnation, keys, 7)), now)
    return [e.message for e in effects if isinstance(e, Send)]


def read(store, incarnation="a.1", now=EPOCH):
    [effect] = store.reduce(Received("p", WitnessRead("a", incarnation, 9)), now)
    return effect.message.keys


def test_a_full_witness_acknowledges_nothing_and_keeps_what_it_has():
    # Guards against a claim that is acknowledged but not stored: it could run twice.
    store = make_store(max_keys=2)
    assert write(store, ["k1", "k2"]) == [WitnessAck("a", "w", 7, "w.1", "a.1")]
    assert write(store, ["k3"]) == []
    assert write(store, ["k1"]) != []
    assert read(store) == ["k1", "k2"]


def test_claims_expire_after_the_window_and_free_their_room():
    # Guards against a witness that stays full of expired claims.
    store = make_store(max_keys=1)
    write(store, ["k1"])
    late = EPOCH + CLAIM_WINDOW + timedelta(seconds=1)
    store.reduce(Tick(), late)
    assert store.key_count == 0
    assert write(store, ["k2"], late) != []
    assert read(store, now=late) == ["k2"]


def test_incarnations_of_a_home_are_kept_apart():
    # Guards against a read that returns the claims of another incarnation.
    store = make_store()
    write(store, ["k1"])
    write(store, ["k2"], incarnation="a.2")
    assert read(store) == ["k1"]


def test_a_home_that_was_read_gets_no_further_acknowledgement():
    # Guards against a claim that is stored after the read and missed by the reader.
    store = make_store()
    write(store, ["k1"])
    read(store)
    assert write(store, ["k2"]) == []
    assert write(store, ["k2"], incarnation="a.2") != []
    assert read(store) == ["k1"]


def test_an_acknowledgement_for_an_old_incarnation_does_not_count():
    # Guards against counting it for a newer write: both incarnations number their
    # writes from 1.
    writer = WitnessWriter(Identity("s", "a", "a.2", "d"))
    named = [[Witness("w", "w.1", "p"), Witness("v", "v.1", "q")]]
    writer.write(["k"], named)
    for name in ("w", "v"):
        writer.acknowledge(WitnessAck("a", name, 1, f"{name}.1", "a.1"))
    assert not writer.stored("k", named)
    for name in ("w", "v"):
        writer.acknowledge(WitnessAck("a", name, 1, f"{name}.1", "a.2"))
    assert writer.stored("k", named)
