"""Timeouts of the request path."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class AgentTimeouts:
    """Timeouts of the agent's request path."""

    # An entry detects silence after 2 s and then needs time to reconnect.
    entry_silence: timedelta = timedelta(seconds=8)
    # How long a response is kept for the entry to confirm or resume it.
    answer_kept: timedelta = timedelta(seconds=30)


@dataclass(slots=True, frozen=True)
class EntryTimeouts:
    """Timeouts of the entry's request path."""

    check_interval: timedelta = timedelta(milliseconds=100)
    ping_interval: timedelta = timedelta(milliseconds=200)
    # A repeatable request is retried elsewhere after this silence of its upstream, long
    # before the connection is given up. Two heartbeats in a row are unanswered by then.
    fail_over_after: timedelta = timedelta(milliseconds=600)
    # Silence after which the connection to an upstream is replaced.
    silence: timedelta = timedelta(seconds=2)
    # Silence, also on new connections, after which an upstream is lost.
    lost_after: timedelta = timedelta(seconds=5)
    # How long a caller may read nothing while bytes are buffered for it.
    write: timedelta = timedelta(seconds=20)
