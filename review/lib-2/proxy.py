"""TCP proxy that delays bytes, or lets the connections that are open go silent."""

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class _Link:
    """One proxied connection."""

    silent: bool = False


class Proxy:
    """Forwards connections from one address to another.

    :ivar delay_s: delay of the bytes on their way to the server.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.delay_s = 0.0
        self._target = target
        self._links: set[_Link] = set()
        self._server: asyncio.Server | None = None
        self._pumps: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        for pump in self._pumps:
            pump.cancel()

    def silence_open_connections(self) -> int:
        """Let the connections that are open go silent for good, without a reset.

        Return how many there are. New ones work.
        """
        for link in self._links:
            link.silent = True
        return len(self._links)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            server_reader, server_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        link = _Link()
        self._links.add(link)
        there = asyncio.create_task(self._pump(link, reader, server_writer, there=True))
        back = asyncio.create_task(self._pump(link, server_reader, writer, there=False))
        self._pumps |= {there, back}
        with suppress(asyncio.CancelledError):
            await asyncio.wait({there, back})
        self._pumps -= {there, back}
        self._links.discard(link)

    async def _pump(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        there: bool,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        sender = asyncio.create_task(self._send(link, queue, writer))
        try:
            data = b' '
            while data:
                try:
                    data = await reader.read(65536)
                except OSError:
                    data = b''
                delay_s = self.delay_s if there else 0
                queue.put_nowait((time.monotonic() + delay_s, data))
            await sender
        finally:
            sender.cancel()

    async def _send(
        self,
        link: _Link,
        queue: 'asyncio.Queue[tuple[float, bytes]]',
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            due_at, data = await queue.get()
            await asyncio.sleep(max(due_at - time.monotonic(), 0))
            if link.silent:
                continue
            if not data:
                writer.close()
                return
            with suppress(OSError):
                writer.write(data)
                await writer.drain()
