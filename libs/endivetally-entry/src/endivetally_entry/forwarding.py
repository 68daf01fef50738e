"""Forwards requests to the entry that owns their idempotency key."""

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
from endivetally_entry.requests import CallerRequest
from endivetally_entry.requests import Response

if TYPE_CHECKING:
    from endivetally_core.links import Link

MISDIRECTED_STATUS = 421
NEVER_STARTED_STATUS = 410
CODE_HEADER = 'X-Code'
KINDS_BY_CODE = MappingProxyType({kind.value: kind for kind in ErrorKind})


class NeverStarted(EndivetallyError):
    """The former owner refused the request and will never start any of its tasks."""


class RequestForwarder:
    """Sends requests to other entries and matches the replies to them.

    :param find_link: returns the open link to an entry, if there is one.
    """

    def __init__(self, find_link: 'Callable[[str], Link | None]') -> None:
        self._find_link = find_link
        self._forward_ids = itertools.count(1)
        self._pending: dict[int, tuple[str, asyncio.Future[Response]]] = {}

    async def forward(
        self,
        owner: str,
        request: CallerRequest,
        *,
        cancel: bool = False,
        former_owner: bool = False,
    ) -> Response:
        """Forward a request to an entry and wait for its response.

        :param owner: incarnation of the entry.
        :param cancel: cancel the request instead of running it.
        :param former_owner: the entry has released the key to another owner; it
            responds only from memory, never with a new run.
        :raises LinkClosed: when there is no link or it closes before the reply;
            in the latter case the entry may have received the request.
        :raises OwnershipMoved: when the other entry does not own the key.
        :raises NeverStarted: when a former owner refused the request.
        """
        link = self._find_link(owner)
        if link is None:
            raise LinkClosed(owner)
        loop = asyncio.get_running_loop()
        forward_id = next(self._forward_ids)
        future: asyncio.Future[Response] = loop.create_future()
        self._pending[forward_id] = (owner, future)
        link.post(
            Forward(
                forward_id,
                request.team,
                request.service.name,
                request.key,
                list(request.tasks),
                max(int((request.deadline - loop.time()) * 1000), 0),
                cancel,
                former_owner,
            ),
        )
        try:
            return await future
        finally:
            self._pending.pop(forward_id, None)

    def handle_reply(self, message: Forwarded) -> None:
        """Complete the pending request that a reply belongs to, if there is one."""
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
        future.set_result(
            Response(message.status, message.body, _error_kind(code), headers)
        )

    def fail_pending(self, owner: str) -> None:
        """Fail the requests pending at an entry whose last link has closed."""
        for pending_owner, future in list(self._pending.values()):
            if pending_owner == owner and not future.done():
                future.set_exception(LinkClosed(owner))


def response_reply(forward_id: int, response: Response) -> Forwarded:
    """Build the reply that carries the response to a forwarded request."""
    code = response.error_kind.value if response.error_kind else ''
    headers = {**response.headers, CODE_HEADER: code}
    return Forwarded(forward_id, response.status, headers, response.body)


def never_started_reply(forward_id: int) -> Forwarded:
    """Build the reply that no task of the request has started or ever will."""
    return Forwarded(forward_id, NEVER_STARTED_STATUS, {}, b'')


def misdirected_reply(forward_id: int) -> Forwarded:
    """Build the reply that this entry does not own the key."""
    return Forwarded(forward_id, MISDIRECTED_STATUS, {}, b'')


def _error_kind(code: str) -> ErrorKind | None:
    """Return the kind for a code; codes unknown to this version are internal."""
    if not code:
        return None
    return KINDS_BY_CODE.get(code, ErrorKind.INTERNAL)
