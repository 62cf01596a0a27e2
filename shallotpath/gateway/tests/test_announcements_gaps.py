"""Announcement times that must not move later."""

from shallotpath.core import EPOCH
from shallotpath.gateway import (
    UNIX_EPOCH,
    OperatorState,
    Rejection,
    VersionAnnouncement,
    WeightsAnnounced,
    WriteTime,
)

from .helpers import make_call, make_dispatcher, make_record, ms


def test_announcement_that_is_written_again_keeps_its_unknown_time():
    # Guards against a bound that restarts when the same version is announced twice.
    state = OperatorState()
    state.apply(WeightsAnnounced("m", 2), None)
    state.apply(WeightsAnnounced("m", 2), WriteTime(EPOCH))
    assert state.target("m").outdated_since(1) == UNIX_EPOCH


def test_announcement_of_unknown_time_is_merged_when_the_maximum_is_kept():
    # Guards against an announcement of unknown time that is dropped instead of merged.
    state = OperatorState()
    for version in range(3, 11):
        state.apply(WeightsAnnounced("m", version), WriteTime(EPOCH + ms(version)))
    state.merge_announcement(VersionAnnouncement("m", 2, None))
    assert state.target("m").outdated_since(1) == UNIX_EPOCH


def test_bound_holds_while_only_peers_know_of_an_announcement():
    # Guards against old weights without a bound at an entry that has not read the
    # record yet.
    dispatcher = make_dispatcher([make_record(1)])
    dispatcher.operator.merge_announcement(
        VersionAnnouncement("m", 2, WriteTime(EPOCH))
    )
    now = EPOCH + ms(9000)
    placed = dispatcher.choose(make_call(1, now=now), (), now)
    assert isinstance(placed, Rejection)
