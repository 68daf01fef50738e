"""Steps that wait for a condition."""

import asyncio
from abc import abstractmethod
from dataclasses import dataclass
from typing import Final

from endivetally_core.errors import TableUnavailable

from endivetally.scenarios.process_steps import wait_for_exit
from endivetally.scenarios.selectors import select_one
from endivetally.scenarios.stage import Stage
from endivetally.scenarios.steps import Selector
from endivetally.scenarios.steps import Step
from endivetally.scenarios.steps import StepFailed

WAIT_TIMEOUT_S: Final = 45
POLL_S: Final = 0.02


class WaitStep(Step):
    """Waits until a condition holds."""

    async def run(self, stage: Stage) -> None:
        """Look again and again.

        :raises StepFailed: when it does not hold in time.
        """
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while not await self.holds(stage):
                    await asyncio.sleep(POLL_S)
        except TimeoutError as error:
            raise StepFailed(f'waited in vain: {self}') from error

    @abstractmethod
    async def holds(self, stage: Stage) -> bool:
        """Return whether the wait is over."""


@dataclass(frozen=True, slots=True)
class WaitStarts(WaitStep):
    """Waits until tasks of a label have started."""

    count: int
    label: str

    async def holds(self, stage: Stage) -> bool:
        """Return whether enough have started."""
        keys = stage.callers.keys_of(self.label)
        started = [
            start
            for start in stage.starts.read()
            if stage.callers.key_of(start.id) in keys
        ]
        return len(started) >= self.count


@dataclass(frozen=True, slots=True)
class WaitAnswers(WaitStep):
    """Waits until every request of a label is answered."""

    label: str

    async def holds(self, stage: Stage) -> bool:
        """Return whether no answer is missing."""
        return stage.callers.all_answered(self.label)


@dataclass(frozen=True, slots=True)
class WaitOwner(WaitStep):
    """Waits until another entry owns a key than the one named."""

    key: str
    former: Selector

    async def holds(self, stage: Stage) -> bool:
        """Return whether the key has moved."""
        former = await select_one(self.former, stage)
        try:
            return await stage.owner_of(self.key) != former
        except TableUnavailable:
            return False


@dataclass(frozen=True, slots=True)
class WaitExit(Step):
    """Waits until processes that were asked to stop have ended."""

    selector: Selector

    async def run(self, stage: Stage) -> None:
        """Wait for one after another."""
        for name in await self.selector.select(stage):
            await wait_for_exit(stage, name)


@dataclass(frozen=True, slots=True)
class WaitReady(Step):
    """Waits until every entry has the newest text and knows every target."""

    async def run(self, stage: Stage) -> None:
        """Ask the entries."""
        await stage.fleet.wait_ready(stage.operators.newest_version)


@dataclass(frozen=True, slots=True)
class Pause(Step):
    """Waits for a time."""

    seconds: float

    async def run(self, stage: Stage) -> None:
        """Sleep."""
        await asyncio.sleep(self.seconds)
