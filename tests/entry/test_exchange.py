"""Tests of the receive loop, which counts and drops malformed input."""

from endivetally_config.manager import ConfigManager
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import MalformedMessage
from endivetally_core.messages import Frame
from endivetally_core.messages import Grant
from endivetally_core.messages import TextUpdate
from endivetally_core.shaping import NoShaping
from endivetally_entry.exchange import LinkTransport
from endivetally_entry.exchange import MessageHandler
from entry.builders import RecordingLink


class RecordingHandler(MessageHandler):
    """A handler that fails on one message and records the others."""

    def __init__(self):
        self.handled = []

    def frame_received(self):
        """Do nothing."""

    def handle_message(self, message):
        if message == Grant(13):
            raise ValueError('handler failure')
        self.handled.append(message)


async def test_a_link_stays_open_after_malformed_input():
    transport, link, handler = (
        LinkTransport(ConfigManager(), NoShaping()),
        RecordingLink(),
        RecordingHandler(),
    )
    link.frames = [
        MalformedMessage('no frame'),
        Frame(0, [Grant(13), Grant(1)]),
        Frame(0, [TextUpdate(5, b'no text'), Grant(2)]),
        LinkClosed('end'),
    ]
    await transport.receive_all(link, handler)
    assert handler.handled == [Grant(1), Grant(2)]
    assert transport.counters.malformed_frames == 3
