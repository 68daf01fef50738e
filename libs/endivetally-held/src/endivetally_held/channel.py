"""Message channel between an entry and an agent over one TCP connection.

All entries connect to the same port of an agent, and each connection times out and is
closed on its own. The pair sockets of `endivetally_core.links` would need one port for
each peer, and the platform provides sixteen.

A channel is an asyncio protocol: received messages reach their handler in the event
loop iteration in which they arrive, and reading costs one system call.
"""

import asyncio
import struct
from abc import ABC
from abc import abstractmethod
from collections.abc import Callable
from collections.abc import Iterator
from typing import Final

from endivetally_core.clock import monotonic_now
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import MalformedMessage

from endivetally_held.messages import MAX_BATCH_BYTES
from endivetally_held.messages import Alive
from endivetally_held.messages import AnyHeldMessage
from endivetally_held.messages import decode_batch
from endivetally_held.messages import encode_batch

# A peer that sends nothing for this time counts as lost. What it sends later on the
# same connection is never processed.
PEER_TIMEOUT_S: Final = 0.6
# An entry also counts as lost at its agent when nothing has arrived that it has sent
# within this time, though older messages may still arrive. Without a delay, the newest
# message that has arrived was sent at most 0.5 s ago: each side sends one every 0.25 s.
MESSAGE_AGE_LIMIT_S: Final = 0.9
# A heartbeat is sent on a channel on which nothing was sent for the longer time, which
# is checked at the shorter interval. A peer hears something every 0.25 s at least.
HEARTBEAT_AFTER_S: Final = 0.15
HEARTBEAT_CHECK_S: Final = 0.1
# Length of the batch, the sender's clock in milliseconds when it sent the batch, and
# the newest such time that it had received from its peer; 0 before the first.
_HEADER: Final = struct.Struct('>IQQ')


class ChannelHandler(ABC):
    """Receives the events of channels."""

    @abstractmethod
    def channel_opened(self, channel: 'Channel') -> None:
        """Handle a new connection."""

    @abstractmethod
    def batch_received(self, channel: 'Channel', batch: list[AnyHeldMessage]) -> None:
        """Handle messages that were sent together.

        :raises LinkClosed: to close the channel.
        :raises MalformedMessage: to close the channel.
        """

    def batch_incomplete(self, channel: 'Channel', size: int) -> None:
        """Handle that a part of a batch has arrived.

        :param size: bytes of the part so far; 0 once there is none.
        """

    @abstractmethod
    def channel_closed(self, channel: 'Channel', reason: str) -> None:
        """Handle the end of a connection; called once, whoever has closed it."""


class Channel(asyncio.Protocol):
    """Ordered channel; messages posted in one event loop iteration share a batch.

    Each batch returns the newest time that its sender has received from the peer. The
    peer knows by its own clock that the batch was sent after that time, so that it
    can tell how long the batch was under way at most.

    :param rejects_late: whether the peer counts as lost when nothing has arrived that
        it has sent within the age limit.
    """

    def __init__(
        self,
        handler: ChannelHandler,
        clock: Callable[[], float] = monotonic_now,
        *,
        rejects_late: bool = False,
    ) -> None:
        self.last_received_at = clock()
        # The newest received batch was sent after this time of the own clock.
        self._peer_sent_after = self.last_received_at
        self._rejects_late = rejects_late
        self._newest_peer_ms = 0
        self._last_sent_at = self.last_received_at
        self._handler = handler
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._outbox: list[AnyHeldMessage] = []

    @property
    def closed(self) -> bool:
        """Whether the connection is closed, or not open yet."""
        return self._transport is None

    @property
    def silent_s(self) -> float:
        """Seconds since something was received."""
        return self._clock() - self.last_received_at

    @property
    def timed_out(self) -> bool:
        """Whether nothing, or nothing recent, was received for the peer timeout."""
        message_age_s = self._clock() - self._peer_sent_after
        if self._rejects_late and message_age_s > MESSAGE_AGE_LIMIT_S:
            return True
        return self.silent_s > PEER_TIMEOUT_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to use an open connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._handler.channel_opened(self)

    def data_received(self, data: bytes) -> None:
        """Handle the messages that are complete."""
        self._received += data
        try:
            for batch in self._take_batches():
                self._handler.batch_received(self, batch)
        except LinkClosed as error:
            self.close(str(error))
        except MalformedMessage as error:
            self.close(f'malformed: {error}')
        if self._transport is not None:
            self._handler.batch_incomplete(self, len(self._received))

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of a connection that this side has not closed."""
        if error is not None:
            self.close(f'{type(error).__name__}: {error}')
        self.close('closed')

    def post(self, message: AnyHeldMessage) -> None:
        """Queue a message; does nothing on a closed channel."""
        if self._transport is None:
            return
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._flush)
        self._outbox.append(message)

    def send_heartbeat(self) -> None:
        """Send a heartbeat unless something was sent recently."""
        silent_s = self._clock() - self._last_sent_at
        if silent_s >= HEARTBEAT_AFTER_S and not self._outbox:
            self._write(_ENCODED_HEARTBEAT)

    def close(self, reason: str = 'closing') -> None:
        """Close the connection at once; queued messages are dropped."""
        transport = self._transport
        if transport is None:
            return
        self._transport = None
        self._outbox.clear()
        self._received.clear()
        transport.abort()
        self._handler.channel_closed(self, reason)

    def _take_batches(self) -> Iterator[list[AnyHeldMessage]]:
        """Yield complete batches until there is none or the channel is closed.

        :raises LinkClosed: when a batch arrives after the peer timeout.
        :raises MalformedMessage: when a batch is too large or can't be decoded.
        """
        received = self._received
        while self._transport is not None and len(received) >= _HEADER.size:
            length, sent_ms, echoed_ms = _HEADER.unpack_from(received)
            end = _HEADER.size + length
            if end > MAX_BATCH_BYTES:
                raise MalformedMessage(f'batch of {end} bytes is too large')
            if len(received) < end:
                return
            self._peer_sent_after = max(self._peer_sent_after, echoed_ms / 1000)
            # A batch delayed beyond the timeout comes from a peer that counts as lost.
            if self.timed_out:
                raise LinkClosed('silent')
            self.last_received_at = self._clock()
            self._newest_peer_ms = sent_ms
            encoded = bytes(received[_HEADER.size : end])
            del received[:end]
            yield decode_batch(encoded)

    def _flush(self) -> None:
        batch = self._outbox
        if batch:
            self._outbox = []
            self._write_batch(batch)

    def _write_batch(self, batch: list[AnyHeldMessage]) -> None:
        """Send messages in as many batches as their size requires."""
        encoded = encode_batch(batch)
        if len(encoded) + _HEADER.size <= MAX_BATCH_BYTES or len(batch) == 1:
            self._write(encoded)
            return
        middle = len(batch) // 2
        self._write_batch(batch[:middle])
        self._write_batch(batch[middle:])

    def _write(self, encoded: bytes) -> None:
        transport = self._transport
        if transport is None:
            return
        self._last_sent_at = self._clock()
        sent_ms = int(self._last_sent_at * 1000)
        header = _HEADER.pack(len(encoded), sent_ms, self._newest_peer_ms)
        transport.write(header + encoded)
        if transport.get_write_buffer_size() > MAX_BATCH_BYTES:
            self.close('write buffer full')


# All heartbeats are the same, so they are encoded once.
_ENCODED_HEARTBEAT: Final = encode_batch([Alive()])
