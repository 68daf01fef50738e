"""Links: ordered message channels between two processes, with batching.

A link lives as long as one connection. Messages that are posted in one iteration
of the event loop are sent in one frame. When the connection ends, both sides close
the link and the joining side sends a new join request. Messages in flight are lost;
the link never retransmits them.
"""

import asyncio
import contextlib
from abc import ABC
from abc import abstractmethod
from collections import Counter
from collections.abc import Callable
from typing import Final

import pynng

from endivetally_core.errors import LinkClosed
from endivetally_core.messages import MAX_FRAME_BYTES
from endivetally_core.messages import MAX_MESSAGES_PER_FRAME
from endivetally_core.messages import AnyMessage
from endivetally_core.messages import Frame
from endivetally_core.messages import decode_frame
from endivetally_core.messages import encode_frame
from endivetally_core.shaping import IMMEDIATE
from endivetally_core.shaping import Delivery
from endivetally_core.shaping import NoShaping
from endivetally_core.shaping import Shaper

# Frames that a socket buffers in each direction.
SOCKET_BUFFER_FRAMES: Final = 128
# Shortest interval between two attempts of a socket to connect.
RECONNECT_MIN_MS: Final = 2000
# Longest wait of a listener for its peer to connect.
ACCEPT_TIMEOUT_S: Final = 5
# Interval at which a link checks whether a simulated partition has ended.
PARTITION_POLL_S: Final = 0.02


class LinkCounters:
    """Traffic counters of one process, totalled over its links."""

    def __init__(self) -> None:
        self.posted_messages: Counter[str] = Counter()
        self.sent_frames = 0
        self.sent_bytes = 0
        self.received_frames = 0
        self.received_bytes = 0
        self.malformed_frames = 0


class Link(ABC):
    """Message channel between this process and one peer."""

    @property
    @abstractmethod
    def closed(self) -> bool:
        """Whether the link has ended."""

    @abstractmethod
    def post(self, message: AnyMessage) -> None:
        """Queue a message for the next frame; ignored if the link is closed."""

    @abstractmethod
    async def receive(self) -> Frame:
        """Wait for the next frame.

        :raises LinkClosed: when the connection has ended.
        :raises MalformedMessage: when a frame is not valid; the link stays open.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the link immediately; queued messages are dropped."""

    @abstractmethod
    async def flush(self) -> None:
        """Wait until the connection has taken every queued message, or has ended."""


