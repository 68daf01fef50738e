"""Requests that this entry hands to the owner of their key."""

import asyncio
import itertools
from collections.abc import Callable
from types import MappingProxyType
from typing import TYPE_CHECKING

from endivetally_core.errors import EndivetallyError
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import LinkClosed
from endivetally_core.messages import Forward
from endivetally_core.messages import Forwarded

from endivetally_entry.execution import OwnershipMoved
from endivetally_entry.requests import Answer
from endivetally_entry.requests import CallerRequest

if TYPE_CHECKING:
    from endivetally_core.links import Link

MISDIRECTED_STATUS = 421
NEVER_STARTED_STATUS = 410
CODE_HEADER = 'X-Code'
KINDS = MappingProxyType({kind.value: kind for kind in ErrorKind})


class NeverStarted(EndivetallyError):
    """The former owner refused the request; nothing of it ever starts there."""


class Forwards:
    """Pending forwards by number, and the links that carry them.

    :param find_link: returns the open link to an entry, if there is one.
    """

    def __init__(self, find_link: 'Callable[[str], Link | None]') -> None:
        self._find_link = find_link
        self._numbers = itertools.count(1)
        self._pending: dict[int, tuple[str, asyncio.Future[Answer]]] = {}

    async def send(
        self,
        owner: str,
        request: CallerRequest,
        *,
        cancel: bool = False,
        former: bool = False,
    ) -> Answer:
        """Let the owner answer a request.

        :param cancel: the request names a job to stop.
        :param former: ask an owner that has handed the key over.
        :raises LinkClosed: when there is no link, or it ended; the owner may
            have received the request.
        :raises OwnershipMoved: when the other entry does not own the key.
        :raises NeverStarted: when a former owner had refused it.
        """
        link = self._find_link(owner)
        if link is None:
            raise LinkClosed(owner)
        loop = asyncio.get_running_loop()
        number = next(self._numbers)
        future: asyncio.Future[Answer] = loop.create_future()
        self._pending[number] = (owner, future)
        link.post(
            Forward(
                number,
                request.team,
                request.service.name,
                request.key,
                list(request.tasks),
                max(int((request.deadline - loop.time()) * 1000), 0),
                cancel,
                former,
            ),
        )
        try:
            return await future
        finally:
            self._pending.pop(number, None)

    def answered(self, message: Forwarded) -> None:
        """Give an owner's answer to the request that waits for it."""
        _owner, future = self._pending.get(message.forward_id, ('', None))
        if future is None or future.done():
            return
        if message.status == MISDIRECTED_STATUS:
            future.set_exception(OwnershipMoved(str(message.forward_id)))
            return
        if message.status == NEVER_STARTED_STATUS:
            future.set_exception(NeverStarted(str(message.forward_id)))
            return
        headers = dict(message.headers)
        code = headers.pop(CODE_HEADER, '')
        future.set_result(Answer(message.status, message.body, _kind(code), headers))

    def link_lost(self, owner: str) -> None:
        """End the forwards to an entry whose last link has ended."""
        for pending_owner, future in list(self._pending.values()):
            if pending_owner == owner and not future.done():
                future.set_exception(LinkClosed(owner))


def forwarded_answer(forward_id: int, answer: Answer) -> Forwarded:
    """Build the message that carries an answer back."""
    code = answer.kind.value if answer.kind else ''
    headers = {**answer.headers, CODE_HEADER: code}
    return Forwarded(forward_id, answer.status, headers, answer.body)


def never_started(forward_id: int) -> Forwarded:
    """Build the message that says that nothing of the request ever starts."""
    return Forwarded(forward_id, NEVER_STARTED_STATUS, {}, b'')


def misdirected(forward_id: int) -> Forwarded:
    """Build the message that says that this entry does not own the key."""
    return Forwarded(forward_id, MISDIRECTED_STATUS, {}, b'')


def _kind(code: str) -> ErrorKind | None:
    """Return the kind of a code; a peer's unknown one counts as internal."""
    if not code:
        return None
    return KINDS.get(code, ErrorKind.INTERNAL)
