"""Selectors, which determine the processes to which a step applies."""

from dataclasses import dataclass
from typing import Final

from endivetally.scenarios.environment import Environment
from endivetally.scenarios.steps import Selector
from endivetally.scenarios.steps import StepFailed

ROLES: Final = ('entry', 'agent', 'target')


@dataclass(frozen=True, slots=True)
class NamedProcesses(Selector):
    """A process, a rack, a data centre, or a name defined by ``let``."""

    name: str

    async def select(self, environment: Environment) -> list[str]:
        """Return the processes with this name."""
        return environment.process_names.resolve_name(self.name)


@dataclass(frozen=True, slots=True)
class KeyOwner(Selector):
    """The entry that owns a key."""

    key: str

    async def select(self, environment: Environment) -> list[str]:
        """Return the name of the owner."""
        return [await environment.find_owner(self.key)]


@dataclass(frozen=True, slots=True)
class ProcessRunningKey(Selector):
    """The agent or target of the worker where the first task of a key started.

    :param role: ``agent`` or ``target``.
    """

    role: str
    key: str

    async def select(self, environment: Environment) -> list[str]:
        """Return the name of one process."""
        for start in environment.starts.read_all():
            if environment.callers.key_of_task(
                start.task_id
            ) in environment.callers.find_keys(self.key):
                worker = environment.process_names.find_worker(start.target)
                return [worker.agent if self.role == 'agent' else worker.target]
        raise StepFailed(f'no task of {self.key} has started')


@dataclass(frozen=True, slots=True)
class OtherEntry(Selector):
    """The first available entry that another selector does not match."""

    other: Selector

    async def select(self, environment: Environment) -> list[str]:
        """Return the name of one entry."""
        excluded = await self.other.select(environment)
        for entry in environment.list_available_entries():
            if entry.name not in excluded:
                return [entry.name]
        raise StepFailed('no other entry is available')


@dataclass(frozen=True, slots=True)
class AllOfRole(Selector):
    """All processes of a role.

    :param role: ``entry``, ``agent`` or ``target``.
    """

    role: str

    async def select(self, environment: Environment) -> list[str]:
        """Return the names of all processes of the role."""
        return environment.process_names.list_by_role(self.role)


@dataclass(frozen=True, slots=True)
class ExitedProcesses(Selector):
    """Processes that have exited, whether they were told to stop or not."""

    async def select(self, environment: Environment) -> list[str]:
        """Return the names of the processes; the list may be empty."""
        return [
            name
            for role in ROLES
            for name in environment.process_names.list_by_role(role)
            if not environment.fleet.get_process(name).alive
        ]


async def select_one(selector: Selector, environment: Environment) -> str:
    """Return the name of the only selected process.

    :raises StepFailed: when the selector does not match exactly one.
    """
    names = await selector.select(environment)
    if len(names) != 1:
        raise StepFailed(
            f'the step needs exactly one process, but these match: {names}'
        )
    return names[0]
