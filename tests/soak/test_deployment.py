"""How the deployment of a soak test starts its machines."""

import random

from endivetally.soak.deployment import Machine
from endivetally.soak.deployment import SoakDeployment


async def test_a_machine_that_is_being_added_is_not_started_again(
    tmp_path, monkeypatch
):
    needs_restart = []

    async def start(machine):
        needs_restart.append(machine.needs_restart)

    monkeypatch.setattr(Machine, 'start', start)
    async with SoakDeployment(random.Random(1), tmp_path) as deployment:
        machine = await deployment.add_machine('agent')
        machine.removed = True
    assert needs_restart == [False]
