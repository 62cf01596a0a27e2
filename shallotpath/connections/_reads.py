"""Keep the buffers of connections small."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

# asyncio reads up to 256 KiB at a time by default. What a paused connection has read
# and not parsed stays in memory.
READ_BYTES = 16 * 1024
# aiohttp pauses a connection once a reader holds twice as many bytes.
READER_LOW_WATER_BYTES = READ_BYTES // 2


# Kernel buffer of a connection in the direction of responses. Linux allows twice as
# much, and without a limit grows buffers to 4 MiB and more, for slow readers too.
KERNEL_BUFFER_BYTES = 128 * 1024


def limit_kernel_buffer(transport: asyncio.BaseTransport, option: int) -> None:
    """Limit the buffer `SO_SNDBUF` or `SO_RCVBUF` of a connection."""
    connection = transport.get_extra_info("socket")
    # The limit is an optimization; a connection that has closed cannot be changed.
    if connection is not None:
        with suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)


class SmallReads(asyncio.BufferedProtocol):
    """Pass received bytes to `data_received` in blocks of limited size.

    Classes with slots need one for `read_buffer_`.
    """

    __slots__ = ()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        self.read_buffer_ = bytearray(READ_BYTES)
        return self.read_buffer_

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes of one read."""
        data = bytes(memoryview(self.read_buffer_)[:nbytes])
        del self.read_buffer_
        self.data_received(data)
