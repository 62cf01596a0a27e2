"""Times of namings that must not move."""

from shallotpath.core import EPOCH
from shallotpath.gateway import (
    LONG_AGO,
    Naming,
    OperatorState,
    Rejection,
    WeightsNamed,
)

from .helpers import make_call, make_dispatcher, make_record, ms


def test_naming_that_is_written_again_keeps_its_unknown_time():
    # Guards against a bound that begins anew when the same version is named twice.
    state = OperatorState()
    state.apply(WeightsNamed("m", 2), None)
    state.apply(WeightsNamed("m", 2), EPOCH)
    assert state.target("m").outdated_since(1) == LONG_AGO


def test_unknown_naming_counts_where_as_many_are_kept_as_fit():
    # Guards against a naming of unknown time that is dropped in place of merged.
    state = OperatorState()
    for version in range(3, 11):
        state.apply(WeightsNamed("m", version), EPOCH + ms(version))
    state.hear_naming(Naming("m", 2, None))
    assert state.target("m").outdated_since(1) == LONG_AGO


def test_bound_holds_while_only_peers_know_of_a_naming():
    # Guards against old weights without a bound at an entry that has not read the
    # record yet.
    dispatcher = make_dispatcher([make_record(1)])
    dispatcher.operator.hear_naming(Naming("m", 2, EPOCH))
    now = EPOCH + ms(9000)
    placed = dispatcher.choose(make_call(1, now=now), (), 1, now)
    assert isinstance(placed, Rejection)
