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
    bring_in_domains,
    define_peak_preset,
    fold_all,
    make_log,
    make_record,
    put_service,
    put_version,
)


def accepted_flags(replica):
    """Return which records were accepted, in the order of their offsets."""
    found = replica.state_.outcomes_by_command_id.values()
    return [outcome.accepted for outcome in sorted(found, key=lambda o: o.offset)]


def test_of_two_racing_operators_the_second_is_told_who_was_first():
    # Guards against a change that silently overwrites one that its operator never read.
    replica = fold_all(
        [
            define_peak_preset(),
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


def test_a_preset_redefined_after_the_base_is_not_applied():
    # Guards against applying limits that the operator has not read.
    changed = make_record(DefinePreset(Preset("peak", retry_share=0.9)), 0)
    replica = fold_all([define_peak_preset(), changed, apply_preset("peak", 0)])
    assert accepted_flags(replica) == [True, True, False]


def test_changes_of_different_objects_do_not_conflict():
    # Guards against rejected changes that have no object in common.
    replica = fold_all([define_peak_preset(), *bring_in_domains("a", "b")])
    assert accepted_flags(replica) == [True, True, True]


def test_a_command_that_was_appended_twice_is_applied_once():
    # Guards against a retried append whose first try had succeeded.
    record = define_peak_preset(command="twice")
    replica = fold_all([record, make_record(BringDomainIn("a", "r")), record])
    assert replica.outcomes_["repeated"] == 1
    assert len(replica.state_.outcomes_by_command_id) == 2


def test_a_duplicate_beyond_the_history_is_rejected():
    # Guards against a second effect once the command id has left the history.
    late = define_peak_preset(command="late")
    others = [
        make_record(DefinePreset(Preset("x")), n) for n in range(HISTORY_RECORDS + 2)
    ]
    replica = fold_all([late, *others, late])
    outcome = replica.state_.outcomes_by_command_id["late"]
    assert not outcome.accepted
    assert "records old" in outcome.reason
    assert len(replica.state_.outcomes_by_command_id) <= HISTORY_RECORDS + 1


def test_a_base_offset_after_the_record_is_rejected():
    # Guards against a base offset that would hide all conflicts.
    assert accepted_flags(fold_all([define_peak_preset(base=5)])) == [False]


def test_the_last_serving_domain_is_taken_out_only_when_forced():
    # Guards against an outage of the whole service by one careless command.
    replica = fold_all(
        [
            *bring_in_domains("a", "b"),
            make_record(TakeDomainOut("a"), 1),
            make_record(TakeDomainOut("b"), 2),
            make_record(TakeDomainOut("b", force=True), 3),
        ]
    )
    assert accepted_flags(replica) == [True, True, True, False, True]


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
    # Guards against invalid objects in the state and against errors without advice.
    replica = fold_all([make_record(change, command="c")])
    outcome = replica.state_.outcomes_by_command_id["c"]
    assert not outcome.accepted
    assert outcome.remedy


def test_a_rollback_returns_to_the_previous_version():
    # Guards against a rollback to another version and against deleting the one in use.
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
    assert accepted_flags(replica)[-1] is False


def test_undecodable_records_are_skipped_by_all_processes_alike():
    # Guards against one invalid record that stops or splits the configuration.
    whole = encode_record(define_peak_preset())
    log = make_log([define_peak_preset(command="x")])
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


def test_a_record_decodes_to_what_was_encoded():
    # Guards against a field that the codec drops.
    record = put_service("1", 3)
    assert decode_record(encode_record(record)) == record


def test_the_default_preset_is_in_force_without_records():
    # Guards against an empty log that leaves no limits in force.
    assert fold_all([]).state_.preset_id == DEFAULT_PRESET.id
