"""Frame codec: a msgpack envelope of protocol version, time stamp, kind and body."""

from __future__ import annotations

from typing import get_args

import msgspec

from ._decoding import DECODING_ERRORS
from ._errors import FrameError
from ._messages import Message

PROTOCOL = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_kind_by_type = {cls: cls.__name__ for cls in get_args(Message)}
_decoder_by_kind = {
    name: msgspec.msgpack.Decoder(cls) for cls, name in _kind_by_type.items()
}
_envelope_decoder = msgspec.msgpack.Decoder(tuple[int, int, str, msgspec.Raw])


def encode(message: Message, stamp: int = 0) -> bytes:
    """Encode a message and the stamp of the sender's hybrid clock as one frame."""
    return _encoder.encode((PROTOCOL, stamp, _kind_by_type[type(message)], message))


def decode(frame: bytes) -> Message:
    """Decode the message of a frame or raise `FrameError`."""
    return decode_stamped(frame)[1]


def decode_stamped(frame: bytes) -> tuple[int, Message]:
    """Decode the time stamp and the message of a frame or raise `FrameError`."""
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameError(
            f"frame of {len(frame)} bytes exceeds {MAX_FRAME_BYTES}; "
            "send smaller bodies or chunks"
        )
    try:
        protocol, stamp, kind, body = _envelope_decoder.decode(frame)
        if protocol != PROTOCOL:
            raise FrameError(
                f"protocol {protocol} is not {PROTOCOL}; run one release on all VMs"
            )
        decoder = _decoder_by_kind.get(kind)
        if decoder is None:
            raise FrameError(f"kind {kind!r} is unknown; run one release on all VMs")
        return stamp, decoder.decode(body)
    except DECODING_ERRORS as error:
        raise FrameError(f"frame does not decode: {error}; check the sender") from error
