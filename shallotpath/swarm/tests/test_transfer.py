"""Transfers between the mates of a model, in simulated time."""

from datetime import timedelta

import pytest

from shallotpath.core import EPOCH
from shallotpath.gateway import UNIX_EPOCH
from shallotpath.swarm import RollingUpdate, UploadPacer

from .simulation import Swarm

# New weights must serve within 8 s; the requests that run take some 1.5 s to end and
# a load 0.3 s.
COMPLETE_WITHIN_S = 6.2
# What a transfer may take when a part of it fails: the bound itself.
BOUND_S = 8.0
REGIONS = {"a": 3, "b": 3, "c": 4}

# The simulations take up to 17 s of processor time; on a machine that other processes
# share, the limit for a test that hangs must leave them several times as long.
pytestmark = pytest.mark.timeout(240)


def test_ten_members_complete_in_time_with_one_copy_from_the_origin():
    # Load pattern: all mates want a new version at once over links of 3.65 Mbit/s.
    result = Swarm(REGIONS, origin_region="b").run()
    assert result.last_s <= COMPLETE_WITHIN_S
    assert result.origin_chunks <= 1.1 * 96
    # Each of the other regions needs one copy; chunks that were taken from the origin
    # outside its region cross once more.
    assert result.cross_region_chunks <= 3.2 * 96


def test_transfer_completes_when_the_origin_fails_after_one_copy():
    result = Swarm(REGIONS, origin_region="b", origin_fails_at_s=2.9).run()
    assert len(result.seconds_by_id) == 10
    assert result.last_s <= COMPLETE_WITHIN_S


def test_dead_member_does_not_delay_the_others_beyond_the_bound():
    result = Swarm(REGIONS, origin_region="b", dead_ids=frozenset({"a-1"})).run()
    assert result.last_s <= BOUND_S


def test_region_partitioned_together_with_the_origin_completes_from_it():
    # Guards against mates that wait for chunks which only cut-off mates hold.
    swarm = Swarm(
        REGIONS, origin_region="b", partitioned_region="b", partitioned_at_s=3.0
    )
    result = swarm.run()
    assert {m for m in result.seconds_by_id if m[0] == "b"} == {"b-0", "b-1", "b-2"}


def test_transfer_reports_a_stall_once_the_origin_fails():
    swarm = Swarm({"a": 2}, origin_fails_at_s=0.5)
    swarm.run(timedelta(seconds=2))
    assert swarm.plans_by_id["a-0"].stalled


def test_corrupt_chunks_are_fetched_again():
    swarm = Swarm(REGIONS, origin_region="b", corrupt_fraction=0.06)
    result = swarm.run()
    assert result.last_s <= BOUND_S
    plan = swarm.plans_by_id["a-0"]
    assert [plan.chunk(i) for i in range(96)] == swarm.payloads


def test_chunks_of_another_version_with_the_same_digest_are_reused():
    swarm = Swarm({"a": 1})
    plan = swarm.plans_by_id["a-0"]
    assert plan.reuse([swarm.payloads[3], b"unknown", swarm.payloads[5]]) == 2
    assert plan.bitmap == 0b101000


def test_uploads_never_overlap_on_the_link():
    pacer = UploadPacer(bytes_per_s=1000.0)
    waits = [pacer.reserve(97, EPOCH) for _ in range(4)]
    assert waits[:3] == [timedelta(milliseconds=100 * n) for n in range(3)]
    # A receiver that would wait long asks another source.
    assert waits[3] is None


@pytest.mark.parametrize(
    ("own", "loaded", "may"),
    [("a", [], True), ("b", [], False), ("b", ["a"], False), ("b", ["a", "c"], True)],
)
def test_engines_change_in_two_waves(own, loaded, may):
    # Guards against all engines draining at the same time.
    rolling_update = RollingUpdate(own)
    arguments = {
        "member_ids": ["a", "b", "c", "d"],
        "loaded_ids": loaded,
        "outdated_since": EPOCH,
        "bound": timedelta(seconds=8),
    }
    assert (
        rolling_update.may_update(now=EPOCH + timedelta(seconds=6), **arguments) is may
    )
    assert rolling_update.may_update(now=EPOCH + timedelta(seconds=7.6), **arguments)


def test_engine_whose_weights_are_outdated_for_an_unknown_time_changes_at_once():
    # Guards against a mate that starts and waits for a wave whose end it cannot know.
    may_update = RollingUpdate("b").may_update(
        member_ids=["a"],
        loaded_ids=[],
        outdated_since=UNIX_EPOCH,
        bound=timedelta(seconds=8),
        now=EPOCH,
    )
    assert may_update
