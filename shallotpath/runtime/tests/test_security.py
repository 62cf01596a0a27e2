import asyncio

import pytest
import zmq

from shallotpath.core import Ping, SettingError
from shallotpath.runtime import Security, Transport


def make_pair():
    return [key.decode() for key in zmq.curve_keypair()]


class End:
    def __init__(self, name, pair=None, accepted=()):
        security = None
        if pair is not None:
            security = Security(
                public_key=pair[0], secret_key=pair[1], accepted_keys=accepted
            )
        self.seen = asyncio.Queue()
        self.transport = Transport(
            name, "tcp://127.0.0.1:0", self.receive, security=security
        )

    def receive(self, peer, message):
        self.seen.put_nowait((peer, message))

    async def __aenter__(self):
        await self.transport.start()
        return self

    async def __aexit__(self, *_):
        await self.transport.stop()

    async def hears(self, seconds=3.0):
        try:
            return await asyncio.wait_for(self.seen.get(), seconds)
        except TimeoutError:
            return None


async def test_processes_with_an_accepted_key_talk_both_ways():
    pair = make_pair()
    async with End("a", pair) as a, End("b", pair) as b:
        a.transport.send(b.transport.address_, Ping(1))
        peer, message = await b.hears()
        assert message == Ping(1)
        b.transport.send(peer, Ping(2))
        assert (await a.hears())[1] == Ping(2)


@pytest.mark.parametrize("pair", [None, make_pair()], ids=["plain", "unknown key"])
async def test_an_unknown_process_can_neither_join_nor_send_orders(pair):
    known = make_pair()
    # The intruder knows the public key of its victim, which is no secret.
    async with End("a", known) as a, End("x", pair, [known[0]]) as intruder:
        if pair is not None:
            keys = intruder.transport.security.key_index_by_address_
            keys[a.transport.address_] = 1
        intruder.transport.send(a.transport.address_, Ping(1))
        assert await a.hears(1.0) is None


async def test_keys_rotate_without_downtime():
    # Guards against an order of restarts that cuts processes off.
    old, new = make_pair(), make_pair()
    async with (
        End("a", old, [new[0]]) as a,
        End("b", new, [old[0]]) as b,
    ):
        for sender, receiver in ((a, b), (b, a)):
            for nonce in range(3):
                sender.transport.send(receiver.transport.address_, Ping(nonce))
            heard = [(await receiver.hears(5.0))[1] for _ in range(3)]
            assert heard == [Ping(0), Ping(1), Ping(2)]


@pytest.mark.parametrize("wrong", ["short", "swapped"])
def test_wrong_keys_are_refused_with_a_remedy(wrong):
    pair, other = make_pair(), make_pair()
    public, secret = (pair[0][:5], pair[1]) if wrong == "short" else (pair[0], other[1])
    security = Security(public_key=public, secret_key=secret)
    with pytest.raises(SettingError, match="shallotctl keys"):
        security.start()
