"""Bound the bytes that a process holds for all requests and responses together."""

from __future__ import annotations

from collections.abc import Callable, Collection
from enum import StrEnum

from ..connections import BodyBudget

# Used by listeners that are given no budget.
DEFAULT_LIMIT_BYTES = 96 * 1024 * 1024
# Memory of an entry without requests, with room for its tables.
BARE_PROCESS_BYTES = 80 * 1_000_000
# Part of the remaining memory that counted bytes may take. Joining and sending copies
# them for a moment, and the allocator returns freed memory late.
COUNTED_SHARE = 0.5
# A request may hold this share of the free budget (a dynamic threshold): alone it
# gets a lot, and the budget is never used up however many there are.
FREE_SHARE = 1 / 64
# Bodies of requests cannot be passed on in parts, so they get more.
BODY_FREE_SHARE = 1 / 4
# Part of the budget for bodies that have not arrived in full. Beyond it the one goes
# that holds most for longest.
BODIES_SHARE = 0.4
# A request that holds less is neither limited nor shed.
MIN_ALLOWANCE_BYTES = 16 * 1024
# Part of the budget that allowances come from. The rest is for the smallest allowances.
ALLOWANCE_SHARE = 0.6
# Requests are ended above this share of the budget, and new ones refused only if it is
# used up nevertheless.
TIGHT_SHARE = 0.9
# Hysteresis keeps the state from changing with every request.
RELAXED_SHARE = 0.75


# Heads of requests, which aiohttp and its parser keep until the next request of the
# connection: its text twice, and the objects of each field. Measured with 1,000 idle
# connections: 27 KB more each for 15 KB in 2 fields, 56 KB for 15 KB in 100 fields.
HEAD_COPIES = 2
FIELD_BYTES = 300
# Part of a head that is not counted, as a bare process has room for it.
UNCOUNTED_HEAD_BYTES = 8 * 1024


class HeldKind(StrEnum):
    """Name what held bytes are for; kinds that are shed first come first."""

    # Heads of requests that were answered, while their connections are idle.
    KEPT = "kept"
    # Bodies of responses that belong to other requests.
    DISCARDED = "discarded"
    # Bodies of server errors.
    ERROR = "error"
    # Parts of responses that the caller has not taken yet.
    UNSENT = "unsent"
    # Incomplete events of streams.
    EVENT = "event"
    # Parts of responses of which nothing was passed on yet.
    RESPONSE = "response"
    # Bytes of upstreams that are not read yet.
    UNREAD = "unread"
    REQUEST = "request"
    # Heads of requests in progress.
    HEAD = "head"


_REQUEST_KINDS = (HeldKind.REQUEST, HeldKind.HEAD)
_SHED_RANKS = {kind: rank for rank, kind in enumerate(reversed(HeldKind))}


def head_bytes(fields: Collection[tuple[bytes, bytes]], target: str) -> int:
    """Return the counted bytes of a request's head."""
    text_bytes = len(target) + sum(len(name) + len(value) for name, value in fields)
    size = HEAD_COPIES * text_bytes + FIELD_BYTES * len(fields)
    return max(0, size - UNCOUNTED_HEAD_BYTES)


