"""Sends task attempts to agents and routes their outcomes to the requests."""

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

    from endivetally_entry.agent_registry import AgentRegistry

# Longest wait between two runs of the scheduler.
MAX_IDLE_S = 1


class AttemptListener(ABC):
    """Is notified when an attempt that it has submitted ends."""

    @abstractmethod
    def attempt_ended(self, task: 'PendingTask', agent: str, outcome: Outcome) -> None:
        """Handle the outcome of an attempt that was sent to an agent."""

    @abstractmethod
    def attempt_expired(self, task: 'PendingTask') -> None:
        """Handle an attempt that can't start in time and was never sent."""


@dataclass(slots=True)
class _OpenAttempt:
    """An attempt that is queued or running.

    :param agent: incarnation that it was sent to; empty while it is queued.
    :param borrowed: uses no credit, but a slot for which another entry holds an
        unused one.
    """

    task: 'PendingTask'
    payload: bytes
    listener: AttemptListener
    agent: str = ''
    borrowed: bool = False


class Dispatcher:
    """Sends the attempts that the scheduler places and tracks them to their end.

    :param scheduler: decides which task goes to which agent, and when.
    :param agent_registry: links to the agents.
    """

    def __init__(self, scheduler: 'Scheduler', agent_registry: 'AgentRegistry') -> None:
        self.unmatched_outcomes = 0
        self.dispatch_count = 0
        self._scheduler = scheduler
        self._agent_registry = agent_registry
        self._open_attempts: dict[AttemptId, _OpenAttempt] = {}
        self._attempts_by_agent: dict[str, dict[AttemptId, None]] = {}
        self._wakeup = asyncio.Event()

    @property
    def in_progress_count(self) -> int:
        """Number of attempts that are queued or running."""
        return len(self._open_attempts)

    @property
    def busy_agents(self) -> list[str]:
        """Incarnations of agents with attempts that have no outcome yet."""
        return [
            agent for agent, attempts in self._attempts_by_agent.items() if attempts
        ]

    def submit_attempt(
        self,
        task: 'PendingTask',
        payload: bytes,
        listener: AttemptListener,
    ) -> None:
        """Queue an attempt; the listener is called exactly once when it ends."""
        self._open_attempts[task.attempt_id] = _OpenAttempt(task, payload, listener)
        self._scheduler.submit(task, _now())
        self._wakeup.set()

    def withdraw_request(self, owner: str, sequence: int) -> list[int]:
        """Remove the queued attempts of a request without calling their listener.

        :returns: numbers of the tasks that had not been sent.
        """
        withdrawn = self._scheduler.withdraw_request(owner, sequence)
        for pending in withdrawn:
            self._open_attempts.pop(pending.attempt_id, None)
        return [task.attempt_id.number for task in withdrawn]

    def cancel_attempts(self, attempt_ids: list[AttemptId]) -> None:
        """Ask the agents to cancel attempts, one message per agent and request.

        Attempts that have not been sent are skipped.
        """
        numbers: dict[tuple[str, str, int], list[int]] = {}
        for attempt_id in attempt_ids:
            attempt = self._open_attempts.get(attempt_id)
            if attempt is None or not attempt.agent:
                continue
            request = (attempt.agent, attempt_id.owner, attempt_id.sequence)
            numbers.setdefault(request, []).append(attempt_id.number)
        for (agent, owner, sequence), cancelled in numbers.items():
            self._agent_registry.post(agent, Cancel(owner, sequence, cancelled))

    def has_sent_attempt(self, attempt_ids: Iterable[AttemptId]) -> bool:
        """Return whether any of the attempts was sent and has no outcome yet."""
        open_attempts = (
            self._open_attempts.get(attempt_id) for attempt_id in attempt_ids
        )
        return any(attempt and attempt.agent for attempt in open_attempts)

    def handle_outcome(self, agent: str, outcome: Outcome) -> None:
        """Update the scheduler and call the listener of the attempt."""
        now = _now()
        if outcome.slots_claimed_by_others is not None:
            self._scheduler.update_other_load(
                agent, outcome.slots_claimed_by_others, now
            )
            self._wakeup.set()
        if outcome.credits:
            self._scheduler.add_credits(agent, outcome.credits, now)
            self._wakeup.set()
        attempt = self._open_attempts.pop(outcome.attempt_id, None)
        if attempt is None or attempt.agent != agent:
            self.unmatched_outcomes += 1
            return
        self._attempts_by_agent[agent].pop(outcome.attempt_id, None)
        self._scheduler.record_outcome(
            agent,
            attempt.task.service,
            outcome.status,
            outcome.run_ms,
            now,
        )
        attempt.listener.attempt_ended(attempt.task, agent, outcome)

    def add_credits(self, agent: str, count: int) -> None:
        """Add start credits that an agent has granted."""
        self._scheduler.add_credits(agent, count, _now())
        self._wakeup.set()

    def return_credits(self, agent: str, count: int) -> None:
        """Return up to a number of unused credits to an agent."""
        returned = self._scheduler.revoke_credits(agent, count)
        self._agent_registry.post(agent, CreditReturn(returned))

    def resend_attempts(self, agent: str) -> None:
        """Send every attempt without an outcome again, over a new link.

        The agent recognises the dispatches that it has already received.
        """
        for attempt_id in list(self._attempts_by_agent.get(agent, ())):
            self._send(self._open_attempts[attempt_id])

    def fail_attempts(self, agent: str, reason: str, *, exclusive: bool) -> None:
        """End the attempts at an agent with the status ``unknown``.

        :param exclusive: include tasks that may run at most once.
        """
        for attempt_id in list(self._attempts_by_agent.get(agent, ())):
            attempt = self._open_attempts[attempt_id]
            if exclusive or not attempt.task.exclusive:
                self.handle_outcome(agent, Outcome(attempt_id, 'unknown', reason))

    def wake(self) -> None:
        """Make the dispatch loop run the scheduler again."""
        self._wakeup.set()

    async def run(self) -> None:
        """Dispatch tasks whenever the scheduler's input changes, until cancelled."""
        while True:
            self._wakeup.clear()
            self._dispatch_ready_tasks()
            wakeup_at = self._scheduler.next_wakeup_at(_now())
            await self._sleep_until(wakeup_at)

    async def _sleep_until(self, wakeup_at: float | None) -> None:
        timeout: float = MAX_IDLE_S
        if wakeup_at is not None:
            timeout = min(max(wakeup_at - _now(), 0.001), MAX_IDLE_S)
        # asyncio.wait_for can swallow a cancellation; asyncio.timeout does not.
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._wakeup.wait()

    def _dispatch_ready_tasks(self) -> None:
        now = _now()
        for binding in self._scheduler.bind_tasks(now):
            attempt = self._open_attempts[binding.task.attempt_id]
            attempt.agent = binding.agent
            attempt.borrowed = binding.borrowed
            self._attempts_by_agent.setdefault(binding.agent, {})[
                binding.task.attempt_id
            ] = None
            self._send(attempt)
        for demand in self._scheduler.collect_demands(now):
            self._agent_registry.post(
                demand.agent, Demand(demand.service, demand.waiting)
            )
        for task in self._scheduler.pop_expired(now):
            expired = self._open_attempts.pop(task.attempt_id, None)
            if expired is not None:
                expired.listener.attempt_expired(task)

    def _send(self, attempt: _OpenAttempt) -> None:
        task = attempt.task
        self.dispatch_count += 1
        left_ms = max(int((task.deadline - _now()) * 1000), 0)
        self._agent_registry.post(
            attempt.agent,
            Dispatch(
                task.attempt_id,
                task.service,
                task.kind.value,
                attempt.payload,
                left_ms,
                self._scheduler.count_waiting(task.target_pool),
                task.pool,
                task.priority,
                attempt.borrowed,
            ),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
