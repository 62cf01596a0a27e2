"""The entry of the world: router, retry policy and home set."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from ..claims import HomeSet
from ..core import (
    Accepted,
    Code,
    End,
    Failed,
    Heartbeat,
    HeartbeatReply,
    Message,
    Part,
    Refused,
    RunState,
    Submit,
)
from ..limits import Call
from ..membership import Member, MemberState
from ..routing import RetryPolicy, Router
from ..streams import OutgoingCall
from ._process import Process

if TYPE_CHECKING:
    from ._world import World

SILENCE = timedelta(seconds=2)


@dataclass(slots=True)
class Request:
    """Caller's request until its outcome is known."""

    submit: Submit
    call: Call
    outgoing: OutgoingCall
    member: Member | None = None
    attempt: int = 0
    accepted: bool = False
    heard: datetime | None = None
    tries: int = 0


class Entry(Process):
    """Send callers' requests to agents and report their outcomes."""

    def __init__(self, world: World, member: Member) -> None:
        self.requests_: dict[str, Request] = {}
        super().__init__(world, member)

    def make_parts(self) -> list[Part]:
        """Return the parts that only an entry has."""
        self.homes = HomeSet()
        suspects = self.suspects if self.world.has("suspects") else None
        self.router = Router(
            entry_id=self.id,
            domain=self.domain,
            region=self.member.region,
            configuration=self.checked_configuration,
            membership=self.membership,
            rng=self.random,
            suspects=suspects,
        )
        self.retries = RetryPolicy(self.configuration, self.random)
        return [self.homes, self.router]

    def request(self, submit: Submit, call: Call) -> None:
        """Handle a caller's request."""
        outgoing = OutgoingCall(submit, call.deadline, generation=False)
        request = Request(submit, call, outgoing)
        self.requests_[submit.request_id] = request
        self.retries.started(call)
        self._attempt(request)

    def receive(self, peer: str, message: Message) -> None:
        """Handle an answer of an agent, or pass the message to the node."""
        if isinstance(message, HeartbeatReply):
            self._heard(peer, message)
            return
        if not isinstance(message, Accepted | Refused | End | Failed):
            super().receive(peer, message)
            return
        request = self.requests_.get(message.request_id)
        if request is None or request.attempt != message.attempt:
            return
        request.heard = self.now
        self.router.observe_load(request.member.id, message.load, self.now)
        if isinstance(message, Accepted):
            request.accepted = True
        elif isinstance(message, End):
            self._complete(request)
        elif isinstance(message, Refused):
            self._failed(request, message.code, RunState.NO, message.retry_after)
        else:
            self._failed(request, message.code, message.run)

    def ticked(self) -> None:
        """Send heartbeats to agents with open attempts and fail silent ones."""
        for request in list(self.requests_.values()):
            if request.member is None:
                continue
            self.world.send(self, request.member.address, Heartbeat(0))
            if self.now >= request.call.deadline:
                self._finish(request, Code.DEADLINE_EXCEEDED)
            elif self.now - request.heard >= SILENCE and request.call.repeatable:
                self._failed(request, Code.UPSTREAM_LOST, RunState.UNKNOWN)

    def _heard(self, peer: str, message: HeartbeatReply) -> None:
        for request in list(self.requests_.values()):
            if request.member is None or request.member.address != peer:
                continue
            self.router.observe_load(request.member.id, message.load, self.now)
            if message.load.incarnation == request.member.incarnation:
                request.heard = self.now
            else:
                # The agent that held the call was replaced.
                self._failed(request, Code.UPSTREAM_LOST, RunState.UNKNOWN)

    def _attempt(self, request: Request) -> None:
        request.tries += 1
        member = self._choose(request)
        if member is None:
            repeatable = request.call.repeatable
            code = Code.NO_UPSTREAM if repeatable else Code.CLAIM_UNAVAILABLE
            request.outgoing.unsent()
            self._failed(request, code, RunState.NO)
            return
        submit = request.outgoing.begin(member.id, self.now)
        request.member = member
        request.attempt = submit.attempt
        request.heard = self.now
        self.router.started(member.id)
        warning = self.router.warning(request.call, self.now)
        if warning is not None:
            self.world.send(self, member.address, warning)
        self.world.send(self, member.address, submit)

    def _choose(self, request: Request) -> Member | None:
        submit = request.submit
        if not submit.repeatable:
            return self.home_of(submit.service, submit.key)
        tried = request.outgoing.tried_ids_
        return self.router.choose(request.call, tried, self.now) or (
            self.router.choose(request.call, frozenset(), self.now) if tried else None
        )

    def home_of(self, service: str, key: str) -> Member | None:
        """Return the agent that decides on a key, unless it cannot be reached."""
        home_id = self.homes.home_of(service, key)
        home = self.membership.members_by_id.get(home_id or "")
        if home is None or home.state in (MemberState.SUSPECT, MemberState.DEAD):
            return None
        return home

    def _complete(self, request: Request) -> None:
        member_id = request.member.id
        self.router.ended(member_id)
        self.router.completed(request.call, member_id)
        del self.requests_[request.submit.request_id]
        self.world.record_outcome(request.submit, "answered", RunState.YES)

    def _failed(
        self,
        request: Request,
        code: Code,
        run: RunState,
        retry_after: timedelta | None = None,
    ) -> None:
        if request.member is not None:
            self.router.ended(request.member.id)
            self.router.observe_failure(request.member.id, code, self.now, retry_after)
            request.outgoing.ended(run)
            request.member = None
        delay = None
        if request.outgoing.may_retry(code, run):
            delay = self.retries.next(
                request.call,
                code,
                run,
                request.tries,
                self.now,
                retry_after=retry_after,
            )
        if delay is None:
            self._finish(request, code)
        else:
            self.later(delay, lambda: self._attempt(request))

    def _finish(self, request: Request, code: Code) -> None:
        run = request.outgoing.run
        if request.member is not None:
            self.router.ended(request.member.id)
            run = RunState.UNKNOWN
            request.member = None
        if not self.world.has("run states"):
            run = RunState.NO
        del self.requests_[request.submit.request_id]
        self.world.record_outcome(request.submit, code.value, run)
