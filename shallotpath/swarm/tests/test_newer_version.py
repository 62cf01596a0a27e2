"""Decision between two versions that are announced shortly after each other."""

from datetime import timedelta
from hashlib import sha256
from random import Random

import pytest

from shallotpath.core import EPOCH
from shallotpath.gateway import (
    OperatorState,
    VersionAnnouncement,
    WeightsAnnounced,
    WriteTime,
)
from shallotpath.swarm import SwarmMember, SwarmPlan, abandons_transfer

CHUNKS = 48
CHUNK = bytes(49_152)
LINK_BYTES_PER_S = 4.7e6 / 8


def make_plan(progress):
    """Return a plan that holds a share of its chunks; one copy takes 4 s."""
    digests = [sha256(CHUNK).hexdigest()] * CHUNKS
    plan = SwarmPlan(
        own=SwarmMember("a", "r"),
        model="m",
        version=2,
        digests=digests,
        started_at=EPOCH,
        random=Random(1),
    )
    for index in range(int(progress * CHUNKS)):
        plan.chunks_by_index_[index] = CHUNK
    return plan


@pytest.mark.parametrize(("gap_s", "abandoned"), [(1, True), (2, False), (4, False)])
def test_members_of_a_swarm_decide_alike_at_any_progress(gap_s, abandoned):
    # Load pattern: two versions are announced within the bound of the first. Guards
    # against a swarm of which one half goes on with each version, so that both come
    # after their bounds.
    decisions = {
        abandons_transfer(
            make_plan(progress), timedelta(seconds=gap_s), LINK_BYTES_PER_S
        )
        for progress in (0.15, 0.3, 0.5, 0.6, 0.95)
    }
    assert decisions == {abandoned}


def test_progress_decides_where_a_time_is_not_known():
    # Guards against chunks that are thrown away by a member that has just started.
    assert not abandons_transfer(make_plan(0.4), None, LINK_BYTES_PER_S)
    assert abandons_transfer(make_plan(0.2), None, LINK_BYTES_PER_S)


def test_versions_announced_all_the_time_do_not_keep_each_from_completing():
    # Load pattern: a new version every two seconds. Guards against engines that never
    # get one, so that no weights may be used after the first bound.
    plan = make_plan(0.3)
    for gap_s in range(2, 20, 2):
        assert not abandons_transfer(plan, timedelta(seconds=gap_s), LINK_BYTES_PER_S)


def test_time_between_announcements_is_known_once_both_are():
    # Guards against a decision by a time that only one of the records has.
    operator = OperatorState()
    operator.apply(WeightsAnnounced("m", 2), WriteTime(EPOCH))
    times = operator.target("m").times
    assert times.time_between(2, 3) is None
    operator.apply(WeightsAnnounced("m", 3), None)
    assert times.time_between(2, 3) is None
    later = WriteTime(EPOCH + timedelta(seconds=2))
    operator.merge_announcement(VersionAnnouncement("m", 3, later))
    assert times.time_between(2, 3) == timedelta(seconds=2)
