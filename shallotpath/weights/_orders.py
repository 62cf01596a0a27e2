"""Orders to the engine, with fencing tokens against an older agent of the same VM."""

from __future__ import annotations

from datetime import datetime, timedelta
from functools import singledispatchmethod
from random import Random

from ..core import Effect, EngineLost, EngineObserved, Event, Log, Tick
from ._events import (
    Order,
    OrderDone,
    OrderFenced,
    OrderKind,
    OrderRejected,
    OrderUnknown,
)

# An agent starts at a random token of the next range, so that two agents that read
# the same token from the engine do not issue equal ones.
TOKENS_PER_AGENT = 1_000_000
DEFAULT_SETTLE_TIME = timedelta(seconds=30)
DEFAULT_PAUSE_THRESHOLD = timedelta(seconds=5)
REJECTED_BACKOFF = timedelta(seconds=1)


class EngineOrders:
    """Decide which order to send to the engine next.

    `settle_time` is the longest time after which an order that was sent can still
    take effect: the timeout of an order plus the engine's longest execution of one.
    An engine that checks fencing tokens needs no wait, since it rejects older ones.
    If two ticks are further apart than `pause_threshold`, the agent was paused.
    """

    def __init__(
        self,
        *,
        random: Random,
        settle_time: timedelta = DEFAULT_SETTLE_TIME,
        pause_threshold: timedelta = DEFAULT_PAUSE_THRESHOLD,
    ) -> None:
        self.random = random
        self.settle_time = settle_time
        self.pause_threshold = pause_threshold
        self.engine_: EngineObserved | None = None
        self.open_order_: Order | None = None
        self.unsettled_order_: Order | None = None
        self.superseded_ = False
        self.recheck_ = False
        self.loaded_digest_ = ""
        self.fencing_ = 0
        self.next_order_at_: datetime | None = None
        self.last_tick_at_: datetime | None = None

    @property
    def serving_digest(self) -> str:
        """Return the digest that the engine last reported, or an empty string."""
        return self.engine_.digest if self.engine_ else ""

    @property
    def confirmed_digest(self) -> str:
        """Return the serving digest, or an empty string if it is not certain."""
        switching = self.open_order_ and self.open_order_.kind is OrderKind.SWITCH
        if switching or self.unsettled_order_ or self.superseded_:
            return ""
        return self.serving_digest

    @singledispatchmethod
    def reduce(self, event: Event, now: datetime) -> list[Effect]:
        """Handle an event and return effects."""
        return []

    @reduce.register
    def _(self, event: Tick, now: datetime) -> list[Effect]:
        paused = (
            self.last_tick_at_ is not None
            and now - self.last_tick_at_ > self.pause_threshold
        )
        self.last_tick_at_ = now
        if not paused or self.fencing_ == 0:
            return []
        # Another agent may have started during the pause, so the engine's state must
        # be read again before the next order.
        self.engine_ = None
        self.next_order_at_ = now + self.settle_time
        return [Log("agent_paused", {})]

    @reduce.register
    def _(self, event: EngineObserved, now: datetime) -> list[Effect]:
        if self.fencing_ and event.fencing > self.fencing_:
            return self._supersede(event.fencing)
        old = self.engine_
        if old is not None and old.incarnation != event.incarnation:
            self.loaded_digest_ = ""
        self.engine_ = event
        if self.fencing_ == 0:
            self._start(event, now)
        return self._settle_unknown(event, now)

    @reduce.register
    def _(self, event: EngineLost, now: datetime) -> list[Effect]:
        self.engine_ = None
        self.loaded_digest_ = ""
        return []

    @reduce.register
    def _(self, event: OrderDone, now: datetime) -> list[Effect]:
        if event.order != self.open_order_:
            return []
        self.open_order_ = None
        engine = self.engine_
        if engine is None or engine.incarnation != event.incarnation:
            return []
        if event.order.kind is OrderKind.UNLOAD:
            return []
        self.loaded_digest_ = event.order.digest
        self.engine_ = with_digest(engine, event.digest)
        return [Log(f"engine_{event.order.kind}", {"digest": event.order.digest})]

    @reduce.register
    def _(self, event: OrderFenced, now: datetime) -> list[Effect]:
        self.open_order_ = None
        return self._supersede(event.order.fencing)

    @reduce.register
    def _(self, event: OrderRejected, now: datetime) -> list[Effect]:
        if event.order != self.open_order_:
            return []
        self.open_order_ = None
        self.loaded_digest_ = ""
        self.recheck_ = event.order.kind is not OrderKind.UNLOAD
        self.next_order_at_ = now + REJECTED_BACKOFF
        return [Log("engine_rejected_order", {"digest": event.order.digest})]

    @reduce.register
    def _(self, event: OrderUnknown, now: datetime) -> list[Effect]:
        if event.order != self.open_order_:
            return []
        self.open_order_ = None
        self.unsettled_order_ = event.order
        self.engine_, checked = None, self.engine_
        if checked is None or not checked.checks_fencing:
            self.next_order_at_ = now + self.settle_time
        return [Log("engine_order_unknown", {"order": event.order.kind})]

    def next_order(
        self, target: str, *, complete: bool, may_switch: bool, now: datetime
    ) -> Order | None:
        """Return the order to send now, if any; it stays open until its outcome."""
        if not target or not complete or not self._may_order(now):
            return None
        if self.engine_.digest == target:
            return None
        if self.loaded_digest_ != target:
            return self._issue(OrderKind.LOAD, target)
        return self._issue(OrderKind.SWITCH, target) if may_switch else None

    def unload(self, digest: str, now: datetime) -> Order | None:
        """Return the order that frees a version's memory, if it may be sent now."""
        return self._issue(OrderKind.UNLOAD, digest) if self._may_order(now) else None

    def rechecked(self) -> None:
        """Record that the staged chunks were read back and their digests compared."""
        self.recheck_ = False

    def _may_order(self, now: datetime) -> bool:
        blocked = (
            self.open_order_
            or self.unsettled_order_
            or self.superseded_
            or self.recheck_
        )
        if blocked or self.engine_ is None:
            return False
        return self.next_order_at_ is None or now >= self.next_order_at_

    def _issue(self, kind: OrderKind, digest: str) -> Order:
        # Each order has a new token, so the engine can reject one that arrives late.
        self.fencing_ += 1
        self.open_order_ = Order(kind, digest, self.fencing_)
        return self.open_order_

    def _start(self, event: EngineObserved, now: datetime) -> None:
        first = (event.fencing // TOKENS_PER_AGENT + 1) * TOKENS_PER_AGENT
        self.fencing_ = first + self.random.randrange(TOKENS_PER_AGENT // 2)
        if not event.checks_fencing:
            self.next_order_at_ = now + self.settle_time

    def _settle_unknown(self, event: EngineObserved, now: datetime) -> list[Effect]:
        order = self.unsettled_order_
        if order is None:
            return []
        done = order.kind is OrderKind.SWITCH and event.digest == order.digest
        # An engine that does not check tokens may still carry the order out later.
        waiting = not event.checks_fencing and now < (self.next_order_at_ or now)
        if not done and waiting:
            return []
        self.unsettled_order_ = None
        self.loaded_digest_ = order.digest if done else ""
        return [Log("engine_order_settled", {"done": str(done).lower()})]

    def _supersede(self, fencing: int) -> list[Effect]:
        if self.superseded_:
            return []
        self.superseded_ = True
        return [Log("agent_superseded", {"fencing": str(fencing)})]


def with_digest(engine: EngineObserved, digest: str) -> EngineObserved:
    """Return the observation with the digest that an order has set."""
    return EngineObserved(
        engine.incarnation,
        digest,
        engine.cold,
        engine.running,
        engine.held_bytes,
        engine.memory_bytes,
        engine.fencing,
        engine.checks_fencing,
    )
