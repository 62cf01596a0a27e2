"""Asyncio shell of a process: passes events to its node and performs its effects."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod
from typing import Protocol

from ..core import (
    Append,
    AppendDone,
    AppendFailed,
    CancelTimer,
    Clock,
    Count,
    Effect,
    Event,
    Gauge,
    Log,
    Message,
    Node,
    PlatformError,
    Received,
    Send,
    SetTimer,
    Tick,
    TimerFired,
    Trace,
)
from ._platform_client import PlatformClient
from ._security import Security
from ._transport import Stamper, Transport

TICK_INTERVAL_S = 0.2

Handler = Callable[[str, Message], None]


class Telemetry(Protocol):
    """Receive counters, gauges, log lines and timeline events."""

    def count(self, name: str, labels: dict[str, str], amount: int) -> None:
        """Add to a counter."""
        ...

    def gauge(self, name: str, labels: dict[str, str], value: float) -> None:
        """Set a gauge."""
        ...

    def log(self, kind: str, fields: dict[str, str]) -> None:
        """Write a log line about a change of state."""
        ...

    def trace(self, kind: str, fields: dict[str, str]) -> None:
        """Record an event for the timeline."""
        ...


class Shell:
    """Run the node of a process: perform effects, keep timers, route messages.

    A message goes to the handler registered for its type in `handlers_by_type`, or to
    the node as `Received` if there is none. Handlers serve the data frames, which need
    no decision by the node.
    """

    __slots__ = (
        "bulk",
        "clock",
        "handlers_by_type",
        "node",
        "peer",
        "platform",
        "tasks_",
        "telemetry",
        "timers_by_name_",
    )

    def __init__(
        self,
        *,
        node: Node,
        clock: Clock,
        telemetry: Telemetry,
        identity: str,
        peer_address: str = "tcp://127.0.0.1:0",
        bulk_address: str = "tcp://127.0.0.1:0",
        platform: PlatformClient | None = None,
        stamper: Stamper | None = None,
        security: Security | None = None,
        make_transport: Callable[..., Transport] = Transport,
    ) -> None:
        self.node = node
        self.clock = clock
        self.telemetry = telemetry
        self.platform = platform
        self.peer = make_transport(
            identity, peer_address, self.receive, stamper, security
        )
        self.bulk = make_transport(
            identity, bulk_address, self.receive, stamper, security
        )
        self.handlers_by_type: dict[type, Handler] = {}
        self.timers_by_name_: dict[str, asyncio.TimerHandle] = {}
        self.tasks_: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Bind the sockets and start to dispatch ticks."""
        await self.peer.start()
        await self.bulk.start()
        self.spawn(self._tick())

    async def stop(self) -> None:
        """Cancel all tasks and close the sockets."""
        for timer in self.timers_by_name_.values():
            timer.cancel()
        self.timers_by_name_.clear()
        tasks = list(self.tasks_)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.peer.stop()
        await self.bulk.stop()

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run a coroutine until it ends or the shell stops."""
        task = asyncio.create_task(coroutine)
        self.tasks_.add(task)
        task.add_done_callback(self._finish_task)
        return task

    def receive(self, peer: str, message: Message) -> None:
        """Route a message from a peer."""
        handler = self.handlers_by_type.get(type(message))
        if handler is not None:
            handler(peer, message)
        else:
            self.dispatch(Received(peer, message))

    def dispatch(self, event: Event) -> None:
        """Pass an event to the node and perform the effects that it returns."""
        for effect in self.node.reduce(event, self.clock.now()):
            self.perform(effect)

    @singledispatchmethod
    def perform(self, effect: Effect) -> None:
        """Perform one effect."""
        raise TypeError(
            f"no handler for the effect {type(effect).__name__}; register one"
        )

    @perform.register
    def _(self, effect: Send) -> None:
        transport = self.bulk if effect.bulk else self.peer
        if not transport.send(effect.peer, effect.message):
            self.telemetry.count("send_dropped", {}, 1)

    @perform.register
    def _(self, effect: SetTimer) -> None:
        self._cancel_timer(effect.name)
        loop = asyncio.get_running_loop()
        self.timers_by_name_[effect.name] = loop.call_later(
            effect.delay.total_seconds(), self._fire_timer, effect.name
        )

    @perform.register
    def _(self, effect: CancelTimer) -> None:
        self._cancel_timer(effect.name)

    @perform.register
    def _(self, effect: Append) -> None:
        self.spawn(self._append(effect))

    @perform.register
    def _(self, effect: Count) -> None:
        self.telemetry.count(effect.name, effect.labels, effect.amount)

    @perform.register
    def _(self, effect: Gauge) -> None:
        self.telemetry.gauge(effect.name, effect.labels, effect.value)

    @perform.register
    def _(self, effect: Log) -> None:
        self.telemetry.log(effect.kind, effect.fields)

    @perform.register
    def _(self, effect: Trace) -> None:
        self.telemetry.trace(effect.kind, effect.fields)

    def _fire_timer(self, name: str) -> None:
        del self.timers_by_name_[name]
        self.dispatch(TimerFired(name))

    def _cancel_timer(self, name: str) -> None:
        timer = self.timers_by_name_.pop(name, None)
        if timer is not None:
            timer.cancel()

    async def _append(self, effect: Append) -> None:
        try:
            if self.platform is None:
                raise PlatformError("no platform is configured; set url in [platform]")
            first = await self.platform.append(effect.stream, effect.records)
        except PlatformError:
            self.dispatch(AppendFailed(effect.stream, effect.token))
        else:
            self.dispatch(AppendDone(effect.stream, effect.token, first))

    async def _tick(self) -> None:
        while True:
            self.dispatch(Tick())
            self._report_traffic()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _report_traffic(self) -> None:
        for name, transport in (("peer", self.peer), ("bulk", self.bulk)):
            labels = {"socket": name}
            self.telemetry.gauge("bad_frames", labels, transport.bad_frames_)
            self.telemetry.gauge("sent_bytes", labels, transport.sent_bytes_)
            self.telemetry.gauge("received_bytes", labels, transport.received_bytes_)

    def _finish_task(self, task: asyncio.Task) -> None:
        self.tasks_.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            self.telemetry.count("task_failed", {"error": type(error).__name__}, 1)
            self.telemetry.log(
                "task_failed", {"error": f"{type(error).__name__}: {error}"}
            )
