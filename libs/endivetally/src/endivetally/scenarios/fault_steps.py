"""Steps that inject faults into the network, the table service and targets."""

from dataclasses import dataclass
from typing import Any

import msgspec

from endivetally.scenarios.environment import Environment
from endivetally.scenarios.steps import Selector
from endivetally.scenarios.steps import Step
from endivetally.scenarios.steps import StepFailed


@dataclass(frozen=True, slots=True)
class ShapeLinks(Step):
    """Changes the shaping rules between two groups, in both directions.

    :param changes: fields of `ShapingRule` to set.
    """

    left: Selector
    right: Selector
    changes: dict[str, Any]

    async def run(self, environment: Environment) -> None:
        """Apply the changed rules."""
        left = await self.left.select(environment)
        right = await self.right.select(environment)
        others = [name for name in right if name not in left]
        await environment.network.change_rules(left, others, **self.changes)


@dataclass(frozen=True, slots=True)
class ClearRules(Step):
    """Removes every shaping rule between two groups of processes."""

    left: Selector
    right: Selector

    async def run(self, environment: Environment) -> None:
        """Remove the rules."""
        left = await self.left.select(environment)
        right = await self.right.select(environment)
        await environment.network.clear_rules(
            left, [name for name in right if name not in left]
        )


@dataclass(frozen=True, slots=True)
class SetTableFaults(Step):
    """Replaces the faults of the table service.

    :param faults: fields of the body of ``POST /faults``.
    """

    faults: dict[str, Any]

    async def run(self, environment: Environment) -> None:
        """Send the faults."""
        await post_faults(environment, environment.fleet.table.name, self.faults)


@dataclass(frozen=True, slots=True)
class SetTargetFaults(Step):
    """Replaces the faults of targets.

    :param faults: fields of the body of ``POST /faults``.
    """

    selector: Selector
    faults: dict[str, Any]

    async def run(self, environment: Environment) -> None:
        """Send the faults."""
        for name in await self.selector.select(environment):
            await post_faults(environment, name, self.faults)


async def post_faults(
    environment: Environment, name: str, faults: dict[str, Any]
) -> None:
    """Replace the faults of a stand-in.

    :raises StepFailed: when the stand-in rejects them.
    """
    url = f'{environment.fleet.get_process(name).url}/faults'
    response = await environment.fleet.client.post(url, msgspec.json.encode(faults))
    if response.code != 200:
        raise StepFailed(f'{name} rejected the faults {faults}')
