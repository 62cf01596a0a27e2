"""Reader of a ZeroMQ socket on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import zmq

# Frames read before control returns to the event loop.
BATCH_FRAMES = 64


class SocketReader:
    """Deliver frames as they arrive, without a future for each.

    The descriptor of a ZeroMQ socket signals only changes, and a send may consume
    the signal for frames that arrived meanwhile. The owner therefore calls
    `check` after each send.
    """

    __slots__ = ("deliver", "loop_", "scheduled_", "socket")

    def __init__(
        self, socket: zmq.Socket, deliver: Callable[[list[bytes]], None]
    ) -> None:
        self.socket = socket
        self.deliver = deliver
        self.loop_: asyncio.AbstractEventLoop | None = None
        self.scheduled_ = False

    def start(self) -> None:
        """Start reading."""
        self.loop_ = asyncio.get_running_loop()
        self.loop_.add_reader(self.socket.getsockopt(zmq.FD), self.check)
        self.check()

    def stop(self) -> None:
        """Stop reading and close the socket."""
        self.loop_.remove_reader(self.socket.getsockopt(zmq.FD))
        self.socket.close(0)

    def check(self) -> None:
        """Schedule a read of the frames that have arrived."""
        if not self.scheduled_:
            self.scheduled_ = True
            self.loop_.call_soon(self._read)

    def _read(self) -> None:
        self.scheduled_ = False
        try:
            for _ in range(BATCH_FRAMES):
                if self.socket.closed:
                    return
                self.deliver(self.socket.recv_multipart(zmq.DONTWAIT))
        except zmq.Again:
            return
        except BaseException:
            # The signal for the remaining frames has been consumed.
            self.check()
            raise
        self.check()
