"""The body of a request while it arrives."""

from typing import Final

# Bytes of a block, which are as many as are read at once.
BLOCK_BYTES: Final = 8 * 1024


class BodyBuffer:
    """Collects a body in blocks of about the same size.

    One buffer that grows is moved with each extension. Hundreds of them leave the heap
    in pieces, and the process keeps several times the memory that they hold.

    :ivar size: bytes so far.
    """

    def __init__(self) -> None:
        self.size = 0
        self._blocks: list[bytes] = []
        self._last = bytearray()

    def append(self, part: bytes) -> None:
        """Add a part of the body."""
        self.size += len(part)
        self._last += part
        if len(self._last) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._last))
            self._last.clear()

    def take(self) -> bytes:
        """Return the body, and leave none."""
        body = b''.join((*self._blocks, self._last))
        self.clear()
        return body

    def clear(self) -> None:
        """Drop the body."""
        self.size = 0
        self._blocks.clear()
        self._last.clear()
