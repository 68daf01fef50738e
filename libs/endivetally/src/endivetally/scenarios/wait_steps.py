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
POLL_S: Final = 0.02


class WaitStep(Step):
    """Waits until a condition holds."""

    async def run(self, environment: Environment) -> None:
        """Look again and again.

        :raises StepFailed: when it does not hold in time.
        """
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while not await self.is_met(environment):
                    await asyncio.sleep(POLL_S)
        except TimeoutError as error:
            raise StepFailed(f'waited in vain: {self}') from error

    @abstractmethod
    async def is_met(self, environment: Environment) -> bool:
        """Return whether the wait is over."""


@dataclass(frozen=True, slots=True)
class WaitStarts(WaitStep):
    """Waits until tasks of a label have started."""

    count: int
    label: str

    async def is_met(self, environment: Environment) -> bool:
        """Return whether enough have started."""
        keys = environment.callers.find_keys(self.label)
        started = [
            start
            for start in environment.starts.read_all()
            if environment.callers.key_of_task(start.task_id) in keys
        ]
        return len(started) >= self.count


@dataclass(frozen=True, slots=True)
class WaitResponses(WaitStep):
    """Waits until every request of a label is answered."""

    label: str

    async def is_met(self, environment: Environment) -> bool:
        """Return whether no answer is missing."""
        return environment.callers.has_all_responses(self.label)


@dataclass(frozen=True, slots=True)
class WaitNewOwner(WaitStep):
    """Waits until another entry owns a key than the one named."""

    key: str
    former: Selector

    async def is_met(self, environment: Environment) -> bool:
        """Return whether the key has moved."""
        former = await select_one(self.former, environment)
        try:
            return await environment.find_owner(self.key) != former
        except TableUnavailable:
            return False


@dataclass(frozen=True, slots=True)
class WaitExit(Step):
    """Waits until processes that were asked to stop have ended."""

    selector: Selector

    async def run(self, environment: Environment) -> None:
        """Wait for one after another."""
        for name in await self.selector.select(environment):
            await wait_for_exit(environment, name)


@dataclass(frozen=True, slots=True)
class WaitReady(Step):
    """Waits until every entry has the newest text and knows every target."""

    async def run(self, environment: Environment) -> None:
        """Ask the entries."""
        await environment.fleet.wait_ready(environment.operators.newest_version)


@dataclass(frozen=True, slots=True)
class Pause(Step):
    """Waits for a time."""

    seconds: float

    async def run(self, environment: Environment) -> None:
        """Sleep."""
        await asyncio.sleep(self.seconds)