class NngLink(Link):
    """Link over a ``pynng`` pair socket.

    :param socket: connected pair socket; the link takes ownership of it.
    :param peer: process name of the peer, for shaping and error messages.
    :param data_centre: data centre of the peer.
    :param get_version: returns the version of the configuration that is in use here.
    :param counters: traffic counters of this process.
    :param shaper: simulates network faults; by default there are none.
    """

    def __init__(
        self,
        socket: pynng.Pair0,
        *,
        peer: str,
        data_centre: str,
        get_version: Callable[[], int],
        counters: LinkCounters,
        shaper: Shaper | None = None,
    ) -> None:
        self.peer = peer
        self.data_centre = data_centre
        self._socket = socket
        self._get_version = get_version
        self._counters = counters
        self._shaper = shaper or NoShaping()
        self._outbox: list[AnyMessage] = []
        self._outbox_filled = asyncio.Event()
        self._flushed = asyncio.Event()
        self._flushed.set()
        self._closed = False
        self._loop = asyncio.get_running_loop()
        socket.add_post_pipe_remove_cb(self._on_pipe_removed)
        self._writer = self._loop.create_task(self._write_frames())

    @property
    def closed(self) -> bool:
        """Whether the link has ended."""
        return self._closed

    def post(self, message: AnyMessage) -> None:
        """Queue a message for the next frame; ignored if the link is closed."""
        if self._closed:
            return
        self._counters.posted_messages[type(message).__name__] += 1
        self._outbox.append(message)
        self._flushed.clear()
        self._outbox_filled.set()

    async def receive(self) -> Frame:
        """Wait for the next frame.

        :raises LinkClosed: when the connection has ended.
        :raises MalformedMessage: when a frame is not valid; the link stays open.
        """
        if self._closed:
            raise LinkClosed(f'the link to {self.peer} is closed')
        try:
            encoded = await self._socket.arecv()
        except pynng.NNGException as error:
            self.close()
            _raise_if_cancelled()
            raise LinkClosed(f'the link to {self.peer} has ended') from error
        _raise_if_cancelled()
        self._counters.received_frames += 1
        self._counters.received_bytes += len(encoded)
        return decode_frame(encoded)

    async def flush(self) -> None:
        """Wait until the connection has taken every queued message, or has ended."""
        await self._flushed.wait()

    def close(self) -> None:
        """Close the link immediately; queued messages are dropped."""
        if self._closed:
            return
        self._closed = True
        self._flushed.set()
        self._writer.cancel()
        self._socket.close()

    def _on_pipe_removed(self, _pipe: object) -> None:
        # nng calls this on its own thread, perhaps after the loop was closed.
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self.close)

    async def _write_frames(self) -> None:
        while not self._closed:
            await self._outbox_filled.wait()
            batch = self._outbox[:MAX_MESSAGES_PER_FRAME]
            del self._outbox[: len(batch)]
            if not self._outbox:
                self._outbox_filled.clear()
            await self._send(encode_frame(Frame(self._get_version(), batch)))
            _raise_if_cancelled()
            if not self._outbox:
                self._flushed.set()

    async def _send(self, encoded: bytes) -> None:
        self._counters.sent_frames += 1
        self._counters.sent_bytes += len(encoded)
        delivery = await self._next_delivery()
        if delivery is IMMEDIATE:
            await self._send_immediately(encoded)
            return
        for delay_s in delivery.delays_s:
            self._loop.call_later(delay_s, self._send_delayed, encoded)

    async def _next_delivery(self) -> Delivery:
        """Return the delivery of the next frame.

        It waits while a simulated partition lasts, as a TCP connection would.
        """
        delivery = self._shaper.shape(self.peer, self.data_centre)
        while not delivery.delays_s:
            await asyncio.sleep(PARTITION_POLL_S)
            delivery = self._shaper.shape(self.peer, self.data_centre)
        return delivery

    async def _send_immediately(self, encoded: bytes) -> None:
        try:
            await self._socket.asend(encoded)
        except pynng.NNGException:
            self.close()

    def _send_delayed(self, encoded: bytes) -> None:
        if not self._closed:
            with contextlib.suppress(pynng.NNGException):
                self._socket.send(encoded, block=False)


def _raise_if_cancelled() -> None:
    # pynng swallows a cancellation that arrives while its operation completes.
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError


class LinkListener:
    """Pair socket that listens on its own port for a single peer.

    :param host: IP address to listen on.
    """

    def __init__(self, host: str) -> None:
        self._socket = _new_socket()
        self._accepted = asyncio.Event()
        loop = asyncio.get_running_loop()
        self._socket.add_post_pipe_connect_cb(
            lambda _pipe: loop.call_soon_threadsafe(self._accepted.set),
        )
        listener = self._socket.listen(f'tcp://{host}:0')
        self.address = f'tcp://{listener.local_address}'

    async def accept(self) -> pynng.Pair0:
        """Wait for the peer to connect and return the connected socket.

        :raises LinkClosed: when no peer connects within `ACCEPT_TIMEOUT_S`.
        """
        try:
            await asyncio.wait_for(self._accepted.wait(), ACCEPT_TIMEOUT_S)
        except TimeoutError as error:
            self._socket.close()
            raise LinkClosed(f'no peer connected to {self.address}') from error
        return self._socket


async def dial(address: str) -> pynng.Pair0:
    """Connect to a `LinkListener` and return the connected socket.

    :param address: address of the listener, as ``tcp://host:port``.
    :raises LinkClosed: when nothing listens at the address.
    """
    socket = _new_socket()
    try:
        await asyncio.to_thread(socket.dial, address, block=True)
    except pynng.NNGException as error:
        socket.close()
        raise LinkClosed(f'connecting to {address} failed') from error
    return socket


def _new_socket() -> pynng.Pair0:
    socket = pynng.Pair0()
    socket.send_buffer_size = SOCKET_BUFFER_FRAMES
    socket.recv_buffer_size = SOCKET_BUFFER_FRAMES
    socket.recv_max_size = MAX_FRAME_BYTES
    socket.reconnect_time_min = RECONNECT_MIN_MS
    return socket
