"""Attempts of one request: choose an upstream, relay, retry where allowed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from aiohttp import web

from ..config import ConfigurationView
from ..core import Code, FrameError, RunState
from ..membership import Member
from ..streams import OutgoingCall
from ._caller import CallerStream
from ._entry_request import EntryRequest
from ._exchange import AttemptFailure, Exchange
from ._exchanges import Exchanges
from ._ports import RetryPort, RouterPort
from ._problem import ProblemError
from ._relay import InvalidResponseError, PlainRelay, TokenRelay
from ._shell import Shell


@dataclass(slots=True, frozen=True)
class Session:
    """Hold the parts of one request in progress."""

    request: EntryRequest
    call: OutgoingCall
    caller: CallerStream
    relay: TokenRelay | PlainRelay


class EntryCalls:
    """Serve validated requests."""

    __slots__ = ("configuration", "exchanges", "home_of", "retries", "router", "shell")

    def __init__(
        self,
        *,
        shell: Shell,
        configuration: ConfigurationView,
        exchanges: Exchanges,
        router: RouterPort,
        retries: RetryPort,
        home_of: Callable[[str, str], Member | None],
    ) -> None:
        self.shell = shell
        self.configuration = configuration
        self.exchanges = exchanges
        self.router = router
        self.retries = retries
        self.home_of = home_of

    async def serve(
        self, parsed: EntryRequest, request: web.Request
    ) -> web.StreamResponse:
        """Send the complete response to a request, or a problem response."""
        session = self._session(parsed, request)
        self.retries.started(parsed.call)
        failure = await self._attempts_or_fault(session)
        if failure is None:
            session.call.complete()
            return await session.caller.finish()
        session.call.give_up()
        self.shell.telemetry.count("request_failed", {"code": failure.code}, 1)
        return await session.caller.fail(
            ProblemError(
                failure.code, session.call.run, retry_after=failure.retry_after
            )
        )

    def _session(self, parsed: EntryRequest, request: web.Request) -> Session:
        call = OutgoingCall(
            parsed.submit, parsed.call.deadline, generation=parsed.generation
        )
        caller = CallerStream(request, sse=parsed.generation)
        relay = TokenRelay if parsed.generation else PlainRelay
        return Session(parsed, call, caller, relay(call, caller, self._version))

    async def _attempts_or_fault(self, session: Session) -> AttemptFailure | None:
        try:
            return await self._attempts(session)
        except ConnectionError:
            # The caller closed its connection.
            raise
        except Exception as error:
            # The request may have run, so an internal error of the entry must not be
            # reported as a refusal.
            text = f"{type(error).__name__}: {error}"
            self.shell.telemetry.log("request_fault", {"error": text})
            session.call.fault()
            return AttemptFailure(Code.UPSTREAM_FAILED, session.call.run)

    async def _attempts(self, session: Session) -> AttemptFailure | None:
        call = session.call
        tries = 0
        while True:
            tries += 1
            failure = await self._attempt(session)
            if failure is None:
                return None
            delay = self._delay(session, failure, tries)
            if delay is None:
                return failure
            await asyncio.sleep(delay.total_seconds())
            if self.shell.clock.now() >= call.deadline:
                return AttemptFailure(Code.DEADLINE_EXCEEDED, call.run)

    def _delay(
        self, session: Session, failure: AttemptFailure, tries: int
    ) -> timedelta | None:
        if not session.call.may_retry(failure.code, failure.run):
            return None
        now = self.shell.clock.now()
        # A resumed generation goes on behind the last token, so no run is repeated.
        run = failure.run
        if session.call.generation and run is RunState.YES:
            run = RunState.UNKNOWN
        delay = self.retries.next(
            session.request.call,
            failure.code,
            run,
            tries,
            now,
            retry_after=failure.retry_after,
        )
        if delay is None or now + delay >= session.call.deadline:
            return None
        return delay

    async def _attempt(self, session: Session) -> AttemptFailure | None:
        member = self._choose(session)
        if member is None:
            repeatable = session.request.submit.repeatable
            code = Code.NO_UPSTREAM if repeatable else Code.CLAIM_UNAVAILABLE
            session.call.unsent()
            return AttemptFailure(code, RunState.NO)
        now = self.shell.clock.now()
        submit = session.call.begin(member.id, now)
        exchange = Exchange(submit, member, session.caller, session.call.deadline, now)
        try:
            if not self.exchanges.open(exchange, session.request.call):
                exchange.fail(Code.UPSTREAM_LOST, RunState.NO, known_to_agent=True)
            failure = await self._relay(session, exchange)
        finally:
            self.exchanges.close(exchange)
        if failure is None:
            self.router.completed(session.request.call, member.id)
            return None
        session.call.ended(failure.run)
        now = self.shell.clock.now()
        self.router.observe_failure(
            member.id, failure.code, now, retry_after=failure.retry_after
        )
        return failure

    def _choose(self, session: Session) -> Member | None:
        submit = session.request.submit
        now = self.shell.clock.now()
        if not submit.repeatable:
            home = self.home_of(submit.service, submit.key)
            # The request is refused without being sent to a silent agent, because the
            # outcome of a request that was sent would be unknown.
            silent = home is not None and self.exchanges.is_silent(home, now)
            return None if silent else home
        tried = session.call.tried_ids_
        # An upstream that was tried before may be the only one of its service.
        return self.router.choose(session.request.call, tried, now) or (
            self.router.choose(session.request.call, frozenset(), now)
            if tried
            else None
        )

    async def _relay(
        self, session: Session, exchange: Exchange
    ) -> AttemptFailure | None:
        session.relay.begin_attempt()
        try:
            return await self._relay_frames(session, exchange)
        except (InvalidResponseError, FrameError):
            exchange.fail(Code.BAD_FRAME, RunState.YES)
            return AttemptFailure(Code.BAD_FRAME, RunState.YES)
        except ConnectionError:
            if exchange.failure is not None:
                return exchange.failure
            raise

    async def _relay_frames(
        self, session: Session, exchange: Exchange
    ) -> AttemptFailure | None:
        reader = exchange.reader
        while True:
            # A failure by deadline or budget must not wait for the caller.
            payload = exchange.read_available()
            if payload:
                await session.relay.feed(reader.head, payload)
                self.exchanges.record_consumed(exchange, len(payload))
            elif exchange.failure is not None:
                return exchange.failure
            elif reader.complete:
                await session.relay.finish(reader.head)
                return None
            else:
                await exchange.wait()

    def _version(self, digest: str) -> str:
        if not digest:
            return ""
        versions = self.configuration.versions_by_id.values()
        return next((v.version for v in versions if v.digest == digest), digest)
