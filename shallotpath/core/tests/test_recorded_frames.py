"""Frames that an earlier release sent, read and written by this one."""

from typing import get_args

import msgspec
import pytest

from shallotpath.core import (
    PROTOCOL,
    Code,
    Message,
    RunState,
    decode,
    decode_stamped,
    encode,
)

from .recorded_values import fields_at_default, load_recorded

RECORDED = load_recorded(__file__, "frames.json")
FRAMES = {
    (kind, variant): bytes.fromhex(frame)
    for kind, variants in RECORDED["frames"].items()
    for variant, frame in variants.items()
}


def wire_kind(frame):
    return msgspec.msgpack.decode(frame)[2]


@pytest.mark.parametrize(("kind", "variant"), FRAMES)
def test_a_recorded_frame_is_encoded_to_the_same_bytes(kind, variant):
    # Guards against a renamed class or field that changes the wire format: processes
    # of two releases would drop each other's frames or lose a field in silence.
    frame = FRAMES[kind, variant]
    assert wire_kind(frame) == kind
    stamp, message = decode_stamped(frame)
    assert encode(message, stamp) == frame


@pytest.mark.parametrize("kind", RECORDED["frames"])
def test_no_field_of_a_full_frame_falls_to_its_default(kind):
    # Guards against a field that the decoder skips because its name has changed, and
    # against a recorded frame that would not show it.
    frame = FRAMES[kind, "full"]
    stamp, message = decode_stamped(frame)
    assert stamp != 0
    assert fields_at_default(message) == []


@pytest.mark.parametrize("kind", RECORDED["optional_fields"])
def test_absent_optional_fields_are_decoded_as_their_defaults(kind):
    # Guards against an optional field that becomes required, so that frames of an
    # earlier release without it are dropped, and against a changed default.
    frame = FRAMES[kind, "defaults"]
    protocol, stamp, _, fields = msgspec.msgpack.decode(frame)
    for name in RECORDED["optional_fields"][kind].split():
        del fields[name]
    shortened = msgspec.msgpack.encode((protocol, stamp, kind, fields))
    assert len(shortened) < len(frame)
    assert encode(decode(shortened), stamp) == frame


def test_all_kinds_of_messages_are_recorded():
    # Guards against a message that was added or removed without a recorded frame.
    decoded = [type(decode(FRAMES[kind, "full"])) for kind in RECORDED["frames"]]
    assert len(decoded) == len(set(decoded))
    assert set(decoded) == set(get_args(Message))


def test_the_protocol_number_stays():
    # Guards against a changed number, with which processes refuse all frames.
    assert RECORDED["protocol"] == PROTOCOL


@pytest.mark.parametrize(
    ("values", "name"), [(Code, "codes"), (RunState, "run_states")]
)
def test_codes_and_run_states_are_sent_under_their_recorded_names(values, name):
    # Guards against a renamed value: the frame with it would not decode, and callers
    # would see an unknown code.
    recorded = RECORDED[name]
    assert [str(value) for value in values] == list(recorded)
    for value, text in recorded.items():
        frame = bytes.fromhex(text)
        stamp, message = decode_stamped(frame)
        sent = message.code if values is Code else message.run
        assert (sent, type(sent)) == (value, values)
        assert encode(message, stamp) == frame
