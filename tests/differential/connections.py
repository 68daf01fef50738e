"""Links in memory: in order on one wire, in any order between wires."""

import asyncio
import contextvars

from endivetally_core.errors import LinkClosed
from endivetally_core.links import Link
from endivetally_core.messages import Frame
from endivetally_core.messages import decode_frame
from endivetally_core.messages import encode_frame

LATENCY_S = 0.001


class WireEnd(Link):
    """One end of a wire."""

    def __init__(self, wire):
        self.version = lambda: 0
        self._wire = wire
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
            raise LinkClosed('wire')
        encoded = await self._inbox.get()
        if encoded is None:
            self._closed = True
            raise LinkClosed('wire')
        return decode_frame(encoded)

    async def flush(self):
        while self._outbox:
            await asyncio.sleep(0)

    def close(self):
        if not self._closed:
            self._closed = True
            self._inbox.put_nowait(None)
            self._wire.cut()

    def deliver(self, encoded):
        self._inbox.put_nowait(encoded)

    def _send(self):
        messages, self._outbox = self._outbox, []
        if not self._closed:
            self._wire.carry(self, encode_frame(Frame(self.version(), messages)))


class Wire:
    """Two ends and the frames between them."""

    def __init__(self, left_name, right_name):
        self.names = (left_name, right_name)
        self.ended = False
        self.left = WireEnd(self)
        self.right = WireEnd(self)
        self.latency_s = LATENCY_S
        self.duplicates = 0
        self._held = None
        self._network = contextvars.Context()

    def hold(self):
        """Keep frames back until the release."""
        if self._held is None:
            self._held = []

    def release(self):
        """Let everything through that was held back."""
        held, self._held = self._held, None
        for end, encoded in held or ():
            self._schedule(end, encoded)

    def carry(self, sender, encoded):
        """Take a frame of one end."""
        receiver = self.right if sender is self.left else self.left
        copies = 1
        if self.duplicates:
            self.duplicates -= 1
            copies = 2
        for _copy in range(copies):
            if self._held is None:
                self._schedule(receiver, encoded)
            else:
                self._held.append((receiver, encoded))

    def cut(self):
        """End the wire; frames under way are lost."""
        if self.ended:
            return
        self.ended = True
        loop = asyncio.get_running_loop()
        for end in (self.left, self.right):
            loop.call_later(LATENCY_S, end.deliver, None, context=self._network)

    def _schedule(self, end, encoded):
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.latency_s, self._arrive, end, encoded, context=self._network
        )

    def _arrive(self, end, encoded):
        if self.ended:
            return
        if self._held is None:
            end.deliver(encoded)
        else:
            self._held.append((end, encoded))
