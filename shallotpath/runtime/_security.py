"""CURVE authentication and encryption between the processes of an installation."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from uuid import uuid4

import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator
from zmq.utils import z85
from zmq.utils.monitor import recv_monitor_message

from ..core import SettingError

KEY_CHARACTERS = 40
_ANY_ZAP_DOMAIN = "*"
_HANDSHAKE_FAILED = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_DISCONNECTED
)


class Security:
    """Hold the keys of a process and the keys that it accepts from others.

    All processes of an organisation share one key pair. To rotate it, accept the new
    key everywhere, then replace the pairs, then remove the old key. During a rotation
    the key of a peer is unknown, so a connection tries each accepted key in turn.
    """

    __slots__ = (
        "accepted_keys",
        "authenticator_",
        "context_",
        "key_index_by_address_",
        "public_key",
        "secret_key",
        "user_count_",
    )

    def __init__(
        self, *, public_key: str, secret_key: str, accepted_keys: Iterable[str] = ()
    ) -> None:
        self.public_key = public_key
        self.secret_key = secret_key
        self.accepted_keys = tuple(dict.fromkeys([public_key, *accepted_keys]))
        self.context_: zmq.asyncio.Context | None = None
        self.authenticator_: AsyncioAuthenticator | None = None
        self.key_index_by_address_: dict[str, int] = {}
        self.user_count_ = 0

    @property
    def rotates(self) -> bool:
        """Check whether a peer may use a different key from this process."""
        return len(self.accepted_keys) > 1

    def start(self) -> zmq.Context:
        """Return the context for sockets and start to authenticate its connections."""
        check_keys(self.public_key, self.secret_key, self.accepted_keys)
        self.user_count_ += 1
        if self.context_ is None:
            self.context_ = zmq.asyncio.Context()
            self.authenticator_ = AsyncioAuthenticator(self.context_)
            self.authenticator_.start()
            self.authenticator_.configure_curve_callback(_ANY_ZAP_DOMAIN, self)
        # The transports use plain sockets in the context of the asyncio authenticator.
        return zmq.Context.shadow(self.context_.underlying)

    def stop(self) -> None:
        """Destroy the context when its last user stops."""
        self.user_count_ -= 1
        if self.user_count_ == 0 and self.authenticator_ is not None:
            self.authenticator_.stop()
            self.context_.destroy(0)
            self.authenticator_ = self.context_ = None

    def callback(self, domain: str, key: bytes) -> bool:
        """Check whether a process with this public key may connect; called by pyzmq."""
        return key.decode() in self.accepted_keys

    def secure_server(self, socket: zmq.Socket) -> None:
        """Configure a socket to require an accepted key from each connection."""
        socket.setsockopt(zmq.CURVE_SERVER, 1)
        self._set_keys(socket)

    def secure_client(self, socket: zmq.Socket, address: str) -> None:
        """Configure a socket to present its key and require one that is accepted."""
        self._set_keys(socket)
        index = self.key_index_by_address_.get(address, 0)
        expected = self.accepted_keys[index % len(self.accepted_keys)]
        socket.setsockopt(zmq.CURVE_SERVERKEY, expected.encode())

    async def watch(
        self, socket: zmq.Socket, address: str, on_result: Callable[[str, bool], None]
    ) -> None:
        """Wait for the handshake; on failure select the next key for the address."""
        events = zmq.EVENT_HANDSHAKE_SUCCEEDED | _HANDSHAKE_FAILED
        endpoint = f"inproc://handshake-{uuid4().hex}"
        socket.monitor(endpoint, events)
        with self.context_.socket(zmq.PAIR) as monitor:
            monitor.connect(endpoint)
            message = await recv_monitor_message(monitor)
        succeeded = message["event"] == zmq.EVENT_HANDSHAKE_SUCCEEDED
        if not succeeded:
            index = self.key_index_by_address_.get(address, 0)
            self.key_index_by_address_[address] = index + 1
        socket.disable_monitor()
        on_result(address, succeeded)

    def _set_keys(self, socket: zmq.Socket) -> None:
        socket.setsockopt(zmq.CURVE_PUBLICKEY, self.public_key.encode())
        socket.setsockopt(zmq.CURVE_SECRETKEY, self.secret_key.encode())


def check_keys(public_key: str, secret_key: str, accepted: Iterable[str]) -> None:
    """Check that all keys are Z85 and that the public key matches the secret key."""
    for name, key in [
        ("public_key", public_key),
        ("secret_key", secret_key),
        *(("accepted_keys", key) for key in accepted),
    ]:
        if not _is_key(key):
            raise SettingError(
                f"{name} in [security] is not a Z85 key of {KEY_CHARACTERS} "
                "characters; create a pair with 'shallotctl keys'"
            )
    if zmq.curve_public(secret_key.encode()).decode() != public_key:
        raise SettingError(
            "public_key and secret_key in [security] are not a pair; "
            "create a pair with 'shallotctl keys'"
        )


def _is_key(key: str) -> bool:
    if len(key) != KEY_CHARACTERS:
        return False
    try:
        z85.decode(key.encode())
    except (KeyError, ValueError, ArithmeticError):
        return False
    return True
