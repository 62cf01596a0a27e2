"""Errors of decoders that read what other programs have written."""

from __future__ import annotations

import msgspec

# Nested arrays raise `RecursionError`, numbers out of range raise `OverflowError`, and
# fields of another type raise most of the others.
DECODING_ERRORS = (
    msgspec.DecodeError,
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
MAX_DETAIL_CHARS = 300


def describe_error(error: Exception) -> str:
    """Return an error for logs; its text may contain a long value."""
    return f"{error!r:.{MAX_DETAIL_CHARS}}"
