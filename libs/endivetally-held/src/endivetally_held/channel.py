"""Message channel between an entry and an agent over one TCP connection.

All entries connect to the same port of an agent, and each connection times out and is
closed on its own. The pair sockets of `endivetally_core.links` would need one port for
each peer, and the platform provides sixteen.
"""

import asyncio
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from endivetally_core.clock import monotonic_now
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import MalformedMessage
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

from endivetally_held.messages import MAX_BATCH_BYTES
from endivetally_held.messages import AnyHeldMessage
from endivetally_held.messages import decode_batch
from endivetally_held.messages import encode_batch

# A peer that sends nothing for this time, which is six heartbeats, counts as lost.
# What it sends later on the same connection is never processed.
PEER_TIMEOUT_S: Final = 0.6
HEARTBEAT_INTERVAL_S: Final = 0.1
_LENGTH: Final = struct.Struct('>I')


class Channel:
    """Ordered channel; messages posted in one event loop iteration share a batch.

    :param stream: an open connection, which the channel owns and closes.
    """

    def __init__(
        self, stream: IOStream, clock: Callable[[], float] = monotonic_now
    ) -> None:
        self.last_received_at = clock()
        self._clock = clock
        self._stream = stream
        self._outbox: list[AnyHeldMessage] = []
        self._loop = asyncio.get_running_loop()
        with suppress(OSError, ValueError):
            stream.set_nodelay(True)

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._stream.closed()

    @property
    def timed_out(self) -> bool:
        """Whether nothing was received for longer than the peer timeout."""
        return self._clock() - self.last_received_at > PEER_TIMEOUT_S

    def post(self, message: AnyHeldMessage) -> None:
        """Queue a message; does nothing on a closed channel."""
        if self.closed:
            return
        if not self._outbox:
            self._loop.call_soon(self._flush)
        self._outbox.append(message)

    async def receive(self) -> list[AnyHeldMessage]:
        """Wait for the next batch of messages.

        :raises LinkClosed: when the connection is closed or the batch arrives after
            the peer timeout.
        :raises MalformedMessage: when the batch is too large or can't be decoded.
        """
        try:
            header = await self._stream.read_bytes(_LENGTH.size)
            size = _LENGTH.unpack(header)[0]
            if size > MAX_BATCH_BYTES:
                raise MalformedMessage(f'batch of {size} bytes is too large')
            encoded = await self._stream.read_bytes(size)
        except StreamClosedError as error:
            raise LinkClosed('held') from error
        # A batch delayed beyond the timeout comes from a peer that counts as lost.
        if self.timed_out:
            self.close()
            raise LinkClosed('silent')
        self.last_received_at = self._clock()
        return decode_batch(encoded)

    def close(self) -> None:
        """Close the connection at once; queued messages are dropped."""
        self._outbox.clear()
        self._stream.close()

    def _flush(self) -> None:
        batch = self._outbox
        if not batch or self.closed:
            return
        self._outbox = []
        encoded = encode_batch(batch)
        try:
            written = self._stream.write(_LENGTH.pack(len(encoded)) + encoded)
        except (StreamClosedError, OSError, ValueError):
            # The write buffer is full or the connection broke; the peer is lost.
            self.close()
            return
        written.add_done_callback(_discard_error)


def _discard_error(written: 'asyncio.Future[None]') -> None:
    # ``receive`` reports the closed connection. Retrieving the exception prevents
    # asyncio's warning about one that was never retrieved.
    if not written.cancelled():
        written.exception()
