"""Open attempts of an entry and the health of the connections that carry them."""

from __future__ import annotations

from datetime import datetime
from functools import singledispatchmethod

from ..core import (
    Accepted,
    Cancel,
    Code,
    Data,
    End,
    Failed,
    Head,
    Heartbeat,
    HeartbeatReply,
    Message,
    Refused,
    RunState,
    StatusReply,
)
from ..limits import Call
from ..membership import Member, MembershipView
from ..streams import (
    HeartbeatAction,
    Heartbeats,
    PeerLost,
    Probe,
    ReplaceConnection,
    SlowReaderBudget,
)
from ._exchange import Exchange
from ._ports import RouterPort
from ._shell import Shell
from ._timeouts import EntryTimeouts

# Messages that report the load of the agent.
MESSAGES_WITH_LOAD = (Accepted, Refused, End, Failed)


class Exchanges:
    """Route frames to attempts, check connections and limit the buffered bytes."""

    def __init__(
        self,
        *,
        shell: Shell,
        membership: MembershipView,
        router: RouterPort,
        timeouts: EntryTimeouts,
        budget: SlowReaderBudget,
    ) -> None:
        self.shell = shell
        self.membership = membership
        self.router = router
        self.timeouts = timeouts
        self.budget = budget
        self.heartbeats = Heartbeats(
            timeouts.ping_interval, timeouts.silence, timeouts.lost_after
        )
        self.exchanges_by_id_: dict[str, Exchange] = {}
        self.calls_by_id_: dict[str, Call] = {}
        self.ids_by_peer_: dict[str, set[str]] = {}

    def register(self) -> None:
        """Register handlers for messages from agents."""
        for kind in (Accepted, Refused, Head, Data, End, Failed, StatusReply):
            self.shell.handlers_by_type[kind] = self._on_message
        self.shell.handlers_by_type[HeartbeatReply] = self._on_heartbeat_reply

    def open(self, exchange: Exchange, call: Call) -> bool:
        """Send an attempt and return whether the send queue accepted it."""
        request_id = exchange.submit.request_id
        self.exchanges_by_id_[request_id] = exchange
        self.calls_by_id_[request_id] = call
        self.ids_by_peer_.setdefault(exchange.member.address, set()).add(request_id)
        self.router.started(exchange.member.id)
        address = exchange.member.address
        warning = self.router.warning(call, self.shell.clock.now())
        if warning is not None:
            self.shell.peer.send(address, warning)
        return self.shell.peer.send(address, exchange.submit)

    def close(self, exchange: Exchange) -> None:
        """Remove an attempt; cancel it at the agent unless the agent knows its end."""
        submit = exchange.submit
        del self.exchanges_by_id_[submit.request_id]
        del self.calls_by_id_[submit.request_id]
        self._remove_from_peer(exchange.member.address, submit.request_id)
        self.budget.remove(submit.request_id)
        self.router.ended(exchange.member.id)
        known = exchange.failure is not None and exchange.failure.known_to_agent
        if not exchange.reader.complete and not known:
            self._send(exchange, Cancel(submit.request_id, submit.attempt))

    def record_consumed(self, exchange: Exchange, size: int) -> None:
        """Record bytes that the caller consumed and send a credit if one is due."""
        credit = exchange.consume(size)
        if credit is not None:
            self._send(exchange, credit)
        self._update_budget(exchange)

    def check(self) -> None:
        """Check heartbeats, deadlines, incarnations and buffered bytes."""
        now = self.shell.clock.now()
        for action in self.heartbeats.poll(list(self.ids_by_peer_), now):
            self._handle_action(action)
        for exchange in list(self.exchanges_by_id_.values()):
            member = self.membership.members_by_id.get(exchange.member.id)
            if member is not None:
                exchange.check_incarnation(member.incarnation)
            self._fail_over(exchange, now)
            for message in exchange.poll(now):
                self._send(exchange, message)
            self._update_budget(exchange)
        self._cancel_slow_readers(now)

    def is_silent(self, member: Member, now: datetime) -> bool:
        """Check whether an agent in use has been silent for the fail-over time."""
        silence = self.heartbeats.silent_for(member.address, now)
        return silence >= self.timeouts.fail_over_after

    def _fail_over(self, exchange: Exchange, now: datetime) -> None:
        """Give up a silent agent if another one can take the request."""
        member = exchange.member
        if not exchange.submit.repeatable or not self.is_silent(member, now):
            return
        call = self.calls_by_id_[exchange.submit.request_id]
        if self.router.choose(call, {member.id}, now) is not None:
            exchange.fail(Code.UPSTREAM_LOST, exchange.run)

    def _on_message(self, peer: str, message: Message) -> None:
        now = self.shell.clock.now()
        self.heartbeats.record_activity(peer, now)
        exchange = self.exchanges_by_id_.get(message.request_id)
        if exchange is None or exchange.submit.attempt != message.attempt:
            self.shell.telemetry.count("late_frames", {}, 1)
            return
        if isinstance(message, MESSAGES_WITH_LOAD):
            self.router.observe_load(exchange.member.id, message.load, now)
        held = exchange.reader.held_bytes
        for reply in exchange.receive(message, now):
            self._send(exchange, reply)
        grown = exchange.reader.held_bytes - held
        if grown:
            self._record_growth(exchange, grown, now)

    def _record_growth(
        self, exchange: Exchange, added_bytes: int, now: datetime
    ) -> None:
        # The write buffer of the caller's connection is counted after each write and in
        # the periodic check. It is counted here only when the budget is exceeded.
        self.budget.grow(exchange.submit.request_id, added_bytes, now)
        if self.budget.excess > 0:
            self._update_budget(exchange)
            self._cancel_slow_readers(now)

    def _on_heartbeat_reply(self, peer: str, reply: HeartbeatReply) -> None:
        now = self.shell.clock.now()
        self.heartbeats.record_activity(peer, now)
        request_id = next(iter(self.ids_by_peer_.get(peer, ())), None)
        if request_id is not None:
            member = self.exchanges_by_id_[request_id].member
            self.router.observe_load(member.id, reply.load, now)

    @singledispatchmethod
    def _handle_action(self, action: HeartbeatAction) -> None:
        raise TypeError(f"{type(action).__name__} is not a heartbeat action")

    @_handle_action.register
    def _(self, action: Probe) -> None:
        self.shell.peer.send(action.peer, Heartbeat(0))

    @_handle_action.register
    def _(self, action: ReplaceConnection) -> None:
        self.shell.telemetry.log("connection_replaced", {"peer": action.peer})
        self.shell.peer.connect_beside(action.peer)
        for exchange in self._exchanges_at(action.peer):
            for message in exchange.resume_messages():
                self._send(exchange, message)

    @_handle_action.register
    def _(self, action: PeerLost) -> None:
        self.shell.telemetry.log("peer_lost", {"peer": action.peer})
        for exchange in self._exchanges_at(action.peer):
            exchange.fail(Code.UPSTREAM_LOST, exchange.run)

    def _exchanges_at(self, peer: str) -> list[Exchange]:
        request_ids = self.ids_by_peer_.get(peer, ())
        return [self.exchanges_by_id_[request_id] for request_id in request_ids]

    def _remove_from_peer(self, peer: str, request_id: str) -> None:
        request_ids = self.ids_by_peer_[peer]
        request_ids.discard(request_id)
        if not request_ids:
            del self.ids_by_peer_[peer]

    def _update_budget(self, exchange: Exchange) -> None:
        self.budget.update(
            exchange.submit.request_id,
            exchange.held_bytes,
            self.shell.clock.now(),
            progress=exchange.caller.progressed(),
        )

    def _cancel_slow_readers(self, now: datetime) -> None:
        ids_to_stop = self.budget.streams_to_cancel(now)
        ids_to_stop += self.budget.stalled(now - self.timeouts.write)
        for request_id in ids_to_stop:
            exchange = self.exchanges_by_id_.get(request_id)
            if exchange is not None:
                self._cancel_slow_reader(exchange)

    def _cancel_slow_reader(self, exchange: Exchange) -> None:
        if exchange.failure is None:
            self.shell.telemetry.count("slow_readers_cancelled", {}, 1)
        exchange.fail(Code.SLOW_READER, RunState.YES)
        if exchange.caller.blocked:
            # An error event would be queued behind bytes that the caller does not read.
            exchange.caller.abort()

    def _send(self, exchange: Exchange, message: Message) -> None:
        # The transport drops a message that its send queue does not accept. Later polls
        # request missing frames again.
        if not self.shell.peer.send(exchange.member.address, message):
            self.shell.telemetry.count("send_dropped", {}, 1)
