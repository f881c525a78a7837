"""The way between hosts, which a case can cut off as a loss of power does."""

import asyncio

from .host import find_free_ports


class Link:
    """A proxy before a host's port for other hosts.

    After `cut`, connections stay open and nothing comes back on any of them.
    """

    def __init__(self, port: int) -> None:
        self.listen_port = find_free_ports(1)[0]
        self._port = port
        self._is_cut = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.listen_port
        )

    def cut(self) -> None:
        """Pass on nothing any more, and keep the connections open."""
        self._is_cut = True

    def stop(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        far_writer: asyncio.StreamWriter | None = None
        try:
            if not self._is_cut:
                far_reader, far_writer = await asyncio.open_connection(
                    "127.0.0.1", self._port
                )
                await asyncio.gather(
                    self._copy(reader, far_writer), self._copy(far_reader, writer)
                )
            if self._is_cut:
                await asyncio.Event().wait()
        except OSError:
            writer.transport.abort()
        finally:
            writer.close()
            if far_writer is not None:
                far_writer.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if not self._is_cut:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass
        if not self._is_cut:
            writer.close()
