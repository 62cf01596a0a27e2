import asyncio
from datetime import timedelta
from functools import singledispatchmethod

import pytest
import zmq
from aiohttp import ClientSession

from shallotpath.core import (
    Append,
    AppendDone,
    AppendFailed,
    Event,
    MonotonicClock,
    Node,
    Ping,
    PlatformError,
    Received,
    RecordsRead,
    SetTimer,
    TimerFired,
    encode,
)
from shallotpath.runtime import LogTailer, PlatformClient, Shell
from shallotpath.standins import PlatformApp, serve


class NullTelemetry:
    def count(self, name, labels, amount):
        pass

    def gauge(self, name, labels, value):
        pass

    def log(self, kind, fields):
        pass

    def trace(self, kind, fields):
        pass


class Recorder:
    def __init__(self):
        self.events_ = asyncio.Queue()

    @singledispatchmethod
    def reduce(self, event: Event, now):
        return []

    @reduce.register(Received)
    @reduce.register(TimerFired)
    @reduce.register(AppendDone)
    @reduce.register(AppendFailed)
    @reduce.register(RecordsRead)
    def _(self, event, now):
        self.events_.put_nowait(event)
        return []

    async def next(self):
        return await asyncio.wait_for(self.events_.get(), 5)


def make_shell(name, platform=None):
    recorder = Recorder()
    shell = Shell(
        node=Node(name, [recorder]),
        clock=MonotonicClock(),
        telemetry=NullTelemetry(),
        identity=name,
        platform=platform,
    )
    return shell, recorder


async def test_messages_arrive_both_ways_and_after_a_reconnect():
    # Guards against messages that are lost, and replies that are misdirected, after a
    # reconnection.
    a, seen_a = make_shell("a")
    b, seen_b = make_shell("b")
    await a.start()
    await b.start()
    try:
        a.peer.send(b.peer.address_, Ping(1))
        first = await seen_b.next()
        b.peer.send(first.peer, Ping(2))
        assert await seen_a.next() == Received(b.peer.address_, Ping(2))
        a.peer.reconnect(b.peer.address_)
        a.peer.send(b.peer.address_, Ping(3))
        second = await seen_b.next()
        assert second.message == Ping(3)
        # Guards against late frames of the old connection that reach the new one.
        assert second.peer != first.peer
    finally:
        await a.stop()
        await b.stop()


async def test_reply_that_arrives_during_a_send_is_read():
    # Guards against a reader that stays idle although a frame is waiting.
    a, _ = make_shell("a")
    await a.start()
    replies = asyncio.Queue()
    a.handlers_by_type[Ping] = lambda peer, message: replies.put_nowait(message)
    router = zmq.Context.instance().socket(zmq.ROUTER)
    port = router.bind_to_random_port("tcp://127.0.0.1")
    try:
        for nonce in range(50):
            a.peer.send(f"tcp://127.0.0.1:{port}", Ping(nonce))
            await asyncio.sleep(0.001)
            router.send_multipart(router.recv_multipart())
            # The reply arrives while the loop does not run.
            router.poll(2)
            a.peer.send(f"tcp://127.0.0.1:{port}", Ping(-1))
            assert await asyncio.wait_for(replies.get(), 2) == Ping(nonce)
            router.recv_multipart()
    finally:
        router.close(0)
        await a.stop()


async def test_undecodable_frame_is_counted_and_the_next_one_arrives():
    # Guards against a frame that does not decode and stops the receiver.
    a, _ = make_shell("a")
    b, seen_b = make_shell("b")
    await a.start()
    await b.start()
    try:
        dealer = a.peer._dealer(b.peer.address_).socket
        dealer.send(b"garbage")
        dealer.send(encode(Ping(1)))
        assert (await seen_b.next()).message == Ping(1)
        assert b.peer.bad_frames_ == 1
    finally:
        await a.stop()
        await b.stop()


async def test_timers_fire_once():
    # Guards against timers that fire again or stay registered.
    a, seen = make_shell("a")
    await a.start()
    try:
        a.perform(SetTimer("t", timedelta(milliseconds=5)))
        assert await seen.next() == TimerFired("t")
        assert a.timers_by_name_ == {}
    finally:
        await a.stop()


async def test_appended_records_are_read_back_and_an_outage_is_reported():
    # Guards against an append whose outcome the node never learns.
    platform = PlatformApp()
    async with serve(platform.build()) as url, ClientSession() as session:
        client = PlatformClient(session, url)
        a, seen = make_shell("a", client)
        await a.start()
        try:
            a.spawn(LogTailer(a, "config").run())
            a.perform(Append("config", 7, [b"x"]))
            events = {type(await seen.next()) for _ in range(2)}
            assert events == {AppendDone, RecordsRead}
            platform.faults.log_down = True
            a.perform(Append("config", 8, [b"y"]))
            assert await seen.next() == AppendFailed("config", 8)
            with pytest.raises(PlatformError, match="check the platform's status"):
                await client.read("config", 0, wait_ms=0)
        finally:
            await a.stop()


async def test_frame_to_a_closed_connection_is_reported():
    # Guards against a sender that counts a lost frame as sent.
    a, _ = make_shell("a")
    await a.start()
    try:
        assert not a.peer.send(f"@{b'gone/0'.hex()}", Ping(1))
        assert a.peer.dropped_frames_ == 1
    finally:
        await a.stop()
