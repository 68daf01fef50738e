"""Handles the messages of one entry while its link is open."""

import logging
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Final

from endivetally_core.errors import LinkClosed
from endivetally_core.errors import MalformedMessage
from endivetally_core.joining import Address
from endivetally_core.links import Link
from endivetally_core.links import LinkCounters
from endivetally_core.messages import Acknowledge
from endivetally_core.messages import AnyMessage
from endivetally_core.messages import Cancel
from endivetally_core.messages import CreditReturn
from endivetally_core.messages import Demand
from endivetally_core.messages import Dispatch
from endivetally_core.messages import EntryNews
from endivetally_core.messages import EntryState
from endivetally_core.messages import Fence
from endivetally_core.messages import Fenced
from endivetally_core.messages import Frame
from endivetally_core.messages import Recall
from endivetally_core.messages import TextRequest
from endivetally_core.messages import TextUpdate

from endivetally_agent.admission import DispatchAdmission
from endivetally_agent.config_store import ConfigStore
from endivetally_agent.link_registry import LinkRegistry
from endivetally_agent.task_manager import TaskManager
from endivetally_agent.watchers import HeartbeatManager

logger: Final = logging.getLogger(__name__)


class EntrySession:
    """Passes each message of one entry to the component that handles it.

    :param entry: incarnation of the entry.
    :param add_address: called with the address of each entry that this entry
        reports.
    """

    def __init__(
        self,
        entry: str,
        link: Link,
        *,
        admission: DispatchAdmission,
        tasks: TaskManager,
        links: LinkRegistry,
        config_store: ConfigStore,
        counters: LinkCounters,
        heartbeats: HeartbeatManager,
        add_address: Callable[[Address], None],
    ) -> None:
        self._entry = entry
        self._link = link
        self._admission = admission
        self._tasks = tasks
        self._links = links
        self._config_store = config_store
        self._counters = counters
        self._heartbeats = heartbeats
        self._add_address = add_address

    async def serve(self) -> None:
        """Handle frames until the link closes."""
        self._links.add(self._entry, self._link)
        logger.info('link opened', extra={'entry': self._entry})
        try:
            await self._handle_frames()
        except LinkClosed:
            logger.info('link closed', extra={'entry': self._entry})
        finally:
            self._links.remove(self._entry)
            self._tasks.send_credit_changes(
                self._tasks.allocator.remove_entry(self._entry)
            )

    async def _handle_frames(self) -> None:
        self._heartbeats.send_initial_state(self._entry)
        if not self._admission.is_fenced(self._entry):
            self._tasks.send_credit_changes(
                self._tasks.allocator.add_entry(self._entry)
            )
        self._tasks.resend_outcomes(self._entry)
        while True:
            try:
                frame = await self._link.receive()
            except MalformedMessage:
                self._counters.malformed_frames += 1
            else:
                self._handle_frame(frame)

    def _handle_frame(self, frame: Frame) -> None:
        self._links.record_received(self._entry)
        for message in frame.messages:
            self._handle(message)
        if self._config_store.should_request(frame.version):
            self._link.post(TextRequest())

    @singledispatchmethod
    def _handle(self, message: AnyMessage) -> None:
        self._counters.malformed_frames += 1

    @_handle.register
    def _handle_dispatch(self, message: Dispatch) -> None:
        self._tasks.handle_dispatch(self._entry, message)

    @_handle.register
    def _handle_cancel(self, message: Cancel) -> None:
        self._tasks.cancel_tasks(message)

    @_handle.register
    def _handle_demand(self, message: Demand) -> None:
        changes = self._tasks.allocator.record_demand(self._entry, message.waiting)
        self._tasks.send_credit_changes(changes)

    @_handle.register
    def _handle_credit_return(self, message: CreditReturn) -> None:
        if not self._tasks.allocator.awaits_credit_return(self._entry):
            # The entry considers this agent silent; it must receive the state
            # before it can use the credits that are granted next.
            self._link.post(self._tasks.state)
        changes = self._tasks.allocator.record_credit_return(
            self._entry, message.credits
        )
        self._tasks.send_credit_changes(changes)

    @_handle.register
    def _handle_fence(self, message: Fence) -> None:
        self._tasks.fence_owner(message.owner)
        self._link.post(Fenced(message.owner))

    @_handle.register
    def _handle_recall(self, message: Recall) -> None:
        self._tasks.recall_request(self._entry, message)

    @_handle.register
    def _handle_acknowledge(self, message: Acknowledge) -> None:
        self._admission.acknowledge_requests(message.owner, message.sequences)

    @_handle.register
    def _handle_entry_state(self, message: EntryState) -> None:
        if message.probe:
            self._link.post(self._tasks.state)

    @_handle.register
    def _handle_entry_news(self, message: EntryNews) -> None:
        try:
            addresses = [Address.parse(text) for text in message.addresses]
        except MalformedMessage:
            self._counters.malformed_frames += 1
            return
        for address in addresses:
            self._add_address(address)

    @_handle.register
    def _handle_text_request(self, message: TextRequest) -> None:
        if self._config_store.version:
            self._link.post(self._config_store.update_message)

    @_handle.register
    def _handle_text_update(self, message: TextUpdate) -> None:
        if self._config_store.store_if_newer(message):
            logger.info('text in force', extra={'version': message.version})
