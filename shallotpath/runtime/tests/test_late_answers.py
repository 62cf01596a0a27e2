"""Engines and platforms that write an answer a second time, late."""

import asyncio

from shallotpath.runtime import PlatformClient
from shallotpath.webclient import open_session

EMPTY_PAGE = b'{"records": [], "first_offset": 0, "next": %d}'


async def test_second_copy_of_a_page_is_not_taken_for_the_next_one():
    # Guards against an agent or an entry that reads an old page as the records from a
    # newer offset.
    offsets = iter((5, 9))

    async def serve(reader, writer):
        earlier = b""
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            body = EMPTY_PAGE % next(offsets)
            own = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            writer.write(earlier + own)
            earlier = own
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with open_session() as session:
        client = PlatformClient(session, f"http://127.0.0.1:{port}")
        pages = [await client.read("s", 0, wait_ms=0) for _ in range(2)]
    server.close()
    assert [page.next_offset for page in pages] == [5, 9]
