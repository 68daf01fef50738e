"""Routes each checked request to the entry that may answer it."""

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
from endivetally_entry.requests import Answer
from endivetally_entry.requests import CallerRequest
from endivetally_entry.requests import whole_answer

if TYPE_CHECKING:
    from endivetally_policy.admission import AdmissionController
    from endivetally_policy.retries import RetryPolicy

    from endivetally_entry.dispatcher import Dispatcher
    from endivetally_entry.forwarding import Forwards
    from endivetally_entry.idempotency import KeyLedger
    from endivetally_entry.keyed import KeyedRequests
    from endivetally_entry.ownership import Ownership
    from endivetally_entry.recovery import Recovery

OWNER_WAIT_S = 8
MAP_POLL_S = 0.5


class RequestRouter:
    """Answers every request once, here or through the owner of its key.

    :param incarnation: incarnation of this entry.
    """

    def __init__(
        self,
        incarnation: str,
        ownership: 'Ownership',
        forwards: 'Forwards',
        keyed: 'KeyedRequests',
        ledger: 'KeyLedger',
        recovery: 'Recovery',
        admission: 'AdmissionController',
        dispatcher: 'Dispatcher',
        retries: 'RetryPolicy',
        sequences: Iterator[int],
    ) -> None:
        self._incarnation = incarnation
        self._ownership = ownership
        self._forwards = forwards
        self._keyed = keyed
        self._ledger = ledger
        self._recovery = recovery
        self._admission = admission
        self._dispatcher = dispatcher
        self._retries = retries
        self._sequences = sequences

    async def answer(self, request: CallerRequest) -> Answer:
        """Return the whole answer.

        :raises RequestError: when there is none.
        """
        if not request.exclusive:
            return await self._answer_idempotent(request)
        return await self._answer_through_owner(request, cancel=False)

    async def cancel(self, request: CallerRequest) -> Answer:
        """Stop a keyed request, wherever it runs.

        :raises RequestError: when its owner does not know the key.
        """
        return await self._answer_through_owner(request, cancel=True)

    async def answer_forwarded(
        self,
        request: CallerRequest,
        *,
        cancel: bool,
    ) -> Answer:
        """Answer for another entry, as the owner of the key.

        :raises OwnershipMoved: when this entry does not own it and never did.
        :raises RequestError: when there is no whole answer.
        """
        if not self._ownership.owns(request.name):
            raise OwnershipMoved(request.key)
        return await self._answer_as_owner(request, cancel=cancel)

    async def answer_as_former_owner(self, request: CallerRequest) -> Answer:
        """Answer from memory for the owner that this entry handed the key to.

        :raises NeverStarted: when it was refused here and never started.
        :raises OwnershipMoved: when this entry knows nothing of it.
        """
        if self._ledger.get(request.name) is not None:
            return await self._keyed.answer(request)
        if self._ledger.has_refused(request.name):
            raise NeverStarted(request.key)
        raise OwnershipMoved(request.key)

    async def _answer_idempotent(self, request: CallerRequest) -> Answer:
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
        return whole_answer(request, await execution.run())

    async def _answer_through_owner(
        self,
        request: CallerRequest,
        *,
        cancel: bool,
    ) -> Answer:
        loop = asyncio.get_running_loop()
        give_up_at = min(request.deadline, loop.time() + OWNER_WAIT_S)
        while True:
            try:
                return await self._ask_owner(request, cancel=cancel)
            except (LinkClosed, OwnershipMoved):
                await self._wait_for_new_owner()
            if loop.time() >= give_up_at:
                raise RequestError(
                    ErrorKind.OUTCOME_UNKNOWN,
                    'the owner of the key does not answer',
                )

    async def _ask_owner(self, request: CallerRequest, *, cancel: bool) -> Answer:
        owner = self._ownership.owner_of(request.name)
        if owner is None:
            # An earlier submission of the key may have run.
            raise RequestError(
                ErrorKind.NOT_READY,
                'the owner of the key is not known',
                ran=ExecutionState.UNKNOWN,
            )
        if owner == self._incarnation:
            if not self._ownership.owns(request.name):
                raise OwnershipMoved(request.key)
            return await self._answer_as_owner(request, cancel=cancel)
        return await self._forwards.send(owner, request, cancel=cancel)

    async def _answer_as_owner(
        self,
        request: CallerRequest,
        *,
        cancel: bool,
    ) -> Answer:
        await self._ownership.wait_for_history(request.deadline)
        if cancel:
            return self._keyed.cancel(request)
        if self._ledger.get(request.name) is None:
            former = await self._ask_former_owner(request)
            if former is not None:
                return former
        return await self._keyed.answer(request)

    async def _ask_former_owner(self, request: CallerRequest) -> Answer | None:
        """Ask former owners that still run and may finish the request."""
        for prior in reversed(self._recovery.former_requests(request.name)):
            try:
                return await self._forwards.send(prior.owner, request, former=True)
            except NeverStarted:
                self._recovery.settle(request.name, prior.owner)
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
        await self._ownership.wait_for_change(MAP_POLL_S)
