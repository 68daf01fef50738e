"""Routes each request to the entry that may run it."""

import asyncio
from collections.abc import Iterator
from typing import TYPE_CHECKING

from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import RequestError
from endivetally_core.errors import TableUnavailable

from endivetally_entry.execution import Execution
from endivetally_entry.execution import OwnershipMoved
from endivetally_entry.forwarding import NeverStarted
from endivetally_entry.requests import CallerRequest
from endivetally_entry.requests import Response
from endivetally_entry.requests import success_response

if TYPE_CHECKING:
    from endivetally_policy.admission import AdmissionController
    from endivetally_policy.retries import RetryPolicy

    from endivetally_entry.dispatcher import Dispatcher
    from endivetally_entry.forwarding import RequestForwarder
    from endivetally_entry.idempotency import IdempotencyCache
    from endivetally_entry.keyed import KeyedRequestRunner
    from endivetally_entry.ownership import ShardOwnership
    from endivetally_entry.recovery import RequestRecovery

# The owner of a key, or its successor, is tried for at most this long.
OWNER_TIMEOUT_S = 8
REFRESH_POLL_S = 0.5


class RequestRouter:
    """Runs idempotent requests here and all others at the owner of their key.

    :param incarnation: incarnation of this entry.
    :param sequences: source of request numbers, unique within the incarnation.
    """

    def __init__(
        self,
        incarnation: str,
        ownership: 'ShardOwnership',
        forwarder: 'RequestForwarder',
        keyed_requests: 'KeyedRequestRunner',
        idempotency_cache: 'IdempotencyCache',
        recovery: 'RequestRecovery',
        admission: 'AdmissionController',
        dispatcher: 'Dispatcher',
        retries: 'RetryPolicy',
        sequences: Iterator[int],
    ) -> None:
        self._incarnation = incarnation
        self._ownership = ownership
        self._forwarder = forwarder
        self._keyed_requests = keyed_requests
        self._idempotency_cache = idempotency_cache
        self._recovery = recovery
        self._admission = admission
        self._dispatcher = dispatcher
        self._retries = retries
        self._sequences = sequences

    async def handle_request(self, request: CallerRequest) -> Response:
        """Return the response to a caller's request.

        :raises RequestError: when the request fails.
        """
        if not request.exclusive:
            return await self._run_idempotent(request)
        return await self._route_to_owner(request, cancel=False)

    async def cancel_request(self, request: CallerRequest) -> Response:
        """Cancel a keyed request at the owner of its key.

        :raises RequestError: when the owner does not know the key or does not
            respond.
        """
        return await self._route_to_owner(request, cancel=True)

    async def handle_forwarded(
        self,
        request: CallerRequest,
        *,
        cancel: bool,
    ) -> Response:
        """Handle a request that another entry forwarded to the owner of its key.

        :raises OwnershipMoved: when this entry does not own the key.
        :raises RequestError: when the request fails.
        """
        if not self._ownership.owns(request.scoped_key):
            raise OwnershipMoved(request.key)
        return await self._handle_as_owner(request, cancel=cancel)

    async def handle_as_former_owner(self, request: CallerRequest) -> Response:
        """Respond from memory to the entry that now owns the key.

        The response waits for a run that is still in progress; no run is started.

        :raises NeverStarted: when it was refused here before any task started.
        :raises OwnershipMoved: when this entry has no record of it.
        """
        if self._idempotency_cache.get(request.scoped_key) is not None:
            return await self._keyed_requests.run_or_join(request)
        if self._idempotency_cache.was_refused_before_start(request.scoped_key):
            raise NeverStarted(request.key)
        raise OwnershipMoved(request.key)

    async def _run_idempotent(self, request: CallerRequest) -> Response:
        now = asyncio.get_running_loop().time()
        self._admission.admit(
            request.team,
            request.service.name,
            len(request.tasks),
            request.deadline,
            now,
        )
        execution = Execution(
            request,
            self._incarnation,
            next(self._sequences),
            self._dispatcher,
            self._retries,
        )
        return success_response(request, await execution.run())

    async def _route_to_owner(
        self,
        request: CallerRequest,
        *,
        cancel: bool,
    ) -> Response:
        loop = asyncio.get_running_loop()
        give_up_at = min(request.deadline, loop.time() + OWNER_TIMEOUT_S)
        while True:
            try:
                return await self._try_owner(request, cancel=cancel)
            except (LinkClosed, OwnershipMoved):
                await self._wait_for_new_owner()
            if loop.time() >= give_up_at:
                raise RequestError(
                    ErrorKind.OUTCOME_UNKNOWN,
                    'the owner of the key does not answer',
                )

    async def _try_owner(self, request: CallerRequest, *, cancel: bool) -> Response:
        owner = self._ownership.find_owner(request.scoped_key)
        if owner is None:
            # An earlier submission of the key may have run elsewhere.
            raise RequestError(
                ErrorKind.NOT_READY,
                'the owner of the key is not known',
                execution_state=ExecutionState.UNKNOWN,
            )
        if owner == self._incarnation:
            if not self._ownership.owns(request.scoped_key):
                raise OwnershipMoved(request.key)
            return await self._handle_as_owner(request, cancel=cancel)
        return await self._forwarder.forward(owner, request, cancel=cancel)

    async def _handle_as_owner(
        self,
        request: CallerRequest,
        *,
        cancel: bool,
    ) -> Response:
        await self._ownership.wait_for_histories(request.deadline)
        if cancel:
            return self._keyed_requests.cancel_request(request)
        if self._idempotency_cache.get(request.scoped_key) is None:
            response = await self._query_former_owners(request)
            if response is not None:
                return response
        return await self._keyed_requests.run_or_join(request)

    async def _query_former_owners(self, request: CallerRequest) -> Response | None:
        """Ask the former owners that are still live and may finish the request.

        :returns: ``None`` when none of them has a response.
        """
        for former_request in reversed(
            self._recovery.find_former_requests(request.scoped_key)
        ):
            try:
                return await self._forwarder.forward(
                    former_request.owner, request, former_owner=True
                )
            except NeverStarted:
                self._recovery.mark_never_started(
                    request.scoped_key, former_request.owner
                )
            except (LinkClosed, OwnershipMoved):
                continue
        return None

    async def _wait_for_new_owner(self) -> None:
        try:
            await self._ownership.refresh()
        except TableUnavailable as error:
            raise RequestError(
                ErrorKind.OUTCOME_UNKNOWN,
                'the owner of the key does not answer and no other can take over',
            ) from error
        await self._ownership.wait_for_refresh(REFRESH_POLL_S)
