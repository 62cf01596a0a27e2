from contextlib import asynccontextmanager

from shallotpath.core import Ping
from shallotpath.runtime import Transport

from .parts import until


@asynccontextmanager
async def transports():
    heard = {"a": [], "b": []}
    pair = [
        Transport(name, "tcp://127.0.0.1:0", lambda p, m, n=name: heard[n].append(p))
        for name in heard
    ]
    for transport in pair:
        await transport.start()
    try:
        yield *pair, heard
    finally:
        for transport in pair:
            await transport.stop()


async def test_every_frame_arrives_while_both_sides_send():
    # Guards against a send that consumes the signal for frames that arrived.
    async with transports() as (a, b, heard):
        a.send(b.address_, Ping(0))
        await until(lambda: heard["b"])
        back = heard["b"][0]
        for nonce in range(300):
            a.send(b.address_, Ping(nonce))
            b.send(back, Ping(nonce))
            if nonce % 7 == 0:
                await until(lambda sent=nonce: len(heard["a"]) > sent)
        await until(lambda: len(heard["a"]) == 300 and len(heard["b"]) == 301)


async def test_the_old_connection_is_read_until_the_new_one_is_heard():
    # Guards against losing what a replaced connection still delivers.
    async with transports() as (a, b, heard):
        a.send(b.address_, Ping(0))
        await until(lambda: heard["b"])
        a.connect_beside(b.address_)
        b.send(heard["b"][0], Ping(1))
        await until(lambda: heard["a"])
        assert a.retired_by_address_
        a.send(b.address_, Ping(2))
        await until(lambda: len(heard["b"]) == 2)
        b.send(heard["b"][1], Ping(3))
        await until(lambda: len(heard["a"]) == 2)
        assert not a.retired_by_address_


async def test_a_frame_for_a_closed_connection_is_reported_as_not_sent():
    async with transports() as (a, b, heard):
        a.send(b.address_, Ping(0))
        await until(lambda: heard["b"])
        a.disconnect(b.address_)
        await until(lambda: not b.send(heard["b"][0], Ping(1)))
        assert b.dropped_frames_ == 1


async def test_a_handler_that_fails_does_not_stop_the_reader(caplog):
    async with transports() as (a, b, heard):

        def fail_once(peer, message):
            b.receive = lambda p, m: heard["b"].append(p)
            raise ValueError(message)

        b.receive = fail_once
        a.send(b.address_, Ping(0))
        a.send(b.address_, Ping(1))
        await until(lambda: len(heard["b"]) == 1)
