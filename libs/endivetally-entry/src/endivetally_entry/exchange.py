"""What every link of an entry shares: versions, counters, the receive loop."""

import asyncio
import logging
from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

from endivetally_core.errors import LinkClosed
from endivetally_core.errors import MalformedMessage
from endivetally_core.links import LinkCounters
from endivetally_core.links import NngLink
from endivetally_core.messages import AnyMessage
from endivetally_core.messages import Frame
from endivetally_core.messages import TextRequest
from endivetally_core.messages import TextUpdate

if TYPE_CHECKING:
    import pynng
    from endivetally_config.manager import ConfigManager
    from endivetally_core.links import Link
    from endivetally_core.shaping import Shaper

_log = logging.getLogger(__name__)


class MessageReceiver(ABC):
    """Handles the messages of one peer."""

    @abstractmethod
    def heard(self) -> None:
        """Note that a frame arrived."""

    @abstractmethod
    def handle(self, message: AnyMessage) -> None:
        """Handle one message."""


class LinkTransport:
    """Opens links and spreads the operators' text over them.

    :param keeper: the text in force here.
    """

    def __init__(self, keeper: 'ConfigManager', shaper: 'Shaper') -> None:
        self.counters = LinkCounters()
        self._keeper = keeper
        self._shaper = shaper

    def open_link(
        self,
        socket: 'pynng.Pair0',
        *,
        peer: str,
        data_centre: str,
    ) -> NngLink:
        """Make a link of a connected socket."""
        return NngLink(
            socket,
            peer=peer,
            data_centre=data_centre,
            version=lambda: self._keeper.version,
            counters=self.counters,
            shaper=self._shaper,
        )

    def text_update(self) -> TextUpdate | None:
        """Return the text in force as a message, if there is one."""
        if self._keeper.version == 0:
            return None
        return TextUpdate(self._keeper.version, self._keeper.encoded)

    async def receive_all(self, link: 'Link', receiver: MessageReceiver) -> None:
        """Hand every message to the receiver until the link ends."""
        while True:
            try:
                frame = await link.receive()
            except LinkClosed:
                return
            except MalformedMessage:
                self.counters.malformed_frames += 1
                continue
            receiver.heard()
            self._handle_frame(link, receiver, frame)
            # Gives other tasks a turn when frames are always ready.
            await asyncio.sleep(0)

    def _handle_frame(
        self,
        link: 'Link',
        receiver: MessageReceiver,
        frame: Frame,
    ) -> None:
        for message in frame.messages:
            self._handle_message(link, receiver, message)
        if frame.version > self._keeper.version:
            link.post(TextRequest())

    def _handle_message(
        self,
        link: 'Link',
        receiver: MessageReceiver,
        message: AnyMessage,
    ) -> None:
        if isinstance(message, TextUpdate):
            self._adopt(message)
        elif isinstance(message, TextRequest):
            update = self.text_update()
            if update is not None:
                link.post(update)
        else:
            self._hand_over(receiver, message)

    def _adopt(self, update: TextUpdate) -> None:
        try:
            self._keeper.apply_if_newer(update.version, update.text)
        except MalformedMessage:
            self.counters.malformed_frames += 1
            _log.warning('text does not decode', extra={'version': update.version})

    def _hand_over(self, receiver: MessageReceiver, message: AnyMessage) -> None:
        try:
            receiver.handle(message)
        except Exception:
            self.counters.malformed_frames += 1
            _log.exception('message not handled')
