"""Opens links, receives their messages and distributes the configuration."""

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


class MessageHandler(ABC):
    """Handles the frames and messages of one peer."""

    @abstractmethod
    def frame_received(self) -> None:
        """Record that the peer is alive; called before the frame's messages."""

    @abstractmethod
    def handle_message(self, message: AnyMessage) -> None:
        """Handle one message."""


class LinkTransport:
    """Opens and serves links, and synchronises the configuration of both ends.

    Each frame carries the version of the sender's configuration. A receiver with
    an older version requests the configuration from the sender.

    :param active_config: configuration of this process.
    :param shaper: injects faults into links, for tests.
    """

    def __init__(self, active_config: 'ConfigManager', shaper: 'Shaper') -> None:
        self.counters = LinkCounters()
        self._active_config = active_config
        self._shaper = shaper

    def open_link(
        self,
        socket: 'pynng.Pair0',
        *,
        peer: str,
        data_centre: str,
    ) -> NngLink:
        """Create a link on a connected socket."""
        return NngLink(
            socket,
            peer=peer,
            data_centre=data_centre,
            get_version=lambda: self._active_config.version,
            counters=self.counters,
            shaper=self._shaper,
        )

    def make_config_update(self) -> TextUpdate | None:
        """Return the message with the configuration; ``None`` if there is none yet."""
        if self._active_config.version == 0:
            return None
        return TextUpdate(self._active_config.version, self._active_config.encoded)

    async def receive_all(self, link: 'Link', handler: MessageHandler) -> None:
        """Pass every message to the handler until the link closes.

        Malformed frames and messages that the handler fails on are counted and
        dropped; the link stays open.
        """
        while True:
            try:
                frame = await link.receive()
            except LinkClosed:
                return
            except MalformedMessage:
                self.counters.malformed_frames += 1
                continue
            handler.frame_received()
            self._handle_frame(link, handler, frame)
            # Lets other tasks run even when a frame is always ready.
            await asyncio.sleep(0)

    def _handle_frame(
        self,
        link: 'Link',
        handler: MessageHandler,
        frame: Frame,
    ) -> None:
        for message in frame.messages:
            self._handle_message(link, handler, message)
        if frame.version > self._active_config.version:
            link.post(TextRequest())

    def _handle_message(
        self,
        link: 'Link',
        handler: MessageHandler,
        message: AnyMessage,
    ) -> None:
        if isinstance(message, TextUpdate):
            self._adopt_config(message)
        elif isinstance(message, TextRequest):
            update = self.make_config_update()
            if update is not None:
                link.post(update)
        else:
            self._pass_to_handler(handler, message)

    def _adopt_config(self, update: TextUpdate) -> None:
        try:
            self._active_config.apply_if_newer(update.version, update.text)
        except MalformedMessage:
            self.counters.malformed_frames += 1
            _log.warning(
                'configuration update is malformed',
                extra={'version': update.version},
            )

    def _pass_to_handler(self, handler: MessageHandler, message: AnyMessage) -> None:
        try:
            handler.handle_message(message)
        except Exception:
            self.counters.malformed_frames += 1
            _log.exception('message dropped: its handler failed')
