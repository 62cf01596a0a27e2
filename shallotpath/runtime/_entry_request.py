"""Parsing and validation of callers' requests."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from uuid import uuid4

from aiohttp import web

from ..config import ConfigurationView, Service, ServiceKind, Team
from ..connections import Body, BodyBudget, BodyRefusedError
from ..core import (
    DECODING_ERRORS,
    Clock,
    Code,
    RunState,
    Submit,
    parse_duration,
    sha256_hex,
)
from ..limits import Call
from ._inbound import make_call, parse_model_body
from ._problem import ProblemError

MAX_DEADLINE = timedelta(minutes=10)
# The check for unrepeatable paths and the engine must see the same path, so
# characters that servers decode or normalise differently are refused.
_PATH = re.compile(
    r"(?:[A-Za-z0-9_~-][A-Za-z0-9._~-]*/)*[A-Za-z0-9_~-][A-Za-z0-9._~-]*"
)
_KEY = re.compile(r"[\x21-\x7e]{1,200}")


@dataclass(slots=True, frozen=True)
class EntryLimits:
    """Limits on callers' requests."""

    body_bytes: int = 1024 * 1024
    # For all requests of the process; a body is kept until its request ends.
    total_body_bytes: int = 16 * 1024 * 1024
    header_bytes: int = 8 * 1024
    body_timeout: timedelta = timedelta(seconds=10)
    window_bytes: int = 64 * 1024


@dataclass(slots=True, frozen=True)
class EntryRequest:
    """Hold a validated request."""

    submit: Submit
    call: Call
    service: Service
    team: Team

    @property
    def generation(self) -> bool:
        """Check whether the response is a stream of tokens."""
        return self.service.kind is ServiceKind.MODEL


async def parse_request(
    request: web.Request,
    configuration: ConfigurationView,
    limits: EntryLimits,
    new_key: Callable[[str], str],
    reader: BodyReader,
) -> EntryRequest:
    """Return the validated request or raise `ProblemError`."""
    now = reader.clock.now()
    if configuration.offset < 0:
        raise ProblemError(Code.NO_CONFIGURATION)
    team = find_team(request.headers.get("Authorization", ""), configuration)
    service = configuration.services_by_id.get(request.match_info["service"])
    if service is None:
        raise ProblemError(Code.UNKNOWN_SERVICE)
    path = check_path(request)
    time_left = check_deadline(request.headers.get("X-Deadline"), service)
    key = check_key(request.headers.get("Idempotency-Key"))
    body = await reader.read(team.id)
    if service.kind is ServiceKind.MODEL:
        check_model_body(body)
    submit = Submit(
        request_id=uuid4().hex,
        attempt=0,
        service=service.id,
        path=path,
        team=team.id,
        body=body,
        time_left=time_left,
        priority=team.priority,
        repeatable=service.repeatable(path),
        fingerprint=sha256_hex(
            b"\x00".join([service.id.encode(), path.encode(), body])
        ),
        window_bytes=limits.window_bytes,
    )
    submit = add_key(submit, key, new_key)
    return EntryRequest(submit, make_call(submit, service, now), service, team)


def find_team(header: str, configuration: ConfigurationView) -> Team:
    """Return the team that a bearer token belongs to."""
    scheme, _, token = header.partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        raise ProblemError(Code.UNAUTHORIZED)
    digest = sha256_hex(token.strip().encode(errors="surrogateescape"))
    for team in configuration.teams_by_id.values():
        if team.token_digest == digest:
            return team
    raise ProblemError(Code.UNAUTHORIZED)


def check_path(request: web.Request) -> str:
    """Return the path below the service name or raise `ProblemError`."""
    if request.method != "POST":
        raise malformed("the method is not POST; use POST", status=405)
    if request.query_string:
        raise malformed("the URL has a query; send the parameters in the body")
    path = request.match_info["path"].strip("/")
    if _PATH.fullmatch(path) is None:
        raise malformed(
            "the path is empty or has unusual characters; use letters, digits, "
            "`.`, `_`, `~`, `-` and single slashes"
        )
    return path


