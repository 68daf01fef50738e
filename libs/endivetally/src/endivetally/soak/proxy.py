"""A loopback proxy that delays, cuts, silences, resets or refuses connections."""

import asyncio
import socket
import struct
from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import Self

from endivetally_core.joining import Address

CHUNK_BYTES: Final = 65_536
# SO_LINGER with a time of 0: closing sends a reset.
_RESET: Final = struct.pack('ii', 1, 0)


class Direction:
    """One direction of a proxy.

    :param delay_s: added to each piece.
    """

    def __init__(self) -> None:
        self.delay_s: float = 0
        self._open = asyncio.Event()
        self._open.set()

    def cut(self) -> None:
        """Hold back what is sent until it is mended."""
        self._open.clear()

    def mend(self) -> None:
        """Let everything pass at once."""
        self.delay_s = 0
        self._open.set()

    async def passed(self) -> None:
        """Wait until a piece may go on."""
        await self._open.wait()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)


@dataclass(slots=True, eq=False)
class _Connection:
    """Both ends of a connection.

    :param swallowed_at: receives the steady time of each piece that is lost.
    :param silenced: nothing passes any more; neither end is told.
    :param over: set by a reset.
    """

    swallowed_at: list[float]
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    silenced: bool = False
    over: asyncio.Event = field(default_factory=asyncio.Event)

    def reset(self) -> None:
        """Reset both ends."""
        self.over.set()
        for writer in self.writers:
            raw = writer.get_extra_info('socket')
            # A closed end has no descriptor any more.
            if raw is not None and raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort()


class Proxy:
    """Passes the connections to one address on to another.

    :param listen: where it listens.
    :param target: where it connects.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self.forward = Direction()
        self.back = Direction()
        self.refusing = False
        self.swallowed_at: list[float] = []
        self._listen = listen
        self._target = target
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self._listen.host, self._listen.port
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Reset what is open and stop listening."""
        if self._server is not None:
            self._server.close()
        self.mend()
        self.reset()

    def mend(self) -> None:
        """Take back what holds up new connections."""
        self.refusing = False
        self.forward.mend()
        self.back.mend()

    def reset(self) -> None:
        """Reset the open connections."""
        for connection in list(self._connections):
            connection.reset()

    def silence(self) -> None:
        """Let nothing pass on the open connections any more; new ones work."""
        for connection in self._connections:
            connection.silenced = True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(self.swallowed_at, [writer])
        self._connections.add(connection)
        try:
            if not self.refusing:
                await self._pass_on(connection, reader, writer)
        except OSError:
            # One end is gone; the other is told by closing it.
            return
        finally:
            self._connections.discard(connection)
            for end in connection.writers:
                end.close()

    async def _pass_on(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await self.forward.passed()
        there_reader, there_writer = await asyncio.open_connection(
            self._target.host, self._target.port
        )
        connection.writers.append(there_writer)
        pumps = [
            asyncio.ensure_future(pump)
            for pump in (
                _pump(connection, self.forward, reader, there_writer),
                _pump(connection, self.back, there_reader, writer),
            )
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in pumps:
                task.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)


async def _pump(
    connection: _Connection,
    direction: Direction,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    while True:
        piece = await reader.read(CHUNK_BYTES)
        await direction.passed()
        if connection.silenced:
            connection.swallowed_at.append(asyncio.get_running_loop().time())
            await connection.over.wait()
        if not piece or connection.over.is_set():
            return
        writer.write(piece)
        await writer.drain()
