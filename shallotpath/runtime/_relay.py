"""Relays of responses to callers: token streams and plain bodies."""

from __future__ import annotations

from collections.abc import Callable

from ..core import Head
from ..streams import OutgoingCall, SseEvent, SseParser
from ._caller import CallerStream


class InvalidResponseError(Exception):
    """Report a response whose events are missing, unexpected or contradictory."""


class TokenRelay:
    """Relay complete events, and each token exactly once over all attempts."""

    __slots__ = ("call", "caller", "end_event_", "parser_", "version_of")

    def __init__(
        self,
        call: OutgoingCall,
        caller: CallerStream,
        version_of: Callable[[str], str],
    ) -> None:
        self.call = call
        self.caller = caller
        self.version_of = version_of
        self.parser_ = SseParser()
        self.end_event_ = b""

    def begin_attempt(self) -> None:
        """Discard the incomplete event of an interrupted attempt."""
        self.parser_ = SseParser()
        self.end_event_ = b""

    async def feed(self, head: Head, payload: bytes) -> None:
        """Relay the events that a payload completes."""
        expected = self.call.tokens
        parts = []
        for event in self.parser_.feed(payload):
            expected = self._collect(event, expected, parts)
        tokens = expected - self.call.tokens
        if not parts:
            return
        joined = parts[0] if len(parts) == 1 else b"".join(parts)
        # Tokens are recorded before the write, because a token that was passed to the
        # connection must never be sent again.
        self.call.delivered(len(joined), tokens, head.digest)
        if not self.caller.started:
            await self._start(head)
        await self.caller.write(joined)

    async def finish(self, head: Head) -> None:
        """Relay the end event; call after the complete response is verified."""
        if not self.end_event_ or self.parser_.partial:
            raise InvalidResponseError("the stream has no end event")
        await self._start(head)
        await self.caller.write(self.end_event_)

    def _collect(self, event: SseEvent, expected: int, parts: list[bytes]) -> int:
        if self.end_event_:
            raise InvalidResponseError("an event follows the end event")
        count = event.token_count()
        if count is not None:
            if count != expected:
                raise InvalidResponseError(
                    f"{expected} tokens arrived, {count} were announced"
                )
            self.end_event_ = event.raw
            return expected
        if not event.name and not event.data:
            # A comment only keeps the connection alive.
            return expected
        index = event.token_index()
        if index is None or index > expected:
            raise InvalidResponseError("a token is missing")
        if index < expected:
            return expected
        parts.append(event.raw)
        return expected + 1

    async def _start(self, head: Head) -> None:
        if not self.caller.started:
            version = self.version_of(head.digest)
            await self.caller.start(
                head.status, head.content_type, version, head.digest
            )


class PlainRelay:
    """Relay a body unchanged."""

    __slots__ = ("call", "caller", "version_of")

    def __init__(
        self,
        call: OutgoingCall,
        caller: CallerStream,
        version_of: Callable[[str], str],
    ) -> None:
        self.call = call
        self.caller = caller
        self.version_of = version_of

    def begin_attempt(self) -> None:
        """Do nothing; a plain body keeps no state between attempts."""

    async def feed(self, head: Head, payload: bytes) -> None:
        """Relay a part of the body."""
        self.call.delivered(len(payload), 0, head.digest)
        await self._start(head)
        await self.caller.write(payload)

    async def finish(self, head: Head) -> None:
        """Start a response that has no body."""
        await self._start(head)

    async def _start(self, head: Head) -> None:
        if not self.caller.started:
            version = self.version_of(head.digest)
            await self.caller.start(
                head.status, head.content_type, version, head.digest
            )
