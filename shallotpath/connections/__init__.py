"""Bounds on what the clients of a listener hold, and the connections that keep them."""

from ._bodies import Body, BodyBudget
from ._limits import (
    ConnectionLimits,
    DescriptorShares,
    Phase,
    choose_closed,
    overdue_reason,
)
from ._parsing import ParsingAccount, ParsingQueue
from ._protocol import BodyRefusedError, GuardedConnection, release_body
from ._reads import (
    KERNEL_BUFFER_BYTES,
    READ_BYTES,
    READER_LOW_WATER_BYTES,
    SmallReads,
    limit_kernel_buffer,
)
from ._table import ConnectionTable, ParsingTurns

__all__ = [
    "KERNEL_BUFFER_BYTES",
    "READER_LOW_WATER_BYTES",
    "READ_BYTES",
    "Body",
    "BodyBudget",
    "BodyRefusedError",
    "ConnectionLimits",
    "ConnectionTable",
    "DescriptorShares",
    "GuardedConnection",
    "ParsingAccount",
    "ParsingQueue",
    "ParsingTurns",
    "Phase",
    "SmallReads",
    "choose_closed",
    "limit_kernel_buffer",
    "overdue_reason",
    "release_body",
]
