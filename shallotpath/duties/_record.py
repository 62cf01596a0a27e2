"""The record that holds the state of the duties in the log."""

from __future__ import annotations

import msgspec

from ..core import PlatformError


class LeaseRecordError(PlatformError):
    """Report a lease record that cannot be decoded."""


class WindowReport(msgspec.Struct, frozen=True):
    """Hold the final counts of a window; they never change once recorded."""

    window: int
    counts_by_team: dict[str, int]


class LeaseRecord(msgspec.Struct, frozen=True):
    """Hold who has the duties, and the reports that may have been sent.

    A record is written before the reports in it are sent. A successor repeats them
    exactly, as it cannot know which ones have arrived.
    """

    # Name of the process with the number of its start.
    holder: str
    node: str
    token: int
    # The holder has stepped down and sends nothing under this token any more.
    released: bool = False
    # Last window with final counts. `None` before the first report.
    last_window: int | None = None
    # Reports that are not known to have arrived and may still be sent.
    unconfirmed: tuple[WindowReport, ...] = ()


def encode_record(record: LeaseRecord) -> bytes:
    """Encode a record for the log."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> LeaseRecord:
    """Decode a record of the log or raise `LeaseRecordError`."""
    try:
        return msgspec.json.decode(value, type=LeaseRecord)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise LeaseRecordError(
            f"lease record cannot be decoded: {error}; run the same release on all VMs"
        ) from error
