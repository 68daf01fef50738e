"""Steps that start, stop, kill, freeze and thaw processes."""

import asyncio
from dataclasses import dataclass
from typing import Final

from endivetally.fleet.process import FleetProcess
from endivetally.scenarios.stage import Stage
from endivetally.scenarios.steps import Selector
from endivetally.scenarios.steps import Step

EXIT_TIMEOUT_S: Final = 40


@dataclass(frozen=True, slots=True)
class Let(Step):
    """Gives the processes that a selector names now a name of their own."""

    name: str
    selector: Selector

    async def run(self, stage: Stage) -> None:
        """Remember the processes."""
        stage.places.give(self.name, await self.selector.select(stage))


@dataclass(frozen=True, slots=True)
class Start(Step):
    """Starts processes anew at their former addresses."""

    selector: Selector

    async def run(self, stage: Stage) -> None:
        """Start them one after another."""
        for name in await self.selector.select(stage):
            await start_process(stage, name)


@dataclass(frozen=True, slots=True)
class Stop(Step):
    """Asks processes to stop by SIGTERM and does not wait."""

    selector: Selector

    async def run(self, stage: Stage) -> None:
        """Send the signal to all at once."""
        for name in await self.selector.select(stage):
            stage.begin_absence(name)
            stage.fleet.process(name).terminate()


@dataclass(frozen=True, slots=True)
class Kill(Step):
    """Ends processes by SIGKILL, all at once."""

    selector: Selector

    async def run(self, stage: Stage) -> None:
        """Kill them."""
        processes = _processes(stage, await self.selector.select(stage))
        for process in processes:
            stage.begin_absence(process.name)
        await asyncio.gather(*map(FleetProcess.kill, processes))


@dataclass(frozen=True, slots=True)
class Freeze(Step):
    """Stops the execution of processes by SIGSTOP."""

    selector: Selector

    async def run(self, stage: Stage) -> None:
        """Freeze them."""
        for process in _processes(stage, await self.selector.select(stage)):
            stage.begin_absence(process.name)
            process.freeze()


@dataclass(frozen=True, slots=True)
class Thaw(Step):
    """Lets frozen processes go on by SIGCONT."""

    selector: Selector

    async def run(self, stage: Stage) -> None:
        """Thaw them."""
        for process in _processes(stage, await self.selector.select(stage)):
            stage.end_absence(process.name)
            process.thaw()


@dataclass(frozen=True, slots=True)
class Roll(Step):
    """Stops and replaces processes, one after another."""

    selector: Selector

    async def run(self, stage: Stage) -> None:
        """Replace each and wait until the fleet is ready again."""
        for name in await self.selector.select(stage):
            stage.begin_absence(name)
            stage.fleet.process(name).terminate()
            await wait_for_exit(stage, name)
            await start_process(stage, name)
            await stage.fleet.wait_ready(stage.operators.newest_version)


async def start_process(stage: Stage, name: str) -> None:
    """Start a process that has ended, with the rules of its links."""
    fleet = stage.fleet
    for place in fleet.deployment.entries:
        if place.name == name:
            await fleet.start_entry(place)
    for worker in fleet.deployment.workers:
        if worker.agent == name:
            await fleet.start_agent(worker)
        if worker.target == name:
            await fleet.start_target(worker)
    stage.end_absence(name)
    await stage.network.restore(name)


async def wait_for_exit(stage: Stage, name: str) -> None:
    """Wait until a process that was asked to stop has ended.

    Every exit code but 0 is a failure of the scenario.
    """
    exit_code = await stage.fleet.process(name).wait(EXIT_TIMEOUT_S)
    if exit_code:
        stage.unclean_stops.append(f'{name} with exit code {exit_code}')


def _processes(stage: Stage, names: list[str]) -> list[FleetProcess]:
    return [stage.fleet.process(name) for name in names]
