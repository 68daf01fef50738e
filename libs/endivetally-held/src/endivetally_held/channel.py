"""A channel between an entry and an agent over one connection.

Many entries share one port of an agent, each with its own silence limit and
close, for which a pair socket a link (`endivetally_core.links`) would need a port
a peer; the platform gives sixteen.
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

# A peer that says nothing for so long is taken for lost, and everything that it
# said later on the same connection is never read. Six heartbeats.
SILENCE_LIMIT_S: Final = 0.6
HEARTBEAT_S: Final = 0.1
_LENGTH: Final = struct.Struct('>I')


class Channel:
    """Ordered messages; those of one turn of the event loop leave together.

    :param stream: an open connection, owned from now on.
    """

    def __init__(
        self, stream: IOStream, clock: Callable[[], float] = monotonic_now
    ) -> None:
        self.heard_at = clock()
        self._clock = clock
        self._stream = stream
        self._outbox: list[AnyHeldMessage] = []
        self._loop = asyncio.get_running_loop()
        with suppress(OSError, ValueError):
            stream.set_nodelay(True)

    @property
    def closed(self) -> bool:
        """Whether the channel has ended."""
        return self._stream.closed()

    @property
    def silent(self) -> bool:
        """Whether the peer has said nothing for too long."""
        return self._clock() - self.heard_at > SILENCE_LIMIT_S

    def post(self, message: AnyHeldMessage) -> None:
        """Queue a message; does nothing on a closed channel."""
        if self.closed:
            return
        if not self._outbox:
            self._loop.call_soon(self._flush)
        self._outbox.append(message)

    async def receive(self) -> list[AnyHeldMessage]:
        """Wait for the next messages.

        :raises LinkClosed: when the connection has ended.
        :raises MalformedMessage: when they do not decode.
        """
        try:
            header = await self._stream.read_bytes(_LENGTH.size)
            size = _LENGTH.unpack(header)[0]
            if size > MAX_BATCH_BYTES:
                raise MalformedMessage(f'batch of {size} bytes')
            encoded = await self._stream.read_bytes(size)
        except StreamClosedError as error:
            raise LinkClosed('held') from error
        # What was held up for longer than the limit belongs to a lost peer.
        if self.silent:
            self.close()
            raise LinkClosed('silent')
        self.heard_at = self._clock()
        return decode_batch(encoded)

    def close(self) -> None:
        """End the channel at once; queued messages are dropped."""
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
            # A full buffer or a broken connection: the peer is lost either way.
            self.close()
            return
        written.add_done_callback(_consume_error)


def _consume_error(written: 'asyncio.Future[None]') -> None:
    # The reader reports the end of the connection.
    if not written.cancelled():
        written.exception()
