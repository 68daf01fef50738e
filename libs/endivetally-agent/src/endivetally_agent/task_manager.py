"""Starts, queues or refuses dispatches, and reports the outcomes of their tasks."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any
from typing import Final

import msgspec
from endivetally_core.messages import AgentState
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Cancel
from endivetally_core.messages import Dispatch
from endivetally_core.messages import Grant
from endivetally_core.messages import Outcome
from endivetally_core.messages import Recall
from endivetally_core.messages import Recalled
from endivetally_core.messages import Revoke

from endivetally_agent.admission import AdmissionState
from endivetally_agent.admission import Decision
from endivetally_agent.admission import DispatchAdmission
from endivetally_agent.admission import RefusalReason
from endivetally_agent.admission import Verdict
from endivetally_agent.counters import AgentCounters
from endivetally_agent.dispatch_queue import DispatchQueue
from endivetally_agent.link_registry import LinkRegistry
from endivetally_agent.slots import CreditChange
from endivetally_agent.slots import SlotAllocator
from endivetally_agent.target_client import TargetClient
from endivetally_agent.usage import UsageEstimate

IDEMPOTENT: Final = 'idempotent'


class TaskManager:
    """Coordinates admission, start credits and the target.

    :param admission: decides which dispatches start.
    :param target: runs the tasks.
    :param links: open links to the entries.
    """

    def __init__(
        self,
        admission: DispatchAdmission,
        target: TargetClient,
        links: LinkRegistry,
        counters: AgentCounters,
    ) -> None:
        self.usage = UsageEstimate()
        self.allocator = SlotAllocator()
        self._admission = admission
        self._target = target
        self._links = links
        self._counters = counters
        self._reported_state = AdmissionState.CLOSED
        self._queue = DispatchQueue()
        self._background_tasks: set[asyncio.Task[None]] = set()

    @property
    def state(self) -> AgentState:
        """Current state as a message; a new state is first sent to all entries."""
        self.refresh_state()
        return self._make_state_message()

    def refresh_state(self) -> None:
        """Report a changed admission state to all entries; update credits and queue.

        Called before every decision that depends on the state, so that entries and
        the allocator see every closed state, however short.
        """
        state = self._admission.state
        if state is not self._reported_state:
            self._reported_state = state
            self._links.broadcast(self._make_state_message())
        self.send_credit_changes(self.allocator.set_slots(self._admission.slots))
        self._process_queue()

    def send_credit_changes(self, changes: Iterable[CreditChange]) -> None:
        """Send grants and revocations of credits to their entries."""
        for change in changes:
            if change.grant:
                self._counters.credits.increment('granted', amount=change.grant)
                self._links.send(change.entry, Grant(change.grant))
            if change.revoke:
                self._counters.credits.increment('revoked', amount=change.revoke)
                self._links.send(change.entry, Revoke(change.revoke))

    def handle_dispatch(self, entry: str, dispatch: Dispatch) -> None:
        """Start a task, refuse it, or queue it until a slot is free.

        :param entry: the entry at the other end of the link.
        """
        self.refresh_state()
        if dispatch.attempt_id in self._queue:
            return
        if self._may_queue(entry, dispatch):
            self._record_start(entry, dispatch)
            self._queue.add(entry, dispatch)
            return
        decision = self._admission.try_start(dispatch, self.usage.memory_mb)
        if decision.verdict is Verdict.STARTED:
            self._record_start(entry, dispatch)
            self._start(entry, dispatch)
        elif decision.reason is None:
            self._respond_to_duplicate(entry, dispatch.attempt_id, decision)
        else:
            self._refuse(entry, dispatch, decision.reason)

    def cancel_tasks(self, cancel: Cancel) -> None:
        """Stop running tasks of a request and refuse all further attempts at them."""
        self._counters.cancellations.increment(amount=len(cancel.numbers))
        for number in cancel.numbers:
            attempt_id = self._admission.cancel_task(
                cancel.owner, cancel.sequence, number
            )
            if attempt_id is not None:
                self._spawn(self._target.cancel_task(attempt_id))
        self._process_queue()

    def fence_owner(self, owner: str) -> None:
        """Refuse all further dispatches of an incarnation and reclaim its credits."""
        self._admission.fence_owner(owner)
        self._process_queue()
        self.send_credit_changes(self.allocator.remove_entry(owner))

    def recall_request(self, entry: str, recall: Recall) -> None:
        """Fence the owner of a request and report which attempts it started here."""
        outcomes = self._admission.recall_request(recall.owner, recall.sequence, entry)
        self._process_queue()
        self.send_credit_changes(self.allocator.remove_entry(recall.owner))
        self._links.send(entry, Recalled(recall.recall_id, outcomes))

    def resend_outcomes(self, entry: str) -> None:
        """Resend the outcomes that an entry may have missed while it had no link."""
        for outcome in self._admission.list_unsettled(entry):
            self._links.send(entry, outcome)

    async def wait_for_tasks(self) -> None:
        """Wait until no task runs at the target and no cancellation is being sent."""
        while self._background_tasks:
            await asyncio.wait(self._background_tasks)

    def _make_state_message(self) -> AgentState:
        announcement = self._admission.announcement
        return AgentState(
            state=self._admission.state.value,
            running=self._admission.running,
            slots=self._admission.slots,
            memory_mb=announcement.used_memory_mb if announcement else 0,
        )

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def _may_queue(self, entry: str, dispatch: Dispatch) -> bool:
        if not self._admission.lacks_slot(dispatch, self.usage.memory_mb):
            return False
        if dispatch.borrowed:
            return self._queue.accepts_borrowed
        return self.allocator.credits_of(entry) > 0

    def _record_start(self, entry: str, dispatch: Dispatch) -> None:
        changes = self.allocator.record_start(
            entry, dispatch.waiting, borrowed=dispatch.borrowed
        )
        self.send_credit_changes(changes)

    def _start(self, entry: str, dispatch: Dispatch) -> None:
        self._counters.starts.increment()
        self._spawn(self._run(entry, dispatch))

    def _process_queue(self) -> None:
        # Each queued dispatch is decided as if it had just arrived.
        for queued in self._queue:
            dispatch = queued.dispatch
            memory_mb = self.usage.memory_mb
            if self._admission.lacks_slot(dispatch, memory_mb):
                continue
            self._queue.remove(dispatch.attempt_id)
            decision = self._admission.try_start(dispatch, memory_mb)
            if decision.verdict is Verdict.STARTED:
                self._start(queued.entry, dispatch)
                continue
            receiver = self.allocator.record_end(
                queued.entry, borrowed=dispatch.borrowed
            )
            if decision.reason is not None:
                self._counters.refusals.increment(decision.reason.value)
                refused = Outcome(dispatch.attempt_id, 'refused', decision.reason.value)
                self._send_outcome(queued.entry, refused, receiver)

    async def _run(self, entry: str, dispatch: Dispatch) -> None:
        outcome = await self._target.run_task(dispatch)
        linked = dispatch.attempt_id.owner in self._links
        self._admission.record_outcome(
            outcome, settled=linked and dispatch.kind == IDEMPOTENT
        )
        self._counters.outcomes.increment(outcome.status)
        if outcome.status == 'refused':
            self._admission.close()
            self.refresh_state()
        else:
            self.usage.observe_run(outcome.run_ms)
        receiver = self.allocator.record_end(entry, borrowed=dispatch.borrowed)
        self._process_queue()
        self._send_outcome(dispatch.attempt_id.owner, outcome, receiver)
        recaller = self._admission.find_recaller(dispatch.attempt_id)
        if recaller:
            self._links.send(recaller, outcome)

    def _send_outcome(self, entry: str, outcome: Outcome, receiver: str) -> None:
        if receiver and receiver != entry:
            self.send_credit_changes([CreditChange(receiver, grant=1)])
        outcome = msgspec.structs.replace(
            outcome,
            credits=int(bool(receiver) and receiver == entry),
            slots_claimed_by_others=self.allocator.count_other_tasks(entry),
        )
        self._links.send(entry, outcome)

    def _refuse(self, entry: str, dispatch: Dispatch, reason: RefusalReason) -> None:
        self._counters.refusals.increment(reason.value)
        receiver = ''
        if not dispatch.borrowed:
            receiver = self.allocator.record_refusal(
                entry, dispatch.waiting, withhold=reason is RefusalReason.MEMORY
            )
        refused = Outcome(dispatch.attempt_id, 'refused', reason.value)
        self._send_outcome(entry, refused, receiver)

    def _respond_to_duplicate(
        self, entry: str, attempt_id: AttemptId, decision: Decision
    ) -> None:
        self._counters.duplicates.increment()
        if decision.outcome is not None:
            self._links.send(entry, decision.outcome)
        elif decision.verdict is Verdict.EXPIRED:
            self._links.send(entry, Outcome(attempt_id, 'unknown', 'expired'))
