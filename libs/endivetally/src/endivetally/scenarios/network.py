"""Network faults between processes: shaping rules for the frames of links."""

import asyncio
from collections.abc import Iterable
from itertools import product
from typing import Final

import msgspec
from endivetally_core.shaping import ShapingRule

from endivetally.fleet import Fleet
from endivetally.fleet.client import ProcessUnreachable
from endivetally.scenarios.process_names import ProcessNames

EXIT_TIMEOUT_S: Final = 10


class NetworkShaper:
    """Stores shaping rules by process and peer, and applies them.

    :param process_names: finds the data centre of each process.
    """

    def __init__(self, fleet: Fleet, process_names: ProcessNames) -> None:
        self._fleet = fleet
        self._process_names = process_names
        self._rules: dict[str, dict[str, ShapingRule]] = {}

    async def change_rules(
        self,
        left: Iterable[str],
        right: Iterable[str],
        **changes: float | bool,
    ) -> None:
        """Change the rules between two groups, in both directions.

        :param changes: fields of `ShapingRule` to set.
        """
        changed: set[str] = set()
        for one, other in product(
            self._exclude_targets(left), self._exclude_targets(right)
        ):
            self._change_rule(one, other, changes)
            self._change_rule(other, one, changes)
            changed |= {one, other}
        await self._apply_all_rules(changed)

    async def clear_rules(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Remove every rule between two groups."""
        changed: set[str] = set()
        for one, other in product(
            self._exclude_targets(left), self._exclude_targets(right)
        ):
            self._rules.get(one, {}).pop(other, None)
            self._rules.get(other, {}).pop(one, None)
            changed |= {one, other}
        await self._apply_all_rules(changed)

    async def reapply_rules(self, process: str) -> None:
        """Apply the rules of a process again after a restart.

        Targets are ignored, as they have no rules.
        """
        if not process.startswith('target-'):
            await self._apply_all_rules({process})

    def _exclude_targets(self, names: Iterable[str]) -> list[str]:
        return [name for name in names if not name.startswith('target-')]

    def _change_rule(
        self,
        process: str,
        peer: str,
        changes: dict[str, float | bool],
    ) -> None:
        rules = self._rules.setdefault(process, {})
        rule = rules.get(peer, ShapingRule(peer))
        rules[peer] = msgspec.structs.replace(rule, **changes)

    async def _apply_all_rules(self, processes: set[str]) -> None:
        await asyncio.gather(*map(self._apply_rules, sorted(processes)))

    async def _apply_rules(self, name: str) -> None:
        data_centre = self._process_names.find_data_centre(name)
        rules = (
            *self._rules.get(name, {}).values(),
            *self._fleet.deployment.build_latency_rules(data_centre),
        )
        process = self._fleet.get_process(name)
        try:
            await self._fleet.client.apply_shaping(process.url, rules)
        except ProcessUnreachable:
            # A fenced entry stops listening before it exits; its rules are
            # applied when it starts again.
            if process.alive:
                await process.wait(EXIT_TIMEOUT_S)
