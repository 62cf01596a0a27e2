"""Configuration records and states that an earlier release wrote."""

from typing import get_args

import msgspec
import pytest

from shallotpath.config import (
    Change,
    ConfigurationState,
    ServiceKind,
    decode_record,
    digest_state,
    encode_record,
)
from shallotpath.config._state import decode_state, encode_state
from shallotpath.core.tests.recorded_values import fields_at_default, load_recorded

RECORDED = load_recorded(__file__, "records.json")
RECORDS = {
    (kind, variant): bytes.fromhex(record)
    for kind, variants in RECORDED["records"].items()
    for variant, record in variants.items()
}
STATES = RECORDED["states"]


@pytest.mark.parametrize(("kind", "variant"), RECORDS)
def test_a_recorded_record_is_encoded_to_the_same_bytes(kind, variant):
    # Guards against a renamed class or field that changes the records of the log: a
    # process of the new release would skip changes that others apply.
    data = RECORDS[kind, variant]
    assert msgspec.msgpack.decode(data)[1] == kind
    assert encode_record(decode_record(data)) == data


@pytest.mark.parametrize("kind", RECORDED["records"])
def test_no_field_of_a_full_record_falls_to_its_default(kind):
    # Guards against a field that the decoder skips because its name has changed, and
    # against a recorded record that would not show it.
    assert fields_at_default(decode_record(RECORDS[kind, "full"])) == []


def test_all_kinds_of_changes_are_recorded():
    # Guards against a change that was added or removed without a recorded record.
    decoded = [
        type(decode_record(RECORDS[kind, "full"]).change)
        for kind in RECORDED["records"]
    ]
    assert len(decoded) == len(set(decoded))
    assert set(decoded) == set(get_args(Change))


@pytest.mark.parametrize("name", STATES)
def test_a_recorded_state_keeps_its_bytes_and_digest(name):
    # Guards against a renamed field of the state: snapshots in the log would not be
    # read, and the digests of two releases would differ at one offset.
    data = bytes.fromhex(STATES[name]["state"])
    state = decode_state(data)
    assert encode_state(state) == data
    assert digest_state(state) == STATES[name]["digest"]


def test_no_field_of_the_full_state_falls_to_its_default():
    # Guards against a table of the state that is dropped when a snapshot is read.
    state = decode_state(bytes.fromhex(STATES["full"]["state"]))
    assert fields_at_default(state) == []
    assert {service.kind for service in state.services_by_id.values()} == set(
        ServiceKind
    )
    assert {outcome.accepted for outcome in state.outcomes_by_command_id.values()} == {
        True,
        False,
    }


def test_the_initial_state_has_the_recorded_bytes():
    # Guards against a changed default of the state or of the first preset.
    data = bytes.fromhex(STATES["defaults"]["state"])
    assert encode_state(ConfigurationState()) == data


def test_the_order_of_insertion_does_not_change_a_state():
    # Guards against an encoder that no longer sorts, so that equal states of two
    # processes have different digests.
    state = decode_state(bytes.fromhex(STATES["full"]["state"]))
    state.teams_by_id = dict(reversed(state.teams_by_id.items()))
    state.outcomes_by_command_id = dict(reversed(state.outcomes_by_command_id.items()))
    assert digest_state(state) == STATES["full"]["digest"]
