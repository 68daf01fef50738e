"""Sends bound tasks to agents and routes their outcomes back."""

import asyncio
from abc import ABC
from abc import abstractmethod
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from endivetally_core.messages import AttemptId
from endivetally_core.messages import Cancel
from endivetally_core.messages import CreditReturn
from endivetally_core.messages import Demand
from endivetally_core.messages import Dispatch
from endivetally_core.messages import Outcome

if TYPE_CHECKING:
    from endivetally_policy.scheduling import PendingTask
    from endivetally_policy.scheduling import Scheduler

    from endivetally_entry.agent_registry import AgentRoster

IDLE_WAKEUP_S = 1


class BindingListener(ABC):
    """Told about the end of each binding that it submitted."""

    @abstractmethod
    def binding_ended(self, task: 'PendingTask', agent: str, outcome: Outcome) -> None:
        """Handle the outcome of a binding."""

    @abstractmethod
    def binding_expired(self, task: 'PendingTask') -> None:
        """Handle a task that can't be started in time; it was never sent."""


@dataclass(slots=True)
class _Submission:
    task: 'PendingTask'
    payload: bytes
    listener: BindingListener
    agent: str = ''
    borrowed: bool = False


class Dispatcher:
    """Drives the scheduler and owns every binding without an outcome.

    :param scheduler: decides which task goes where.
    :param roster: links to the agents.
    """

    def __init__(self, scheduler: 'Scheduler', roster: 'AgentRoster') -> None:
        self.stray_outcomes = 0
        self.dispatched = 0
        self._scheduler = scheduler
        self._roster = roster
        self._submissions: dict[AttemptId, _Submission] = {}
        self._bound_to: dict[str, dict[AttemptId, None]] = {}
        self._wakeup = asyncio.Event()

    @property
    def in_progress(self) -> int:
        """Bindings that wait for a slot or for their outcome."""
        return len(self._submissions)

    @property
    def bound_agents(self) -> list[str]:
        """Agents with bindings that have no outcome yet."""
        return [agent for agent, names in self._bound_to.items() if names]

    def submit(
        self,
        task: 'PendingTask',
        payload: bytes,
        listener: BindingListener,
    ) -> None:
        """Queue one binding; the listener is told exactly once how it ended."""
        self._submissions[task.name] = _Submission(task, payload, listener)
        self._scheduler.submit(task, _now())
        self._wakeup.set()

    def withdraw(self, owner: str, sequence: int) -> list[int]:
        """Take back what waits of a request; its listener hears nothing.

        :returns: numbers of the tasks that had not been sent.
        """
        withdrawn = self._scheduler.withdraw_request(owner, sequence)
        for pending in withdrawn:
            self._submissions.pop(pending.name, None)
        return [task.name.number for task in withdrawn]

    def cancel(self, names: list[AttemptId]) -> None:
        """Ask the agents to stop bindings; their outcomes are then ignored."""
        numbers: dict[tuple[str, str, int], list[int]] = {}
        for name in names:
            submission = self._submissions.get(name)
            if submission is None or not submission.agent:
                continue
            request = (submission.agent, name.owner, name.sequence)
            numbers.setdefault(request, []).append(name.number)
        for (agent, owner, sequence), cancelled in numbers.items():
            self._roster.post(agent, Cancel(owner, sequence, cancelled))

    def any_sent(self, names: Iterable[AttemptId]) -> bool:
        """Return whether a binding without an outcome has left this process."""
        submissions = (self._submissions.get(name) for name in names)
        return any(submission and submission.agent for submission in submissions)

    def outcome_received(self, agent: str, outcome: Outcome) -> None:
        """Route an outcome to the listener of its binding."""
        now = _now()
        if outcome.slots_claimed_by_others is not None:
            self._scheduler.update_other_load(
                agent, outcome.slots_claimed_by_others, now
            )
            self._wakeup.set()
        if outcome.credits:
            self._scheduler.add_credits(agent, outcome.credits, now)
            self._wakeup.set()
        submission = self._submissions.pop(outcome.attempt_id, None)
        if submission is None or submission.agent != agent:
            self.stray_outcomes += 1
            return
        self._bound_to[agent].pop(outcome.attempt_id, None)
        self._scheduler.record_outcome(
            agent,
            submission.task.service,
            outcome.status,
            outcome.run_ms,
            now,
        )
        submission.listener.binding_ended(submission.task, agent, outcome)

    def credits_granted(self, agent: str, count: int) -> None:
        """Take start credits from an agent."""
        self._scheduler.add_credits(agent, count, _now())
        self._wakeup.set()

    def credits_revoked(self, agent: str, count: int) -> None:
        """Give unused credits back to an agent."""
        returned = self._scheduler.revoke_credits(agent, count)
        self._roster.post(agent, CreditReturn(returned))

    def resend(self, agent: str) -> None:
        """Send every dispatch without an outcome again, after a new link.

        The agent's gate recognises those that it had received.
        """
        for name in list(self._bound_to.get(agent, ())):
            self._post(self._submissions[name])

    def fail_bindings(self, agent: str, reason: str, *, exclusive: bool) -> None:
        """End the bindings to an agent as unknown.

        :param exclusive: also those that may run at most once.
        """
        for name in list(self._bound_to.get(agent, ())):
            submission = self._submissions[name]
            if exclusive or not submission.task.exclusive:
                self.outcome_received(agent, Outcome(name, 'unknown', reason))

    def wake(self) -> None:
        """Look at the scheduler again soon."""
        self._wakeup.set()

    async def run(self) -> None:
        """Bind tasks whenever something changed, until cancelled."""
        while True:
            self._wakeup.clear()
            self._bind_ready_tasks()
            wakeup_at = self._scheduler.next_wakeup_at(_now())
            await self._sleep_until(wakeup_at)

    async def _sleep_until(self, wakeup_at: float | None) -> None:
        timeout: float = IDLE_WAKEUP_S
        if wakeup_at is not None:
            timeout = min(max(wakeup_at - _now(), 0.001), IDLE_WAKEUP_S)
        # Unlike wait_for, the block never swallows a cancellation.
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._wakeup.wait()

    def _bind_ready_tasks(self) -> None:
        now = _now()
        for binding in self._scheduler.bind_tasks(now):
            submission = self._submissions[binding.task.name]
            submission.agent = binding.agent
            submission.borrowed = binding.borrowed
            self._bound_to.setdefault(binding.agent, {})[binding.task.name] = None
            self._post(submission)
        for demand in self._scheduler.collect_demands(now):
            self._roster.post(demand.agent, Demand(demand.service, demand.waiting))
        for task in self._scheduler.pop_expired(now):
            expired = self._submissions.pop(task.name, None)
            if expired is not None:
                expired.listener.binding_expired(task)

    def _post(self, submission: _Submission) -> None:
        task = submission.task
        self.dispatched += 1
        left_ms = max(int((task.deadline - _now()) * 1000), 0)
        self._roster.post(
            submission.agent,
            Dispatch(
                task.name,
                task.service,
                task.kind.value,
                submission.payload,
                left_ms,
                self._scheduler.count_waiting(task.target_pool),
                task.pool,
                task.priority,
                submission.borrowed,
            ),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
