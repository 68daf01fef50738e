"""Steps that start, stop, kill, freeze and thaw processes."""

import asyncio
from dataclasses import dataclass
from typing import Final

from endivetally.fleet.process import FleetProcess
from endivetally.scenarios.environment import Environment
from endivetally.scenarios.steps import Selector
from endivetally.scenarios.steps import Step

EXIT_TIMEOUT_S: Final = 40


@dataclass(frozen=True, slots=True)
class DefineName(Step):
    """Defines a name for the processes that a selector matches at this step."""

    name: str
    selector: Selector

    async def run(self, environment: Environment) -> None:
        """Store the names of the processes."""
        environment.process_names.define_alias(
            self.name, await self.selector.select(environment)
        )


@dataclass(frozen=True, slots=True)
class Start(Step):
    """Restarts processes at their previous addresses."""

    selector: Selector

    async def run(self, environment: Environment) -> None:
        """Start one process after another."""
        for name in await self.selector.select(environment):
            await start_process(environment, name)


@dataclass(frozen=True, slots=True)
class Stop(Step):
    """Sends SIGTERM to processes without waiting for their exit."""

    selector: Selector

    async def run(self, environment: Environment) -> None:
        """Send the signal to all at once."""
        for name in await self.selector.select(environment):
            environment.begin_downtime(name)
            environment.fleet.get_process(name).terminate()


@dataclass(frozen=True, slots=True)
class Kill(Step):
    """Kills processes with SIGKILL, all at once."""

    selector: Selector

    async def run(self, environment: Environment) -> None:
        """Kill the processes and wait for their exit."""
        processes = _get_processes(environment, await self.selector.select(environment))
        for process in processes:
            environment.begin_downtime(process.name)
        await asyncio.gather(*map(FleetProcess.kill, processes))


@dataclass(frozen=True, slots=True)
class Freeze(Step):
    """Suspends processes with SIGSTOP."""

    selector: Selector

    async def run(self, environment: Environment) -> None:
        """Suspend one process after another."""
        for process in _get_processes(
            environment, await self.selector.select(environment)
        ):
            environment.begin_downtime(process.name)
            process.freeze()


@dataclass(frozen=True, slots=True)
class Thaw(Step):
    """Resumes frozen processes with SIGCONT."""

    selector: Selector

    async def run(self, environment: Environment) -> None:
        """Resume one process after another."""
        for process in _get_processes(
            environment, await self.selector.select(environment)
        ):
            environment.end_downtime(process.name)
            process.thaw()


@dataclass(frozen=True, slots=True)
class RollingRestart(Step):
    """Stops and restarts processes, one after another."""

    selector: Selector

    async def run(self, environment: Environment) -> None:
        """Restart each process and wait until the fleet is ready again."""
        for name in await self.selector.select(environment):
            environment.begin_downtime(name)
            environment.fleet.get_process(name).terminate()
            await wait_for_exit(environment, name)
            await start_process(environment, name)
            await environment.fleet.wait_until_ready(
                environment.operators.newest_version
            )


async def start_process(environment: Environment, name: str) -> None:
    """Start a process that has exited and apply its shaping rules again."""
    fleet = environment.fleet
    for entry in fleet.deployment.entries:
        if entry.name == name:
            await fleet.start_entry(entry)
    for worker in fleet.deployment.workers:
        if worker.agent == name:
            await fleet.start_agent(worker)
        if worker.target == name:
            await fleet.start_target(worker)
    environment.end_downtime(name)
    await environment.network.reapply_rules(name)


async def wait_for_exit(environment: Environment, name: str) -> None:
    """Wait until a process that was told to stop has exited.

    An exit code other than 0 fails the scenario.
    """
    exit_code = await environment.fleet.get_process(name).wait(EXIT_TIMEOUT_S)
    if exit_code:
        environment.unclean_exits.append(f'{name} with exit code {exit_code}')


def _get_processes(environment: Environment, names: list[str]) -> list[FleetProcess]:
    return [environment.fleet.get_process(name) for name in names]
