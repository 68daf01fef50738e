"""Selectors: which processes a step is about."""

from dataclasses import dataclass
from typing import Final

from endivetally.scenarios.stage import Stage
from endivetally.scenarios.steps import Selector
from endivetally.scenarios.steps import StepFailed

ROLES: Final = ('entry', 'agent', 'target')


@dataclass(frozen=True, slots=True)
class Named(Selector):
    """A process, a rack, a data centre, or a name given by ``let``."""

    name: str

    async def select(self, stage: Stage) -> list[str]:
        """Return the named processes."""
        return stage.places.named(self.name)


@dataclass(frozen=True, slots=True)
class Owner(Selector):
    """The entry that owns a key."""

    key: str

    async def select(self, stage: Stage) -> list[str]:
        """Return the owner's name."""
        return [await stage.owner_of(self.key)]


@dataclass(frozen=True, slots=True)
class Beside(Selector):
    """The agent or target where a key's first task started.

    :param role: ``agent`` or ``target``.
    """

    role: str
    key: str

    async def select(self, stage: Stage) -> list[str]:
        """Return the name of one process."""
        for start in stage.starts.read():
            if stage.callers.key_of(start.id) in stage.callers.keys_of(self.key):
                worker = stage.places.worker_of_target(start.recorded_by)
                return [worker.agent if self.role == 'agent' else worker.target]
        raise StepFailed(f'no task of {self.key} has started')


@dataclass(frozen=True, slots=True)
class EntryExcept(Selector):
    """The first running entry that another selector does not name."""

    other: Selector

    async def select(self, stage: Stage) -> list[str]:
        """Return the name of one entry."""
        excluded = await self.other.select(stage)
        for entry in stage.running_entries():
            if entry.name not in excluded:
                return [entry.name]
        raise StepFailed('no other entry runs')


@dataclass(frozen=True, slots=True)
class Every(Selector):
    """All processes of a role.

    :param role: ``entry``, ``agent`` or ``target``.
    """

    role: str

    async def select(self, stage: Stage) -> list[str]:
        """Return the names of all."""
        return stage.places.of_role(self.role)


@dataclass(frozen=True, slots=True)
class WhateverEnded(Selector):
    """Processes that have ended, whether they were told to or not."""

    async def select(self, stage: Stage) -> list[str]:
        """Return the names of all, which may be none."""
        return [
            name
            for role in ROLES
            for name in stage.places.of_role(role)
            if not stage.fleet.process(name).alive
        ]


async def select_one(selector: Selector, stage: Stage) -> str:
    """Return the name of one process.

    :raises StepFailed: when the selector names several.
    """
    names = await selector.select(stage)
    if len(names) != 1:
        raise StepFailed(f'one process is wanted, not {names}')
    return names[0]
