"""Largest body that a process can hold, for checks of a configuration."""

from __future__ import annotations

from ._memory import BODY_FREE_SHARE, HeldKind, MemoryBudget

# A body is held together with its copy in the request to the upstream.
COPIES_OF_BODY = 2


def max_body_bytes(memory_bytes: int) -> int:
    """Return the largest body that a process without other requests accepts."""
    budget = MemoryBudget.for_process(memory_bytes)
    low, high = 0, budget.limit_bytes
    while low < high:
        size = (low + high + 1) // 2
        lease = budget.open()
        lease.hold(HeldKind.REQUEST, COPIES_OF_BODY * size)
        fits = size <= budget.allowance(BODY_FREE_SHARE)
        lease.close()
        low, high = (size, high) if fits else (low, size - 1)
    return low
