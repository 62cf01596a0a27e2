from contextlib import asynccontextmanager

from shallotpath.core import Ping
from shallotpath.runtime import Transport

from .parts import until


@asynccontextmanager
async def transports():
    senders_by_name = {"a": [], "b": []}
    pair = [
        Transport(
            name, "tcp://127.0.0.1:0", lambda p, m, n=name: senders_by_name[n].append(p)
        )
        for name in senders_by_name
    ]
    for transport in pair:
        await transport.start()
    try:
        yield *pair, senders_by_name
    finally:
        for transport in pair:
            await transport.stop()


async def test_every_frame_arrives_while_both_sides_send():
    # Guards against a send that consumes the socket's signal for frames that have
    # arrived, which would then stay unread.
    async with transports() as (a, b, senders_by_name):
        a.send(b.address_, Ping(0))
        await until(lambda: senders_by_name["b"])
        back = senders_by_name["b"][0]
        for nonce in range(300):
            a.send(b.address_, Ping(nonce))
            b.send(back, Ping(nonce))
            if nonce % 7 == 0:
                await until(lambda sent=nonce: len(senders_by_name["a"]) > sent)
        await until(
            lambda: (
                len(senders_by_name["a"]) == 300 and len(senders_by_name["b"]) == 301
            )
        )


async def test_the_old_connection_is_read_until_the_new_one_is_heard():
    # Guards against the loss of frames that a replaced connection still delivers.
    async with transports() as (a, b, senders_by_name):
        a.send(b.address_, Ping(0))
        await until(lambda: senders_by_name["b"])
        a.connect_beside(b.address_)
        b.send(senders_by_name["b"][0], Ping(1))
        await until(lambda: senders_by_name["a"])
        assert a.retired_by_address_
        a.send(b.address_, Ping(2))
        await until(lambda: len(senders_by_name["b"]) == 2)
        b.send(senders_by_name["b"][1], Ping(3))
        await until(lambda: len(senders_by_name["a"]) == 2)
        assert not a.retired_by_address_


async def test_a_frame_for_a_closed_connection_is_reported_as_not_sent():
    # Guards against a send that reports success although the peer is gone.
    async with transports() as (a, b, senders_by_name):
        a.send(b.address_, Ping(0))
        await until(lambda: senders_by_name["b"])
        a.disconnect(b.address_)
        await until(lambda: not b.send(senders_by_name["b"][0], Ping(1)))
        assert b.dropped_frames_ == 1


async def test_a_handler_that_fails_does_not_stop_the_reader(caplog):
    # Guards against a reader that waits for a signal that the failed read has consumed.
    async with transports() as (a, b, senders_by_name):

        def fail_once(peer, message):
            b.receive = lambda p, m: senders_by_name["b"].append(p)
            raise ValueError(message)

        b.receive = fail_once
        a.send(b.address_, Ping(0))
        a.send(b.address_, Ping(1))
        await until(lambda: len(senders_by_name["b"]) == 1)
