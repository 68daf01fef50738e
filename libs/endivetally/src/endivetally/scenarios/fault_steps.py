"""Steps that bring faults of the network, the platform and targets about."""

from dataclasses import dataclass
from typing import Any

import msgspec

from endivetally.scenarios.stage import Stage
from endivetally.scenarios.steps import Selector
from endivetally.scenarios.steps import Step
from endivetally.scenarios.steps import StepFailed


@dataclass(frozen=True, slots=True)
class Shape(Step):
    """Changes the rules between two groups of processes, in both directions.

    :param changes: fields of the `ShapingRule`.
    """

    left: Selector
    right: Selector
    changes: dict[str, Any]

    async def run(self, stage: Stage) -> None:
        """Put the rules in force."""
        left = await self.left.select(stage)
        right = await self.right.select(stage)
        others = [name for name in right if name not in left]
        await stage.network.change(left, others, **self.changes)


@dataclass(frozen=True, slots=True)
class Mend(Step):
    """Takes back every rule between two groups."""

    left: Selector
    right: Selector

    async def run(self, stage: Stage) -> None:
        """Take the rules back."""
        left = await self.left.select(stage)
        right = await self.right.select(stage)
        await stage.network.mend(left, [name for name in right if name not in left])


@dataclass(frozen=True, slots=True)
class TableFault(Step):
    """Replaces the faults of the table service.

    :param faults: fields of its ``POST /faults``.
    """

    faults: dict[str, Any]

    async def run(self, stage: Stage) -> None:
        """Post the faults."""
        await post_faults(stage, stage.fleet.table.name, self.faults)


@dataclass(frozen=True, slots=True)
class TargetFault(Step):
    """Replaces the faults of targets.

    :param faults: fields of their ``POST /faults``.
    """

    selector: Selector
    faults: dict[str, Any]

    async def run(self, stage: Stage) -> None:
        """Post the faults."""
        for name in await self.selector.select(stage):
            await post_faults(stage, name, self.faults)


async def post_faults(stage: Stage, name: str, faults: dict[str, Any]) -> None:
    """Post faults to a stand-in.

    :raises StepFailed: when it refuses them.
    """
    url = f'{stage.fleet.process(name).url}/faults'
    response = await stage.fleet.client.post(url, msgspec.json.encode(faults))
    if response.code != 200:
        raise StepFailed(f'{name} refused {faults}')
