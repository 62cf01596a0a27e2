import asyncio

import pytest
import zmq

from shallotpath.core import Ping, SettingError
from shallotpath.runtime import Security, Transport


def make_pair():
    return [key.decode() for key in zmq.curve_keypair()]


class Endpoint:
    def __init__(self, name, pair=None, accepted=()):
        security = None
        if pair is not None:
            security = Security(
                public_key=pair[0], secret_key=pair[1], accepted_keys=accepted
            )
        self.received = asyncio.Queue()
        self.transport = Transport(
            name, "tcp://127.0.0.1:0", self.receive, security=security
        )

    def receive(self, peer, message):
        self.received.put_nowait((peer, message))

    async def __aenter__(self):
        await self.transport.start()
        return self

    async def __aexit__(self, *_):
        await self.transport.stop()

    async def next_message(self, seconds=3.0):
        try:
            return await asyncio.wait_for(self.received.get(), seconds)
        except TimeoutError:
            return None


async def test_processes_with_an_accepted_key_exchange_messages_both_ways():
    # Guards against keys that block replies to a peer that connected first.
    pair = make_pair()
    async with Endpoint("a", pair) as a, Endpoint("b", pair) as b:
        a.transport.send(b.transport.address_, Ping(1))
        peer, message = await b.next_message()
        assert message == Ping(1)
        b.transport.send(peer, Ping(2))
        assert (await a.next_message())[1] == Ping(2)


@pytest.mark.parametrize("pair", [None, make_pair()], ids=["plain", "unknown key"])
async def test_message_of_a_process_without_an_accepted_key_is_not_received(pair):
    # Guards against messages accepted from a process without an accepted key.
    known = make_pair()
    # The intruder knows the public key of its target, which is not secret.
    async with Endpoint("a", known) as a, Endpoint("x", pair, [known[0]]) as intruder:
        if pair is not None:
            keys = intruder.transport.security.key_index_by_address_
            keys[a.transport.address_] = 1
        intruder.transport.send(a.transport.address_, Ping(1))
        assert await a.next_message(1.0) is None


async def test_processes_connect_while_keys_rotate():
    # Guards against processes with the old and the new key that cannot connect.
    old, new = make_pair(), make_pair()
    async with (
        Endpoint("a", old, [new[0]]) as a,
        Endpoint("b", new, [old[0]]) as b,
    ):
        for sender, receiver in ((a, b), (b, a)):
            for nonce in range(3):
                sender.transport.send(receiver.transport.address_, Ping(nonce))
            messages = [(await receiver.next_message(5.0))[1] for _ in range(3)]
            assert messages == [Ping(0), Ping(1), Ping(2)]


@pytest.mark.parametrize("wrong", ["short", "swapped"])
def test_invalid_keys_are_refused_with_a_remedy(wrong):
    # Guards against a process that starts with unusable keys.
    pair, other = make_pair(), make_pair()
    public, secret = (pair[0][:5], pair[1]) if wrong == "short" else (pair[0], other[1])
    security = Security(public_key=public, secret_key=secret)
    with pytest.raises(SettingError, match="shallotctl keys"):
        security.start()
