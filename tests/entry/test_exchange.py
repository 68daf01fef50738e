"""Tests of the receive loop: malformed input is counted and dropped."""

from endivetally_config.manager import ConfigManager
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import MalformedMessage
from endivetally_core.messages import Frame
from endivetally_core.messages import Grant
from endivetally_core.messages import TextUpdate
from endivetally_core.shaping import NoShaping
from endivetally_entry.exchange import LinkTransport
from endivetally_entry.exchange import MessageReceiver
from entry.parts import KeptLink


class Receiver(MessageReceiver):
    """Fails on one message, keeps the others."""

    def __init__(self):
        self.handled = []

    def heard(self):
        """Do nothing."""

    def handle(self, message):
        if message == Grant(13):
            raise ValueError('unlucky')
        self.handled.append(message)


async def test_malformed_input_does_not_end_the_link():
    transport, link, receiver = (
        LinkTransport(ConfigManager(), NoShaping()),
        KeptLink(),
        Receiver(),
    )
    link.frames = [
        MalformedMessage('no frame'),
        Frame(0, [Grant(13), Grant(1)]),
        Frame(0, [TextUpdate(5, b'no text'), Grant(2)]),
        LinkClosed('end'),
    ]
    await transport.receive_all(link, receiver)
    assert receiver.handled == [Grant(1), Grant(2)]
    assert transport.counters.malformed_frames == 3
