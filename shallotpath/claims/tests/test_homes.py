from datetime import timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotpath.claims import (
    Claims,
    Contact,
    HomeSet,
    Join,
    Leave,
    Retire,
    Settled,
    Witness,
    encode_record,
)
from shallotpath.claims.tests.world import SERVICE, SETTINGS, make_world
from shallotpath.core import EPOCH, LogRecord, RecordsRead, RunState

MEMBERS = st.sampled_from(["a1", "a2", "b1"])
INCARNATIONS = st.sampled_from(["x", "y", "z"])
WITNESSES = [Witness("w0", "w0.1", "w0"), Witness("w1", "w1.1", "w1")]


@st.composite
def records(draw):
    member = draw(MEMBERS)
    incarnation = f"{member}.{draw(INCARNATIONS)}"
    replaces = draw(st.sampled_from(["", f"{member}.x", f"{member}.y"]))
    number = draw(st.integers(0, 40))
    return draw(
        st.sampled_from(
            [
                Join(SERVICE, member, incarnation, "a", replaces, number),
                Join(SERVICE, member, incarnation, "a", replaces, number),
                Contact(SERVICE, member, incarnation, number, number, WITNESSES),
                Contact(SERVICE, member, incarnation, number, number, WITNESSES),
                Leave(SERVICE, member, incarnation),
                Retire(SERVICE, member, incarnation, "operator"),
                Settled(SERVICE, member, incarnation, [f"s{number}"], "witnesses"),
                Claims(SERVICE, member, incarnation, [f"k{number}"]),
            ]
        )
    )


def fold(homes, data, start=0):
    folded = []
    for offset, item in list(enumerate(data))[start:]:
        folded += homes.apply(LogRecord(offset, item), EPOCH)
    return folded


@given(st.lists(records(), min_size=2, max_size=40), st.data())
def test_a_reader_from_a_snapshot_agrees_with_one_from_the_start(log, data):
    # Guards against home sets that differ once the first records have expired.
    taken = data.draw(st.integers(1, len(log)))
    landed = data.draw(st.integers(taken, len(log)))
    start = data.draw(st.integers(0, taken))
    encoded = [encode_record(record) for record in log]
    early = HomeSet()
    fold(early, encoded[:taken])
    encoded.insert(landed, encode_record(early.snapshot()))
    full, late = HomeSet(), HomeSet()
    fold(full, encoded)
    seen = fold(late, encoded, start)
    assert late.service(SERVICE).image("") == full.service(SERVICE).image("")
    assert late.departed_incarnations_ == full.departed_incarnations_
    # A key that the late reader does not record could run again.
    assert keys_in(seen) == keys_in(log[start:])


def keys_in(folded):
    return {key for r in folded if isinstance(r, Claims | Settled) for key in r.keys}


def test_a_snapshot_that_leaves_records_out_is_not_used():
    # Guards against a home set that lacks the records before the first one read.
    early = HomeSet()
    encoded = [
        encode_record(Join(SERVICE, member, f"{member}.x", "a"))
        for member in ("a1", "a2", "b1")
    ]
    fold(early, encoded[:1])
    encoded.append(encode_record(early.snapshot()))
    late = HomeSet()
    fold(late, encoded, 2)
    assert not late.initialized
    assert late.home_of(SERVICE, "k") is None


def test_a_garbled_record_is_counted_and_skipped():
    # Guards against a garbled record that stops the reader.
    homes = HomeSet()
    events = [
        LogRecord(0, b"\xff"),
        LogRecord(1, encode_record(Join(SERVICE, "a1", "x", "a"))),
    ]
    effects = homes.reduce(RecordsRead("claims", events, 2), EPOCH)
    assert [effect.name for effect in effects] == ["claims_garbled_records"]
    assert homes.home_of(SERVICE, "k") == "a1"


def test_a_new_key_has_its_home_in_the_domain_and_no_unresolved_claims():
    # Guards against new keys that are decided in another domain or refused because a
    # retired agent may have run them.
    world = make_world()
    homes = world.entry_homes
    keys = [homes.new_key(SERVICE, "b", Random(n), world.now()) for n in range(20)]
    assert {world.home(key) for key in keys} == {"b1"}
    world.kill("a1")
    world.retire("a1")
    keys = [homes.new_key(SERVICE, "a", Random(n), world.now()) for n in range(20)]
    assert all(not homes.unresolved_claims(SERVICE, key, world.now()) for key in keys)


def test_missed_records_stop_an_incarnation_from_deciding():
    # Guards against a second run of a key whose claim is in the missed records.
    world = make_world()
    key = world.key_of("a1")
    agent = world.agents["a1"]
    agent.read += 3
    for _ in range(3):
        world.store([b"\xff"])
    request = world.request(key, "a1")
    world.store([b"\xff"])
    world.read("a1")
    world.settle()
    assert world.decisions[request].run is RunState.UNKNOWN
    world.restart("a1")
    world.settle()
    # The claim of the first incarnation is in the log, so its key stays claimed.
    again = world.request(key, "a1")
    other = world.request(world.key_of("a1", "n"), "a1")
    world.settle()
    assert world.known(again)
    assert world.ran(other)
    world.check()


def test_agents_append_snapshots_within_the_interval():
    # Guards against a log whose last snapshot has expired, so that no reader can start.
    world = make_world()
    for _ in range(20):
        world.settle(1, seconds=40)
    assert all(a.table.homes.snapshot_at is not None for a in world.agents.values())
    late = world.agents["a1"].table.homes.snapshot_at
    assert world.now() - late < SETTINGS.snapshot_interval + timedelta(minutes=2)


@pytest.mark.parametrize("count", [1, 2, 3])
def test_any_read_quorum_meets_any_write_quorum(count):
    # Guards against a read that misses an acknowledged claim.
    from shallotpath.claims._witnessing import read_quorum, write_quorum

    assert read_quorum(count) + write_quorum(count) > count
