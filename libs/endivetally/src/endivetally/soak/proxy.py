"""Loopback proxy that delays, blocks, blackholes, resets or refuses connections."""

import asyncio
import socket
import struct
from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import Self

from endivetally_core.joining import Address

CHUNK_BYTES: Final = 65_536
# SO_LINGER with a timeout of 0: closing the socket sends a reset.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


class Direction:
    """Delays or blocks the data that a proxy forwards in one direction.

    ``delay_s`` is the delay of each chunk, in seconds. ``bytes_per_s`` limits the rate
    of each connection; 0 for no limit. It stays when the direction is restored.
    """

    def __init__(self) -> None:
        self.delay_s: float = 0
        self.bytes_per_s: int = 0
        self._open = asyncio.Event()
        self._open.set()

    def block(self) -> None:
        """Hold back all data until the direction is restored."""
        self._open.clear()

    def restore(self) -> None:
        """Forward the data held back, and all later data without delay."""
        self.delay_s = 0
        self._open.set()

    async def wait_to_forward(self, size: int = 0) -> None:
        """Wait until a chunk may be forwarded.

        :param size: size of the chunk in bytes.
        """
        await self._open.wait()
        transfer_s = size / self.bytes_per_s if self.bytes_per_s else 0
        if self.delay_s or transfer_s:
            await asyncio.sleep(self.delay_s + transfer_s)


@dataclass(slots=True, eq=False)
class _Connection:
    """A proxied connection.

    :param discard_times: list that receives the event loop's time for each discarded
        chunk.
    :param writers: writers to both ends.
    :param blackholed: all data is discarded and neither end is notified.
    :param was_reset: set when the connection is reset.
    """

    discard_times: list[float]
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    blackholed: bool = False
    was_reset: asyncio.Event = field(default_factory=asyncio.Event)

    def reset(self) -> None:
        """Reset the connections to both ends."""
        self.was_reset.set()
        for writer in self.writers:
            raw_socket = writer.get_extra_info('socket')
            # A closed socket has no file descriptor.
            if raw_socket is not None and raw_socket.fileno() >= 0:
                raw_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
            writer.transport.abort()


class Proxy:
    """Forwards the connections to one address to another address.

    ``forward`` is the direction to the target address and ``backward`` the opposite
    one. ``refuses_connections`` closes new connections at once. ``discard_times``
    lists when a blackholed connection discarded data, and ``refusal_times`` when the
    target address refused a connection, in time of the event loop.

    :param listen_address: address that the proxy listens on.
    :param target_address: address that it connects to.
    """

    def __init__(self, listen_address: Address, target_address: Address) -> None:
        self.forward = Direction()
        self.backward = Direction()
        self.refuses_connections = False
        self.discard_times: list[float] = []
        self.refusal_times: list[float] = []
        self._listen_address = listen_address
        self._target_address = target_address
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._handle_connection,
            self._listen_address.host,
            self._listen_address.port,
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening and reset the open connections."""
        if self._server is not None:
            self._server.close()
        self.restore()
        self.reset_connections()

    def restore(self) -> None:
        """Accept connections and forward data without delay in both directions.

        Connections that were blackholed stay so.
        """
        self.refuses_connections = False
        self.forward.restore()
        self.backward.restore()

    def reset_connections(self) -> None:
        """Reset the open connections."""
        for connection in list(self._connections):
            connection.reset()

    def blackhole_connections(self) -> None:
        """Discard all data on the open connections; new connections work."""
        for connection in self._connections:
            connection.blackholed = True

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(self.discard_times, [writer])
        self._connections.add(connection)
        try:
            if not self.refuses_connections:
                await self._forward_connection(connection, reader, writer)
        except OSError:
            # One end has closed its connection; the other one is closed below.
            return
        finally:
            self._connections.discard(connection)
            for end in connection.writers:
                end.close()

    async def _forward_connection(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await self.forward.wait_to_forward()
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._target_address.host, self._target_address.port
            )
        except ConnectionRefusedError:
            self.refusal_times.append(asyncio.get_running_loop().time())
            raise
        connection.writers.append(target_writer)
        copy_tasks = [
            asyncio.ensure_future(copy)
            for copy in (
                _copy_data(connection, self.forward, reader, target_writer),
                _copy_data(connection, self.backward, target_reader, writer),
            )
        ]
        try:
            await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in copy_tasks:
                task.cancel()
            await asyncio.gather(*copy_tasks, return_exceptions=True)


async def _copy_data(
    connection: _Connection,
    direction: Direction,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    while True:
        chunk = await reader.read(CHUNK_BYTES)
        await direction.wait_to_forward(len(chunk))
        if connection.blackholed:
            connection.discard_times.append(asyncio.get_running_loop().time())
            await connection.was_reset.wait()
        if not chunk or connection.was_reset.is_set():
            return
        writer.write(chunk)
        await writer.drain()
