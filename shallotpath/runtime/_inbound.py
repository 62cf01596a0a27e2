"""Records of the calls that an agent holds."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import StrEnum
from typing import Annotated

import msgspec

from ..config import Service, ServiceKind
from ..core import Code, Failed, Refused, RunState, Submit, sha256_hex
from ..limits import Call
from ..streams import ResponseWriter

PROMPT_PREFIX_CHARACTERS = 256


class CallState(StrEnum):
    """List the stages of a call at an agent."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    RUNNING = "running"
    ENDED = "ended"
    FAILED = "failed"
    REFUSED = "refused"


ACTIVE_STATES = frozenset({CallState.QUEUED, CallState.CLAIMING, CallState.RUNNING})
# Reported for a request of which the agent has no record.
UNKNOWN_STATE = "unknown"


@dataclass(slots=True, frozen=True)
class Failure:
    """Describe why a call failed and whether it ran."""

    code: Code
    run: RunState


@dataclass(slots=True)
class InboundCall:
    """Hold one attempt of a request at an agent."""

    submit: Submit
    call: Call
    peer: str
    writer: ResponseWriter
    state: CallState = CallState.QUEUED
    task: asyncio.Task | None = None
    room: asyncio.Event = field(default_factory=asyncio.Event)
    decision_future: asyncio.Future | None = None
    stop_failure: Failure | None = None
    outcome: Refused | Failed | None = None
    # Whether the engine may have received the request.
    handed_over: bool = False
    output_seen: bool = False
    claimed: bool = False
    # Whether the call runs on without a reader.
    detached: bool = False
    # Whether further output is read from the engine and thrown away.
    discarded: bool = False
    incarnation: str = ""
    tokens: int = 0
    token_at: float = 0.0
    token_interval: float = 1.0
    done_at: datetime | None = None

    @property
    def active(self) -> bool:
        """Check whether the call is queued or runs."""
        return self.state in ACTIVE_STATES

    @property
    def run_id(self) -> str:
        """Return the id of this attempt on the engine."""
        return f"{self.submit.request_id}.{self.submit.attempt}"

    @property
    def run(self) -> RunState:
        """Return whether the call ran, as far as the agent knows."""
        if self.output_seen:
            return RunState.YES
        return RunState.UNKNOWN if self.handed_over else RunState.NO

    def set_decision(self, decision: object) -> None:
        """Pass the decision on the key to the task that waits for it."""
        if self.decision_future is not None and not self.decision_future.done():
            self.decision_future.set_result(decision)


class ModelBody(msgspec.Struct):
    """Decode the fields of a generation request that admission needs."""

    prompt: str
    max_tokens: Annotated[int, msgspec.Meta(ge=0)] | None = None
    resume_from: int | None = None


_body_decoder = msgspec.json.Decoder(ModelBody)


def parse_model_body(body: bytes) -> ModelBody:
    """Decode a generation request or raise `msgspec.DecodeError`."""
    return _body_decoder.decode(body)


def make_call(submit: Submit, service: Service, now: datetime) -> Call:
    """Describe a submitted request for admission and routing."""
    max_tokens = 0
    prefix = ""
    if service.kind is ServiceKind.MODEL:
        model_body = parse_model_body(submit.body)
        max_tokens = (
            service.default_max_tokens
            if model_body.max_tokens is None
            else model_body.max_tokens
        )
        prefix = sha256_hex(model_body.prompt[:PROMPT_PREFIX_CHARACTERS].encode())
    return Call(
        submit.request_id,
        submit.service,
        submit.team,
        now + max(submit.time_left, timedelta(0)),
        submit.priority,
        len(submit.body),
        max_tokens,
        submit.fingerprint,
        prefix,
        submit.key,
        submit.repeatable,
    )


def engine_body(submit: Submit, call: Call, service: Service) -> bytes:
    """Return the body for the engine, with token limit and resume position."""
    if service.kind is not ServiceKind.MODEL:
        return submit.body
    body = msgspec.json.decode(submit.body)
    body["max_tokens"] = call.max_tokens
    body["resume_from"] = submit.resume_from
    return msgspec.json.encode(body)
