"""Run of a call on the engine: weights check and credit-based streaming."""

from __future__ import annotations

from collections.abc import Callable

from ..config import Service, ServiceKind
from ..core import Code, RunState
from ._engine_client import EngineAnswer, EngineClient, EngineRunError
from ._engine_watch import EngineWatch
from ._inbound import Failure, InboundCall, engine_body
from ._token_batch import TokenBatches

READ_BYTES = 16 * 1024
# A call reports its memory to the gate each time it has grown by this many tokens.
HELD_REPORT_TOKENS = 16
SSE_BOUNDARY = b"\n\n"
# Larger output is sent at once, as it fills a frame of its own anyway.
MAX_BATCHED_BYTES = 2 * 1024


class EngineRun:
    """Run calls on the engine and stream their answers to the entries."""

    __slots__ = ("batches", "client", "flush", "report_held", "watch")

    def __init__(
        self,
        client: EngineClient,
        watch: EngineWatch,
        flush: Callable[[InboundCall], None],
        report_held: Callable[[str, int], None],
    ) -> None:
        self.client = client
        self.watch = watch
        self.flush = flush
        self.report_held = report_held
        self.batches = TokenBatches(flush)

    async def run(
        self, call: InboundCall, service: Service, digest: str
    ) -> Failure | None:
        """Run a call to its end and return its failure, or `None` on success."""
        body = engine_body(call.submit, call.call, service)
        call.handed_over = True
        try:
            async with self.client.run(call.run_id, call.submit, body) as answer:
                return await self._relay(call, service, digest, answer)
        except EngineRunError as error:
            call.handed_over = error.run is not RunState.NO
            return await self._failure_after_error(call)

    async def _relay(
        self, call: InboundCall, service: Service, digest: str, answer: EngineAnswer
    ) -> Failure | None:
        call.incarnation = answer.incarnation
        is_model = service.kind is ServiceKind.MODEL
        if is_model and answer.status != 200:
            return Failure(Code.UPSTREAM_FAILED, RunState.UNKNOWN)
        if is_model and answer.digest != digest:
            return Failure(Code.WEIGHTS_NOT_READY, RunState.YES)
        call.output_seen = True
        call.writer.begin(answer.status, answer.content_type, answer.digest)
        self.flush(call)
        while payload := await answer.read(await self._wait_for_room(call)):
            self._write_output(call, service, payload)
        return None

    async def _wait_for_room(self, call: InboundCall) -> int:
        # While the window is full, the engine's answer is not read, so that TCP flow
        # control slows the engine down to the pace of the caller.
        while call.writer.room <= 0 and not call.discarded:
            if call.detached:
                call.discarded = True
                break
            call.room.clear()
            await call.room.wait()
        return READ_BYTES if call.discarded else min(READ_BYTES, call.writer.room)

    def _write_output(
        self, call: InboundCall, service: Service, payload: bytes
    ) -> None:
        if not call.discarded:
            is_first = not call.writer.length
            call.writer.write(payload)
            self._flush_soon(call, at_once=is_first)
        if service.kind is ServiceKind.MODEL:
            tokens_before = call.tokens
            call.tokens += payload.count(SSE_BOUNDARY)
            if call.tokens // HELD_REPORT_TOKENS > tokens_before // HELD_REPORT_TOKENS:
                size = len(call.submit.body) + call.tokens * service.bytes_per_token
                self.report_held(call.call.request_id, size)

    def _flush_soon(self, call: InboundCall, *, at_once: bool) -> None:
        if at_once or call.writer.pending_bytes > MAX_BATCHED_BYTES:
            self.flush(call)
        else:
            self.batches.add(call)

    async def _failure_after_error(self, call: InboundCall) -> Failure:
        # An interrupted answer may be the first sign of a crash, which affects all
        # calls in flight, so the engine is checked at once.
        await self.watch.observe()
        return call.stop_failure or Failure(Code.UPSTREAM_FAILED, call.run)
