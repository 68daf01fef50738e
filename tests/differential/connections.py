"""In-memory connections that can be delayed, held, duplicated and cut.

Frames stay in order within a connection, but not between connections.
"""

import asyncio
import contextvars

from endivetally_core.errors import LinkClosed
from endivetally_core.links import Link
from endivetally_core.messages import Frame
from endivetally_core.messages import decode_frame
from endivetally_core.messages import encode_frame

LATENCY_S = 0.001


class ConnectionEnd(Link):
    """One end of a connection."""

    def __init__(self, connection):
        self.version = lambda: 0
        self._connection = connection
        self._closed = False
        self._outbox = []
        self._inbox = asyncio.Queue()

    @property
    def closed(self):
        return self._closed

    def post(self, message):
        if self._closed:
            return
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._send)
        self._outbox.append(message)

    async def receive(self):
        if self._closed:
            raise LinkClosed('connection')
        encoded = await self._inbox.get()
        if encoded is None:
            self._closed = True
            raise LinkClosed('connection')
        return decode_frame(encoded)

    async def flush(self):
        while self._outbox:
            await asyncio.sleep(0)

    def close(self):
        if not self._closed:
            self._closed = True
            self._inbox.put_nowait(None)
            self._connection.cut()

    def deliver(self, encoded):
        self._inbox.put_nowait(encoded)

    def _send(self):
        messages, self._outbox = self._outbox, []
        if not self._closed:
            self._connection.send_frame(
                self, encode_frame(Frame(self.version(), messages))
            )


class Connection:
    """Two ends and the frames in transit between them.

    :param duplicates: number of frames still to be delivered twice.
    """

    def __init__(self, left_name, right_name):
        self.names = (left_name, right_name)
        self.is_cut = False
        self.left = ConnectionEnd(self)
        self.right = ConnectionEnd(self)
        self.latency_s = LATENCY_S
        self.duplicates = 0
        self._held_frames = None
        self._network_context = contextvars.Context()

    def hold(self):
        """Hold all frames until `release` is called."""
        if self._held_frames is None:
            self._held_frames = []

    def release(self):
        """Deliver the held frames and stop holding."""
        held_frames, self._held_frames = self._held_frames, None
        for end, encoded in held_frames or ():
            self._schedule_delivery(end, encoded)

    def send_frame(self, sender, encoded):
        """Send a frame of one end to the other."""
        receiver = self.right if sender is self.left else self.left
        copies = 1
        if self.duplicates:
            self.duplicates -= 1
            copies = 2
        for _copy in range(copies):
            if self._held_frames is None:
                self._schedule_delivery(receiver, encoded)
            else:
                self._held_frames.append((receiver, encoded))

    def cut(self):
        """Cut the connection; frames in transit are lost."""
        if self.is_cut:
            return
        self.is_cut = True
        loop = asyncio.get_running_loop()
        for end in (self.left, self.right):
            loop.call_later(LATENCY_S, end.deliver, None, context=self._network_context)

    def _schedule_delivery(self, end, encoded):
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.latency_s,
            self._deliver_frame,
            end,
            encoded,
            context=self._network_context,
        )

    def _deliver_frame(self, end, encoded):
        if self.is_cut:
            return
        if self._held_frames is None:
            end.deliver(encoded)
        else:
            self._held_frames.append((end, encoded))
