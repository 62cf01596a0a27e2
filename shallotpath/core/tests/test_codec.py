from datetime import timedelta

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from shallotpath.core import (
    PROTOCOL,
    Code,
    FrameError,
    Load,
    Refused,
    Submit,
    decode,
    encode,
)
from shallotpath.runtime._entry_request import check_model_body
from shallotpath.runtime._problem import ProblemError
from shallotpath.weights import ManifestError, decode_manifest


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


NESTED = b"[" * 100_000
NESTED_PACKED = b"\x91" * 100_000


@pytest.mark.parametrize(
    ("decode_one", "error"),
    [
        (lambda: decode(nested_frame()), FrameError),
        (lambda: decode_manifest(b'{"x":' + NESTED), ManifestError),
        (lambda: check_model_body(b'{"x":' + NESTED), ProblemError),
    ],
    ids=["frame", "manifest", "body of a caller"],
)
def test_deeply_nested_input_raises_the_error_that_is_handled(decode_one, error):
    # Guards against one message or record that ends what reads it.
    with pytest.raises(error):
        decode_one()


def nested_frame():
    """Return a frame whose message has one field too many, which is nested."""
    fields = b"\xdc\xff\xff\x01" + NESTED_PACKED
    return msgspec.msgpack.encode((PROTOCOL, 1, "Submit", msgspec.Raw(fields)))


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
