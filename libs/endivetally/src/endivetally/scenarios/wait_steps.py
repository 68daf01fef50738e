"""Steps that wait for a condition."""

import asyncio
from abc import abstractmethod
from dataclasses import dataclass
from typing import Final

from endivetally_core.errors import TableUnavailable

from endivetally.scenarios.environment import Environment
from endivetally.scenarios.process_steps import wait_for_exit
from endivetally.scenarios.selectors import select_one
from endivetally.scenarios.steps import Selector
from endivetally.scenarios.steps import Step
from endivetally.scenarios.steps import StepFailed

WAIT_TIMEOUT_S: Final = 45
POLL_INTERVAL_S: Final = 0.02


class WaitStep(Step):
    """Waits until a condition is met."""

    async def run(self, environment: Environment) -> None:
        """Poll the condition.

        :raises StepFailed: when the condition is not met before the timeout.
        """
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while not await self.is_met(environment):
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError as error:
            raise StepFailed(
                f'condition was not met before the timeout: {self}'
            ) from error

    @abstractmethod
    async def is_met(self, environment: Environment) -> bool:
        """Return whether the condition is met."""


@dataclass(frozen=True, slots=True)
class WaitStarts(WaitStep):
    """Waits until targets have recorded a number of starts of a label."""

    count: int
    label: str

    async def is_met(self, environment: Environment) -> bool:
        """Return whether enough starts are recorded."""
        keys = environment.callers.find_keys(self.label)
        started = [
            start
            for start in environment.starts.read_all()
            if environment.callers.key_of_task(start.task_id) in keys
        ]
        return len(started) >= self.count


@dataclass(frozen=True, slots=True)
class WaitResponses(WaitStep):
    """Waits until every request of a label has ended."""

    label: str

    async def is_met(self, environment: Environment) -> bool:
        """Return whether no response is missing."""
        return environment.callers.has_all_responses(self.label)


@dataclass(frozen=True, slots=True)
class WaitNewOwner(WaitStep):
    """Waits until a key is owned by an entry other than the former owner."""

    key: str
    former: Selector

    async def is_met(self, environment: Environment) -> bool:
        """Return whether the owner has changed; false while the table is down."""
        former = await select_one(self.former, environment)
        try:
            return await environment.find_owner(self.key) != former
        except TableUnavailable:
            return False


@dataclass(frozen=True, slots=True)
class WaitExit(Step):
    """Waits until processes that were told to stop have exited."""

    selector: Selector

    async def run(self, environment: Environment) -> None:
        """Wait for one process after another."""
        for name in await self.selector.select(environment):
            await wait_for_exit(environment, name)


@dataclass(frozen=True, slots=True)
class WaitReady(Step):
    """Waits until every entry has the newest configuration and sees every target."""

    async def run(self, environment: Environment) -> None:
        """Poll the status of the entries."""
        await environment.fleet.wait_until_ready(environment.operators.newest_version)


@dataclass(frozen=True, slots=True)
class Pause(Step):
    """Waits for a fixed time."""

    seconds: float

    async def run(self, environment: Environment) -> None:
        """Sleep."""
        await asyncio.sleep(self.seconds)
