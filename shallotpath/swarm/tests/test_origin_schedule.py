"""Which members fetch from the origin, and what."""

from datetime import timedelta

import pytest

from shallotpath.core import EPOCH
from shallotpath.swarm import OriginLimits, SwarmMember, origin_order
from shallotpath.swarm._origin_schedule import OriginSchedule

CHUNKS = list(range(96))
CHUNK_BYTES = 24_576


def make_schedules(members, limits=None):
    schedules = []
    for member in members:
        schedule = OriginSchedule(member.id, "m/2", limits or OriginLimits(), 0)
        schedule.set_members(members)
        schedules.append(schedule)
    return schedules


@pytest.mark.parametrize("count", [36, 100, 900])
def test_few_members_of_a_large_swarm_fetch_distinct_chunks(count):
    # Load pattern: all members hear of a version at once. Guards against requests that
    # share the origin's link until each times out, and against connections that the
    # origin resets.
    members = [SwarmMember(f"m{n}", f"r{n % 5}") for n in range(count)]
    order = origin_order("m/2", members)
    assert origin_order("m/2", members[::-1]) == order
    regions_by_id = {member.id: member.region for member in members}
    assert len({regions_by_id[member_id] for member_id in order[:5]}) == 5
    # The cost of an order grows with the members, so only some are asked.
    sample = [m for m in members if m.id in {*order[:20], *order[-16:]}]
    taken = []
    for member in sample:
        limits = OriginLimits(max_connections=24)
        schedule = OriginSchedule(member.id, "m/2", limits, CHUNK_BYTES)
        schedule.set_members(members)
        taken.append(schedule.next_chunk(CHUNKS, EPOCH, EPOCH))
    taken = [index for index in taken if index is not None]
    assert len(taken) == len(set(taken)) == 12


def test_chunks_of_a_silent_fetcher_are_taken_over_once():
    # Guards against a transfer that waits for a member which is alive but cannot reach
    # the origin, and against all other members fetching its chunks together.
    members = [SwarmMember(f"m{n}", "r") for n in range(20)]
    schedules = make_schedules(members)
    order = origin_order("m/2", members)
    silent = 3
    absent = [index for index in CHUNKS if index % 16 == silent]
    others = [s for s in schedules if s.own_id != order[silent]]
    now = EPOCH + timedelta(seconds=1)
    taken = [schedule.next_chunk(absent, now, EPOCH) for schedule in others]
    taken = [index for index in taken if index is not None]
    # The silent member may still be fetching the first one.
    assert sorted(taken) == absent[1:]
    # After a while the first one is taken over too.
    now += timedelta(seconds=1)
    taken = [schedule.next_chunk(absent[:1], now, EPOCH) for schedule in others]
    assert taken.count(absent[0]) == 1


def test_time_out_is_longer_than_a_chunk_takes_over_the_link():
    # Guards against requests that always time out at a narrow origin.
    limits = OriginLimits(bytes_per_s=45_000.0, max_connections=None)
    schedule = OriginSchedule("m0", "m/2", limits, CHUNK_BYTES)
    assert schedule.timeout >= 2 * timedelta(seconds=16 * CHUNK_BYTES / 45_000.0)
    # A link that is narrower than the configuration says.
    first = schedule.timeout
    schedule.record_failed(first)
    assert schedule.timeout == 2 * first
