"""Ask other upstreams for an answer whose upstream is silent, and keep that one too."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..gateway import Failure, FailureKind
from ._attempt import AttemptError, release_frames
from ._sending import Sending


@dataclass(slots=True, frozen=True)
class HedgeEnd:
    """Tell how a hedge ended: with the beginning of an answer, or with an error."""

    sending: Sending
    error: AttemptError | None


class Hedges:
    """Run the same request at other upstreams until one of them begins to answer.

    A silent upstream may go on at any moment, and another one may refuse or fail, so
    neither is given up for the other before it has answered.
    """

    __slots__ = ("sendings_by_task_",)

    def __init__(self) -> None:
        self.sendings_by_task_: dict[asyncio.Task[None], Sending] = {}

    @property
    def is_empty(self) -> bool:
        """Check whether no hedge is in progress."""
        return not self.sendings_by_task_

    @property
    def unsent(self) -> int:
        """Return the number of hedges that are still connecting."""
        return sum(
            sending.attempt.sent_at is None
            for sending in self.sendings_by_task_.values()
        )

    def start(
        self, sending: Sending, open_hedge: Callable[[Sending], Awaitable[None]]
    ) -> None:
        """Start a hedge; `open_hedge` returns once the answer has begun.

        It is not kept, as a reference back to the exchange would keep the request in
        memory until a garbage collection.
        """
        task = asyncio.ensure_future(_run(sending, open_hedge))
        self.sendings_by_task_[task] = sending
        sending.lease.on_shed = task.cancel

    async def wait(
        self, task: asyncio.Task[object] | None, limit_s: float | None
    ) -> HedgeEnd | None:
        """Wait until a task or a hedge has ended, or the time is over.

        Return the hedge, or `None` if the task has ended or no one has.
        """
        waiting = {*self.sendings_by_task_}
        if task is not None:
            waiting.add(task)
        done, _ = await asyncio.wait(
            waiting, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
        )
        if task in done or not done:
            return None
        ended = done.pop()
        sending = self.sendings_by_task_.pop(ended)
        if ended.cancelled():
            failure = Failure(FailureKind.EXPIRED, "ended for want of memory")
            return HedgeEnd(sending, AttemptError(failure))
        error = ended.exception()
        if error is not None and not isinstance(error, AttemptError):
            raise error
        return HedgeEnd(sending, error)

    def close(self) -> None:
        """End all hedges."""
        for task, sending in self.sendings_by_task_.items():
            discard(task)
            _end(sending)
        self.sendings_by_task_.clear()


async def _run(
    sending: Sending, open_hedge: Callable[[Sending], Awaitable[None]]
) -> None:
    try:
        await open_hedge(sending)
    except AttemptError as error:
        release_frames(error)
        _end(sending)
        raise
    except TimeoutError as error:
        # The deadline passed in the connect; the first attempt has its grace left.
        _end(sending)
        detail = "the deadline has passed"
        raise AttemptError(Failure(FailureKind.EXPIRED, detail)) from error
    except BaseException:
        _end(sending)
        raise


def discard(task: asyncio.Task[object]) -> None:
    """Cancel a task whose result is not needed any more."""
    if task.done() and not task.cancelled():
        # An exception that nobody asks for would be logged.
        task.exception()
    task.cancel()


def _end(sending: Sending) -> None:
    sending.close()
    sending.lease.close()
