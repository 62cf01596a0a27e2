import pytest

from shallotpath.config import (
    DEFAULT_PRESET,
    BringDomainIn,
    DefinePreset,
    DeleteVersion,
    PauseRollout,
    Preset,
    PutTeam,
    Replica,
    RollBack,
    TakeDomainOut,
    Team,
    decode_record,
    digest_state,
    encode_record,
)
from shallotpath.config._state import HISTORY_RECORDS
from shallotpath.core import LogRecord

from .helpers import (
    apply_preset,
    domains,
    fold_all,
    make_log,
    make_record,
    peak,
    put_service,
    put_version,
)


def outcomes(replica):
    found = replica.state_.outcomes_by_command_id.values()
    return [outcome.accepted for outcome in sorted(found, key=lambda o: o.offset)]


def test_racing_operators_one_wins_and_the_other_learns_from_whom():
    replica = fold_all(
        [
            peak(),
            make_record(DefinePreset(Preset("calm")), 0),
            apply_preset("peak", 1, operator="ann", command="ann-1"),
            apply_preset("calm", 1, operator="bo", command="bo-1"),
        ]
    )
    assert replica.state_.preset_id == "peak"
    lost = replica.state_.outcomes_by_command_id["bo-1"]
    assert not lost.accepted
    assert "ann" in lost.reason
    assert "ann-1" in lost.reason
    assert "repeat the command" in lost.remedy


def test_a_preset_redefined_after_the_base_is_not_applied_unseen():
    changed = make_record(DefinePreset(Preset("peak", retry_share=0.9)), 0)
    replica = fold_all([peak(), changed, apply_preset("peak", 0)])
    assert outcomes(replica) == [True, True, False]


def test_changes_of_different_objects_do_not_conflict():
    replica = fold_all([peak(), *domains("a", "b")])
    assert outcomes(replica) == [True, True, True]


def test_an_append_that_took_effect_twice_is_applied_once():
    record = peak(command="twice")
    replica = fold_all([record, make_record(BringDomainIn("a", "r")), record])
    assert replica.outcomes_["repeated"] == 1
    assert len(replica.state_.outcomes_by_command_id) == 2


def test_a_late_duplicate_beyond_the_history_is_rejected():
    # Guards against a second effect once the command id is forgotten.
    late = peak(command="late")
    others = [
        make_record(DefinePreset(Preset("x")), n) for n in range(HISTORY_RECORDS + 2)
    ]
    replica = fold_all([late, *others, late])
    outcome = replica.state_.outcomes_by_command_id["late"]
    assert not outcome.accepted
    assert "records old" in outcome.reason
    assert len(replica.state_.outcomes_by_command_id) <= HISTORY_RECORDS + 1


def test_a_base_in_the_future_is_rejected():
    assert outcomes(fold_all([peak(base=5)])) == [False]


def test_the_last_serving_domain_goes_out_only_when_forced():
    replica = fold_all(
        [
            *domains("a", "b"),
            make_record(TakeDomainOut("a"), 1),
            make_record(TakeDomainOut("b"), 2),
            make_record(TakeDomainOut("b", force=True), 3),
        ]
    )
    assert outcomes(replica) == [True, True, True, False, True]


@pytest.mark.parametrize(
    "change",
    [
        PutTeam(Team("", "t")),
        PutTeam(Team("t", "digest", weight=0)),
        DefinePreset(Preset("p", queue_share=2)),
        BringDomainIn("new"),
        TakeDomainOut("new"),
        PauseRollout("nothing"),
        RollBack("nothing"),
        DeleteVersion("m/1"),
    ],
)
def test_invalid_changes_are_rejected_with_a_remedy(change):
    replica = fold_all([make_record(change, command="c")])
    outcome = replica.state_.outcomes_by_command_id["c"]
    assert not outcome.accepted
    assert outcome.remedy


def test_rolling_back_returns_to_the_previous_version():
    replica = fold_all(
        [
            put_version("1"),
            put_version("2", 0),
            put_service("1", 1),
            put_service("2", 2),
            make_record(RollBack("s"), 3),
            make_record(DeleteVersion("m/1"), 4),
        ]
    )
    assert replica.state_.services_by_id["s"].version == "1"
    assert outcomes(replica)[-1] is False


def test_garbled_truncated_and_unknown_records_are_skipped_by_all_alike():
    whole = encode_record(peak())
    log = make_log([peak(command="x")])
    log += [
        LogRecord(1, whole[:-3]),
        LogRecord(2, b"\xc1garbage"),
        LogRecord(3, whole.replace(b"DefinePreset", b"DefinePrezet")),
        LogRecord(4, b""),
        LogRecord(5, encode_record(apply_preset("peak", 4))),
    ]
    one, two = Replica(), Replica()
    one.add(log)
    for record in reversed(log):
        two.add([record])
    assert one.outcomes_["garbled"] == 4
    assert one.state_.preset_id == "peak"
    assert digest_state(one.state_) == digest_state(two.state_)


def test_records_survive_their_encoding():
    record = put_service("1", 3)
    assert decode_record(encode_record(record)) == record


def test_exactly_one_preset_is_in_force_from_the_start():
    assert fold_all([]).state_.preset_id == DEFAULT_PRESET.id