def check_deadline(header: str | None, service: Service) -> timedelta:
    """Return the time that the caller or the service allows for the request."""
    if header is None:
        return service.default_deadline
    try:
        time_left = parse_duration(header)
    except ValueError as error:
        raise malformed(f"X-Deadline: {error}") from error
    except OverflowError:
        time_left = timedelta.max
    if not timedelta(0) < time_left <= MAX_DEADLINE:
        raise malformed("X-Deadline is out of range; use more than 0s, at most 10min")
    return time_left


def check_key(header: str | None) -> str:
    """Return the caller's idempotency key, or `""` if there is none."""
    if header is None:
        return ""
    if _KEY.fullmatch(header) is None:
        raise malformed(
            "Idempotency-Key is empty, too long or has unusual characters; use 1 to "
            "200 printable ASCII characters without spaces"
        )
    return header


class BodyReader:
    """Read the body of one request and count it until the request ends."""

    __slots__ = ("bodies", "clock", "counted_", "limits", "request")

    def __init__(
        self,
        request: web.Request,
        bodies: BodyBudget,
        limits: EntryLimits,
        clock: Clock,
    ) -> None:
        self.request = request
        self.bodies = bodies
        self.limits = limits
        self.clock = clock
        self.counted_: Body | None = None

    async def read(self, team: str) -> bytes:
        """Return the body within the limits on its size, transfer time and memory."""
        limits = self.limits
        if (self.request.content_length or 0) > limits.body_bytes:
            raise too_large(limits)
        refuse = self.request.protocol.refuse_for_memory
        self.counted_ = self.bodies.open(team, self.clock.now(), refuse)
        try:
            async with asyncio.timeout(limits.body_timeout.total_seconds()):
                body = await self._read_parts()
        except TimeoutError as error:
            raise slow_body() from error
        except BodyRefusedError as error:
            if error.status == web.HTTPRequestTimeout.status_code:
                raise slow_body() from error
            raise ProblemError(Code.OVERLOADED) from error
        except web.RequestPayloadError as error:
            detail = "the body is broken; check its encoding and length"
            raise malformed(detail) from error
        self.bodies.complete(self.counted_)
        return body

    async def _read_parts(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        try:
            while part := await self.request.content.readany():
                parts.append(part)
                size += len(part)
                if size > self.limits.body_bytes:
                    raise too_large(self.limits)
                self.bodies.receive(self.counted_, len(part), self.clock.now())
            return b"".join(parts)
        finally:
            # An exception of the stream keeps this frame alive until a collection.
            parts.clear()

    def close(self) -> None:
        """Give back the memory of the body."""
        if self.counted_ is not None:
            self.bodies.close(self.counted_)


def check_model_body(body: bytes) -> None:
    """Check the JSON body of a generation request."""
    try:
        model_body = parse_model_body(body)
    except DECODING_ERRORS as error:
        raise malformed(
            f"the body is not a generation request ({error}); send a JSON object with "
            "`prompt` and `max_tokens`"
        ) from error
    if model_body.resume_from is not None:
        raise malformed("`resume_from` is set by the entry; remove it")


def add_key(submit: Submit, key: str, new_key: Callable[[str], str]) -> Submit:
    """Return the request with an idempotency key if it must not run twice."""
    if submit.repeatable:
        return submit
    if key:
        # Different teams may choose the same key.
        return replace(submit, key=f"{submit.service}/{submit.team}/{key}")
    return replace(submit, key=new_key(submit.service), fresh_key=True)


def malformed(detail: str, status: int = 0) -> ProblemError:
    """Return the error for a request that is not valid."""
    return ProblemError(Code.MALFORMED_REQUEST, RunState.NO, detail, status=status)


def slow_body() -> ProblemError:
    """Return the error for a body that does not arrive in time."""
    return malformed("the body did not arrive in time; send it faster", status=408)


def too_large(limits: EntryLimits) -> ProblemError:
    """Return the error for a body above the limit."""
    detail = f"the body exceeds {limits.body_bytes} bytes; send a smaller one"
    return ProblemError(Code.BODY_TOO_LARGE, RunState.NO, detail)
