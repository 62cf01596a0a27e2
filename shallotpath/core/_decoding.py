"""Errors that decoding bytes of another program may raise."""

import msgspec

# Deeply nested values raise `RecursionError`, numbers out of range `OverflowError`.
DECODING_ERRORS = (
    msgspec.DecodeError,
    OverflowError,
    RecursionError,
    UnicodeDecodeError,
)
