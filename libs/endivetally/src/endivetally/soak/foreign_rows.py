"""Rows that another writer leaves among those of agents and entries, in a soak test."""

import asyncio
import random
from typing import Final

from endivetally_platform.standins.settings import PEER_PORT
from endivetally_table.table import Put
from endivetally_table.table import Transaction

from endivetally.soak.deployment import SoakDeployment
from endivetally.soak.faults import DURATION_RANGE_S
from endivetally.soak.faults import Fault

OWN_TABLE: Final = 'endivetally'
PREFIXES: Final = ('agents/', 'entries/')
MAX_ROWS: Final = 20
# Share of the writes that also overwrite the row of an agent or of an entry.
OVERWRITING_SHARE: Final = 0.5
_DEPTH: Final = 50_000
_AGENT_ROW: Final = (
    b'{"name": "x", "incarnation": "x", "data_centre": "", "address": %b}'
)
CONTENTS: Final = (
    b'',
    b'\xff',
    b'[',
    b'7',
    b'1e999',
    b'{}',
    b'[' * _DEPTH + b']' * _DEPTH,
    _AGENT_ROW % b'{"host": "127.0.0.1", "port": -1}',
    _AGENT_ROW % b'{"host": "127.0.0.1", "port": 70000}',
    _AGENT_ROW % (b'{"host": "127.0.0.1", "port": %b}' % (b'9' * 5000)),
    _AGENT_ROW % b'{"host": null, "port": 7720}',
)


class ForeignRows(Fault):
    """Another writer leaves odd rows for some seconds, some of them over valid ones."""

    name = 'foreign_rows'

    async def inject(self, deployment: SoakDeployment, rng: random.Random) -> None:
        """Write the rows, and delete those that overwrite none later."""
        odd_keys = [
            f'{rng.choice(PREFIXES)}odd-{number}'
            for number in range(rng.randint(1, MAX_ROWS))
        ]
        keys = odd_keys
        if rng.random() < OVERWRITING_SHARE:
            keys = [*odd_keys, _choose_own_key(deployment, rng)]
        await self._write(deployment, {key: rng.choice(CONTENTS) for key in keys})
        await asyncio.sleep(rng.uniform(*DURATION_RANGE_S))
        await self._write(deployment, dict.fromkeys(odd_keys))

    async def _write(
        self, deployment: SoakDeployment, contents: dict[str, bytes | None]
    ) -> None:
        puts = tuple(Put(key, content) for key, content in contents.items())
        table = deployment.store.get_table(OWN_TABLE)
        await table.commit(Transaction((), puts))


def _choose_own_key(deployment: SoakDeployment, rng: random.Random) -> str:
    """Return the key of the row that a random machine has written."""
    machine = rng.choice([*deployment.agents, *deployment.entries])
    if machine.role == 'entry':
        return f'entries/{machine.name}'
    return f'agents/{machine.ip}:{PEER_PORT}'
