from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotpath.core import (
    Code,
    FrameError,
    Load,
    Refused,
    Submit,
    decode,
    encode,
)


def make_submit(body: bytes) -> Submit:
    return Submit(
        request_id="r1",
        attempt=1,
        service="fold-model",
        path="generate",
        team="halls",
        body=body,
        time_left=timedelta(seconds=3),
    )


@given(st.binary(max_size=2000))
def test_round_trip_keeps_the_body(body):
    # Guards against a codec that alters binary bodies.
    assert decode(encode(make_submit(body))) == make_submit(body)


def test_round_trip_keeps_nested_values():
    # Guards against a codec that alters enum values, durations or nested messages.
    message = Refused("r1", 2, Code.OVERLOADED, Load(2, 1), timedelta(milliseconds=250))
    assert decode(encode(message)) == message


@given(st.binary(max_size=500))
def test_arbitrary_bytes_raise_only_frame_errors(frame):
    # Guards against malformed frames that stop the receiving process.
    with pytest.raises(FrameError):
        decode(frame)


@given(st.data())
def test_damaged_frames_raise_only_frame_errors(data):
    # Guards against a damaged frame that raises another error or names no remedy.
    frame = bytearray(encode(make_submit(b"hello")))
    index = data.draw(st.integers(0, len(frame) - 1))
    frame[index] ^= data.draw(st.integers(1, 255))
    try:
        decode(bytes(frame))
    except FrameError as error:
        assert "check the sender" in error.message or "release" in error.message


def test_unknown_kind_names_the_remedy():
    # Guards against an error that does not point to a mix of releases.
    frame = encode(make_submit(b"")).replace(b"Submit", b"Sabmit", 1)
    with pytest.raises(FrameError, match="run one release on all VMs"):
        decode(frame)
