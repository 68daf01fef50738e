"""Decides on dispatches, runs tasks and reports how they end."""

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

from endivetally_agent.admission import Decision
from endivetally_agent.admission import Gate
from endivetally_agent.admission import GateState
from endivetally_agent.admission import Refusal
from endivetally_agent.admission import Verdict
from endivetally_agent.counters import AgentCounters
from endivetally_agent.dispatch_queue import WaitingStarts
from endivetally_agent.registry import LinkRegistry
from endivetally_agent.slots import CreditOrder
from endivetally_agent.slots import SlotLedger
from endivetally_agent.target_client import TargetRunner
from endivetally_agent.usage import UsageEstimate

IDEMPOTENT: Final = 'idempotent'


class TaskManager:
    """Ties the gate, the credits and the target together.

    :param gate: decides what starts.
    :param runner: client of the target.
    :param links: links to the entries.
    """

    def __init__(
        self,
        gate: Gate,
        runner: TargetRunner,
        links: LinkRegistry,
        counters: AgentCounters,
    ) -> None:
        self.usage = UsageEstimate()
        self.ledger = SlotLedger()
        self._gate = gate
        self._runner = runner
        self._links = links
        self._counters = counters
        self._told = GateState.CLOSED
        self._waiting = WaitingStarts()
        self._jobs: set[asyncio.Task[None]] = set()

    @property
    def state(self) -> AgentState:
        """State of the agent as a message, told to all entries first if new."""
        self.refresh()
        return self._describe()

    def refresh(self) -> None:
        """Tell all entries when the state of the gate has changed.

        Called before any decision that depends on the state, so that entries
        and the ledger see every closing of the gate, however short.
        """
        state = self._gate.state
        if state is not self._told:
            self._told = state
            self._links.broadcast(self._describe())
        self.send_orders(self.ledger.resize(self._gate.slots))
        self._decide_waiting()

    def send_orders(self, orders: Iterable[CreditOrder]) -> None:
        """Send credits and revocations."""
        for order in orders:
            if order.grant:
                self._counters.credits.increment('granted', amount=order.grant)
                self._links.post(order.entry, Grant(order.grant))
            if order.revoke:
                self._counters.credits.increment('revoked', amount=order.revoke)
                self._links.post(order.entry, Revoke(order.revoke))

    def dispatch(self, entry: str, dispatch: Dispatch) -> None:
        """Start a task, refuse it, or let it wait for the next free slot.

        :param entry: the entry at the other end of the link.
        """
        self.refresh()
        if dispatch.attempt_id in self._waiting:
            return
        if self._may_wait(entry, dispatch):
            self._claim(entry, dispatch)
            self._waiting.add(entry, dispatch)
            return
        decision = self._gate.try_start(dispatch, self.usage.memory_mb)
        if decision.verdict is Verdict.STARTED:
            self._claim(entry, dispatch)
            self._start(entry, dispatch)
        elif decision.reason is None:
            self._answer_repeated(entry, dispatch.attempt_id, decision)
        else:
            self._refuse(entry, dispatch, decision.reason)

    def cancel(self, cancel: Cancel) -> None:
        """Stop bindings of a request, or let them never start."""
        self._counters.cancellations.increment(amount=len(cancel.numbers))
        for number in cancel.numbers:
            name = self._gate.cancel(cancel.owner, cancel.sequence, number)
            if name is not None:
                self._spawn(self._runner.cancel(name))
        self._decide_waiting()

    def fence(self, owner: str) -> None:
        """Refuse an incarnation for ever and take its credits back."""
        self._gate.fence(owner)
        self._decide_waiting()
        self.send_orders(self.ledger.detach(owner))

    def recall(self, entry: str, recall: Recall) -> None:
        """Report what a fenced incarnation's request did here."""
        outcomes = self._gate.recall(recall.owner, recall.sequence, entry)
        self._decide_waiting()
        self.send_orders(self.ledger.detach(recall.owner))
        self._links.post(entry, Recalled(recall.recall_id, outcomes))

    def resend(self, entry: str) -> None:
        """Send again what an entry may have missed while it had no link."""
        for outcome in self._gate.unsettled(entry):
            self._links.post(entry, outcome)

    async def wait_for_tasks(self) -> None:
        """Wait until nothing runs at the target."""
        while self._jobs:
            await asyncio.wait(self._jobs)

    def _describe(self) -> AgentState:
        announcement = self._gate.announcement
        return AgentState(
            state=self._gate.state.value,
            running=self._gate.running,
            slots=self._gate.slots,
            memory_mb=announcement.used_memory_mb if announcement else 0,
        )

    def _spawn(self, job: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(job)
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)

    def _may_wait(self, entry: str, dispatch: Dispatch) -> bool:
        if not self._gate.lacks_slot(dispatch, self.usage.memory_mb):
            return False
        if dispatch.borrowed:
            return self._waiting.takes_borrowed
        return self.ledger.credits_of(entry) > 0

    def _claim(self, entry: str, dispatch: Dispatch) -> None:
        orders = self.ledger.start(entry, dispatch.waiting, borrowed=dispatch.borrowed)
        self.send_orders(orders)

    def _start(self, entry: str, dispatch: Dispatch) -> None:
        self._counters.starts.increment()
        self._spawn(self._run(entry, dispatch))

    def _decide_waiting(self) -> None:
        # The gate decides on each as if it had come just now.
        for start in self._waiting:
            dispatch = start.dispatch
            memory_mb = self.usage.memory_mb
            if self._gate.lacks_slot(dispatch, memory_mb):
                continue
            self._waiting.remove(dispatch.attempt_id)
            decision = self._gate.try_start(dispatch, memory_mb)
            if decision.verdict is Verdict.STARTED:
                self._start(start.entry, dispatch)
                continue
            receiver = self.ledger.finish(start.entry, borrowed=dispatch.borrowed)
            if decision.reason is not None:
                self._counters.refusals.increment(decision.reason.value)
                refused = Outcome(dispatch.attempt_id, 'refused', decision.reason.value)
                self._report(start.entry, refused, receiver)

    async def _run(self, entry: str, dispatch: Dispatch) -> None:
        outcome = await self._runner.run(dispatch)
        linked = dispatch.attempt_id.owner in self._links
        self._gate.finish(outcome, settled=linked and dispatch.kind == IDEMPOTENT)
        self._counters.outcomes.increment(outcome.status)
        if outcome.status == 'refused':
            self._gate.close()
            self.refresh()
        else:
            self.usage.observe_run(outcome.run_ms)
        receiver = self.ledger.finish(entry, borrowed=dispatch.borrowed)
        self._decide_waiting()
        self._report(dispatch.attempt_id.owner, outcome, receiver)
        recaller = self._gate.recaller(dispatch.attempt_id)
        if recaller:
            self._links.post(recaller, outcome)

    def _report(self, entry: str, outcome: Outcome, receiver: str) -> None:
        if receiver and receiver != entry:
            self.send_orders([CreditOrder(receiver, grant=1)])
        outcome = msgspec.structs.replace(
            outcome,
            credits=int(bool(receiver) and receiver == entry),
            slots_claimed_by_others=self.ledger.others(entry),
        )
        self._links.post(entry, outcome)

    def _refuse(self, entry: str, dispatch: Dispatch, reason: Refusal) -> None:
        self._counters.refusals.increment(reason.value)
        receiver = ''
        if not dispatch.borrowed:
            receiver = self.ledger.refuse(
                entry, dispatch.waiting, withhold=reason is Refusal.MEMORY
            )
        refused = Outcome(dispatch.attempt_id, 'refused', reason.value)
        self._report(entry, refused, receiver)

    def _answer_repeated(self, entry: str, name: AttemptId, decision: Decision) -> None:
        self._counters.duplicates.increment()
        if decision.outcome is not None:
            self._links.post(entry, decision.outcome)
        elif decision.verdict is Verdict.EXPIRED:
            self._links.post(entry, Outcome(name, 'unknown', 'expired'))
