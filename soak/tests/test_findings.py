import asyncio

from aiohttp import web

from shallotpath.fleet.tests.processes import until
from shallotpath.fleet.tests.standins import HOST
from shallotpath.forwarding import Listener

REQUEST = b"POST /order/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"


async def test_received_request_is_active_before_its_handler_starts():
    # Guards against a planned stop that cuts a request off because it ends between the
    # arrival of the request and the start of its handler (seed 2 of the soak).
    async def answer(request):
        return web.Response()

    listener = Listener(answer)
    port = await listener.start(HOST, 0)
    _, writer = await asyncio.open_connection(HOST, port)
    try:
        await until(lambda: listener.server_.connections)
        (connection,) = listener.server_.connections
        connection.data_received(REQUEST)
        assert listener.active == 1
    finally:
        writer.close()
        await listener.stop()
