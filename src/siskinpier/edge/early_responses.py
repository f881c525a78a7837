"""Responses that arrive before the server has got the whole body of their request."""

import aiohttp


class EarlyResponse(aiohttp.ClientResponse):
    """A response whose end does not stop the sending of its request's body.

    Plain aiohttp cancels the sending and closes the connection. A server that responds
    early may keep the connection and read on; the connection returns to the pool when
    the server has the whole body.
    """

    def _response_eof(self) -> None:
        if self._writer is None:
            super()._response_eof()
        else:
            self._writer.add_done_callback(lambda _: self._response_eof())
