import asyncio

from aiohttp import web

from shallotpath.fleet.tests.processes import until
from shallotpath.fleet.tests.standins import HOST
from shallotpath.forwarding import Listener

REQUEST = b"POST /order/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"


async def test_a_request_that_has_arrived_counts_before_its_handler_begins():
    # Guards against a planned stop that ends between the arrival of a request and the
    # start of its handler, and cuts it off (seed 2 of the soak).
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
