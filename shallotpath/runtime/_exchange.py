"""State of one attempt at the entry."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import singledispatch

from ..core import (
    Accepted,
    Code,
    Credit,
    Data,
    End,
    Failed,
    Head,
    Message,
    Refused,
    RunState,
    StatusQuery,
    StatusReply,
    Submit,
)
from ..membership import Member
from ..streams import ResponseReader
from ._caller import CallerStream
from ._inbound import UNKNOWN_STATE

# Time without an acknowledgement after which the entry queries the agent.
STATUS_QUERY_AFTER = timedelta(seconds=1)


@dataclass(slots=True, frozen=True)
class AttemptFailure:
    """Describe why an attempt ended early and whether the agent knows that it ended."""

    code: Code
    run: RunState
    retry_after: timedelta | None = None
    known_to_agent: bool = False


class Exchange:
    """Receive the agent's frames for one attempt and detect its failure."""

    __slots__ = (
        "accepted_",
        "caller",
        "changed_",
        "deadline",
        "failure_",
        "incarnation_",
        "member",
        "queried_at_",
        "reader",
        "submit",
    )

    def __init__(
        self,
        submit: Submit,
        member: Member,
        caller: CallerStream,
        deadline: datetime,
        now: datetime,
    ) -> None:
        self.submit = submit
        self.member = member
        self.caller = caller
        self.deadline = deadline
        self.reader = ResponseReader(
            submit.request_id, submit.attempt, submit.window_bytes, now
        )
        self.accepted_ = False
        self.incarnation_ = member.incarnation
        self.queried_at_ = now
        self.failure_: AttemptFailure | None = None
        self.changed_ = asyncio.Event()

    @property
    def held_bytes(self) -> int:
        """Return the bytes buffered for the caller."""
        return self.reader.held_bytes + self.caller.held_bytes

    @property
    def run(self) -> RunState:
        """Return whether the attempt ran, as far as the entry knows."""
        return RunState.UNKNOWN if self.reader.head is None else RunState.YES

    @property
    def accepted(self) -> bool:
        """Check whether the agent acknowledged the attempt."""
        return self.accepted_

    @property
    def failure(self) -> AttemptFailure | None:
        """Return why the attempt ended early, if it did."""
        return self.failure_

    def fail(
        self,
        code: Code,
        run: RunState,
        retry_after: timedelta | None = None,
        *,
        known_to_agent: bool = False,
    ) -> None:
        """End the attempt early; later calls do not change the reason."""
        if self.failure_ is None and not self.reader.complete:
            self.failure_ = AttemptFailure(code, run, retry_after, known_to_agent)
            self.changed_.set()

    def receive(self, message: Message, now: datetime) -> list[Message]:
        """Receive a message about this attempt and return the messages to send back."""
        return _receive(message, self, now)

    def _receive_frame(
        self, message: Head | Data | End, now: datetime
    ) -> list[Message]:
        self.accepted_ = True
        replies = self.reader.receive(message, now)
        if self.reader.broken:
            self.fail(Code.BAD_FRAME, RunState.YES)
        self.changed_.set()
        return replies

    def _receive_accepted(self, message: Accepted) -> None:
        self.accepted_ = True
        # The agent may have restarted since the member list was updated.
        self.incarnation_ = message.incarnation

    def _receive_status_reply(self, message: StatusReply) -> None:
        if message.incarnation != self.incarnation_:
            # The agent restarted and does not know what its previous incarnation ran.
            self.fail(Code.UPSTREAM_LOST, RunState.UNKNOWN)
        elif message.state != UNKNOWN_STATE:
            self.accepted_ = True
        elif self.accepted_:
            self.fail(Code.UPSTREAM_LOST, self.run)
        else:
            self.fail(Code.UPSTREAM_LOST, RunState.NO, known_to_agent=True)

    def check_incarnation(self, incarnation: str) -> None:
        """Fail the attempt if the member list shows another incarnation."""
        if incarnation not in (self.member.incarnation, self.incarnation_):
            self.fail(Code.UPSTREAM_LOST, self.run)

    def poll(self, now: datetime) -> list[Message]:
        """Check the deadline and query the agent about a silent attempt."""
        if now >= self.deadline:
            self.fail(Code.DEADLINE_EXCEEDED, self.run)
        if self.failure_ is not None:
            return []
        if self.accepted_:
            return self.reader.poll(now)
        if now - self.queried_at_ < STATUS_QUERY_AFTER:
            return []
        self.queried_at_ = now
        return [self.status_query()]

    def status_query(self) -> StatusQuery:
        """Return a query for the state of this attempt."""
        return StatusQuery(self.submit.request_id, self.submit.attempt)

    def resume_messages(self) -> list[Message]:
        """Return the messages that resume the attempt on a new connection."""
        if self.accepted_:
            return [self.status_query(), self.reader.resume()]
        return [self.status_query()]

    def read_available(self) -> bytes:
        """Return all bytes received in order that have not been read."""
        parts = []
        while part := self.reader.read():
            parts.append(part)
        return b"".join(parts)

    def consume(self, size: int) -> Credit | None:
        """Release bytes that the caller consumed and return a credit if one is due."""
        return self.reader.consume(size)

    async def wait(self) -> None:
        """Wait for the next frame or failure."""
        self.changed_.clear()
        await self.changed_.wait()


# A singledispatchmethod builds a new wrapper on each access, which is too costly for
# every frame.
@singledispatch
def _receive(message: Message, exchange: Exchange, now: datetime) -> list[Message]:
    raise TypeError(f"{type(message).__name__} is not a message about an attempt")


@_receive.register(Head)
@_receive.register(Data)
@_receive.register(End)
def _(message: Head | Data | End, exchange: Exchange, now: datetime) -> list[Message]:
    return exchange._receive_frame(message, now)


@_receive.register
def _(message: Accepted, exchange: Exchange, now: datetime) -> list[Message]:
    exchange._receive_accepted(message)
    return []


@_receive.register
def _(message: Refused, exchange: Exchange, now: datetime) -> list[Message]:
    exchange.fail(message.code, RunState.NO, message.retry_after, known_to_agent=True)
    return []


@_receive.register
def _(message: Failed, exchange: Exchange, now: datetime) -> list[Message]:
    exchange.fail(message.code, message.run, known_to_agent=True)
    return []


@_receive.register
def _(message: StatusReply, exchange: Exchange, now: datetime) -> list[Message]:
    exchange._receive_status_reply(message)
    return []