class Lease:
    """Count the bytes that one request holds."""

    __slots__ = ("budget", "bytes_by_kind_", "held_bytes_", "on_shed", "shed_")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.bytes_by_kind_: dict[HeldKind, int] = {}
        self.held_bytes_ = 0
        # Ends the request; called at most once, from within `hold` of any request.
        self.on_shed: Callable[[], None] | None = None
        self.shed_ = False

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for the request."""
        return self.held_bytes_

    @property
    def is_shed(self) -> bool:
        """Check whether the request was ended for want of memory."""
        return self.shed_

    @property
    def exceeds_allowance(self) -> bool:
        """Check whether the response takes more than its share of the free budget."""
        request_bytes = sum(self.bytes_by_kind_.get(kind, 0) for kind in _REQUEST_KINDS)
        return self.held_bytes_ - request_bytes > self.budget.allowance(FREE_SHARE)

    def hold(self, kind: HeldKind, size: int) -> None:
        """Set the bytes held of a kind."""
        change = size - self.bytes_by_kind_.get(kind, 0)
        if change:
            self.bytes_by_kind_[kind] = size
            self.held_bytes_ += change
            self.budget.change(kind, change)

    def drop(self, *kinds: HeldKind) -> None:
        """Give back the bytes of some kinds."""
        for kind in kinds:
            if self.bytes_by_kind_.get(kind):
                self.hold(kind, 0)

    def keep_unsent(self, size: int, on_shed: Callable[[], None]) -> None:
        """Count only the head and the rest of an answer that has been written."""
        self.on_shed = on_shed
        self.drop(*self.bytes_by_kind_.keys() - {HeldKind.UNSENT, HeldKind.HEAD})
        self.hold(HeldKind.UNSENT, size)

    def keep_head(self, on_shed: Callable[[], None]) -> None:
        """Count only the head of a request that was answered."""
        self.on_shed = on_shed
        size = self.bytes_by_kind_.get(HeldKind.HEAD, 0)
        self.drop(*self.bytes_by_kind_)
        self.hold(HeldKind.KEPT, size)

    @property
    def may_be_shed(self) -> bool:
        """Check whether the request may be ended, and frees enough if it is."""
        if self.on_shed is None or self.shed_ or not self.held_bytes_:
            return False
        # Idle connections may hold too much together though each one holds little.
        is_kept = self.bytes_by_kind_.get(HeldKind.KEPT, 0) > 0
        return is_kept or self.held_bytes_ > MIN_ALLOWANCE_BYTES

    def close(self) -> None:
        """Give back everything; may be called twice."""
        self.drop(*self.bytes_by_kind_)
        self.on_shed = None
        self.budget.remove(self)

    def shed_priority(self) -> tuple[int, int]:
        """Return the order in which requests are shed, the largest one first."""
        kinds = [kind for kind, size in self.bytes_by_kind_.items() if size]
        return max((_SHED_RANKS[kind] for kind in kinds), default=0), self.held_bytes_


class MemoryBudget:
    """Share a number of bytes among all requests of a process."""

    __slots__ = (
        "bodies",
        "held_by_kind_",
        "held_bytes_",
        "leases_",
        "limit_bytes",
        "on_change",
        "slowed_reads",
        "tight_",
        "tight_bytes_",
    )

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.bodies = BodyBudget(int(BODIES_SHARE * limit_bytes))
        self.tight_bytes_ = int(TIGHT_SHARE * limit_bytes)
        self.held_bytes_ = 0
        self.held_by_kind_: dict[HeldKind, int] = dict.fromkeys(HeldKind, 0)
        self.leases_: set[Lease] = set()
        self.tight_ = False
        # Times that reading from an upstream waited for want of memory.
        self.slowed_reads = 0
        # Called when the budget becomes tight (True) or is no longer so.
        self.on_change: Callable[[bool], None] | None = None

    @classmethod
    def for_process(cls, memory_bytes: int) -> MemoryBudget:
        """Return the budget of a process that may use `memory_bytes` in all."""
        free_bytes = max(memory_bytes - BARE_PROCESS_BYTES, memory_bytes // 4)
        return cls(int(COUNTED_SHARE * free_bytes))

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for all requests."""
        return self.held_bytes_

    @property
    def held_by_kind(self) -> dict[HeldKind, int]:
        """Return the bytes held by kind."""
        return dict(self.held_by_kind_)

    @property
    def is_tight(self) -> bool:
        """Check whether requests are ended for want of memory."""
        return self.tight_

    @property
    def is_full(self) -> bool:
        """Check whether new requests should be refused."""
        return self.held_bytes_ > self.limit_bytes

    def open(self) -> Lease:
        """Return the lease of a new request."""
        lease = Lease(self)
        self.leases_.add(lease)
        return lease

    def allowance(self, free_share: float) -> int:
        """Return how many bytes one request may hold now."""
        free_bytes = ALLOWANCE_SHARE * self.limit_bytes - self.held_bytes_
        return max(MIN_ALLOWANCE_BYTES, int(free_share * free_bytes))

    def change(self, kind: HeldKind, change: int) -> None:
        """Add to the bytes of a kind; shed requests if the limit is exceeded."""
        self.held_bytes_ += change
        self.held_by_kind_[kind] += change
        if self.tight_:
            self._set_tight(self.held_bytes_ > RELAXED_SHARE * self.limit_bytes)
        elif self.held_bytes_ > self.tight_bytes_:
            self._set_tight(True)
        if change > 0 and self.held_bytes_ > self.tight_bytes_:
            self._shed(self.held_bytes_ - self.tight_bytes_)

    def remove(self, lease: Lease) -> None:
        """Forget a request that has ended."""
        self.leases_.discard(lease)

    def _set_tight(self, tight: bool) -> None:
        changed, self.tight_ = tight is not self.tight_, tight
        if changed and self.on_change is not None:
            self.on_change(tight)

    def _shed(self, excess: int) -> None:
        """End the requests that cost most and serve least until enough is freed."""
        excess -= sum(lease.held_bytes for lease in self.leases_ if lease.is_shed)
        candidates = [lease for lease in self.leases_ if lease.may_be_shed]
        candidates.sort(key=Lease.shed_priority)
        while excess > 0 and candidates:
            lease = candidates.pop()
            excess -= lease.held_bytes
            lease.shed_ = True
            lease.on_shed()
