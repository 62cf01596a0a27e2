"""Time-outs of the request path."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class AgentTimeouts:
    """Time-outs of the agent's request path."""

    # An entry needs 2 s to notice silence and some more for a new connection.
    entry_silence: timedelta = timedelta(seconds=8)
    # How long an answer waits for its reader to confirm or resume it.
    answer_kept: timedelta = timedelta(seconds=30)


@dataclass(slots=True, frozen=True)
class EntryTimeouts:
    """Time-outs of the entry's request path."""

    check_interval: timedelta = timedelta(milliseconds=100)
    ping_interval: timedelta = timedelta(milliseconds=200)
    # A repeatable request leaves a silent upstream long before the connection is
    # given up; two heartbeats in a row were not answered by then.
    fail_over_after: timedelta = timedelta(milliseconds=600)
    silence: timedelta = timedelta(seconds=2)
    lost_after: timedelta = timedelta(seconds=5)
    # How long a caller may take nothing while bytes are held for it.
    write: timedelta = timedelta(seconds=20)
