"""Reads the link counters that processes expose, and adds them up."""

import re
from collections.abc import Iterable
from typing import Final

import msgspec

from endivetally.bench.messages import parse_message_counts

_COUNTER_PATTERN: Final = re.compile(
    r'^endivetally_(\w+)_total(?:{})?\s+(\S+)', re.MULTILINE
)


class LinkCounters(msgspec.Struct, frozen=True):
    """Messages, frames and bytes that one or more processes exchanged over links.

    :param sources: number of processes that are included.
    :param messages: messages that were sent; a frame may carry several.
    :param frames: frames that were sent.
    :param bytes: bytes of the frames that were sent.
    :param received_frames: frames that were received.
    :param received_bytes: bytes of the frames that were received.
    """

    sources: int = 0
    messages: int = 0
    frames: int = 0
    bytes: int = 0
    received_frames: int = 0
    received_bytes: int = 0

    def increase_since(self, earlier: 'LinkCounters') -> 'LinkCounters':
        """Return the increase of each counter since an earlier reading."""
        return LinkCounters(
            self.sources,
            self.messages - earlier.messages,
            self.frames - earlier.frames,
            self.bytes - earlier.bytes,
            self.received_frames - earlier.received_frames,
            self.received_bytes - earlier.received_bytes,
        )


def parse_counters(exposition: str) -> LinkCounters:
    """Parse the counters of one process.

    :param exposition: response to ``/metrics`` in the Prometheus text format.

    >>> parse_counters('endivetally_frames_total 3').frames
    3
    """
    totals = {
        sample[1]: float(sample[2]) for sample in _COUNTER_PATTERN.finditer(exposition)
    }
    return LinkCounters(
        sources=1,
        messages=sum(parse_message_counts(exposition).values()),
        frames=round(totals.get('frames', 0)),
        bytes=round(totals.get('bytes', 0)),
        received_frames=round(totals.get('received_frames', 0)),
        received_bytes=round(totals.get('received_bytes', 0)),
    )


def sum_counters(parts: Iterable[LinkCounters]) -> LinkCounters:
    """Add up the counters of several processes."""
    total = LinkCounters()
    for part in parts:
        total = LinkCounters(
            total.sources + part.sources,
            total.messages + part.messages,
            total.frames + part.frames,
            total.bytes + part.bytes,
            total.received_frames + part.received_frames,
            total.received_bytes + part.received_bytes,
        )
    return total
