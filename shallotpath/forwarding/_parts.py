"""Objects that all requests of an entry share."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from itertools import count

from ..core import Clock
from ..gateway import CrashSuspects, Dispatcher, Retries
from ._connection import ConnectionPool
from ._deadlines import Deadlines
from ._wire import HeaderCodec


@dataclass(slots=True)
class ForwarderParts:
    """Hold the objects that all requests of an entry share."""

    dispatcher: Dispatcher
    retries: Retries
    suspects: CrashSuspects
    pool: ConnectionPool
    header_codec: HeaderCodec
    clock: Clock
    deadlines: Deadlines = field(default_factory=Deadlines)
    attempt_numbers: Iterator[int] = field(default_factory=count)
    # When this entry stops. Responses then close the connection, so that callers
    # reconnect to other entries.
    stops_at: datetime | None = None
    # Requests that arrive later could not be finished before the stop.
    accepting: bool = True
    # Called with the team of a request that an upstream has begun to run.
    on_begun: Callable[[str], None] | None = None

    @property
    def stopping(self) -> bool:
        """Check whether a stop is planned."""
        return self.stops_at is not None
