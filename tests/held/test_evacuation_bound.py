"""Evacuations are in force in time under random faults, in virtual time."""

import asyncio
import random

import pytest
from differential.clock import run_virtually
from endivetally_table.table import Put
from endivetally_table.table import Transaction
from held.cluster import job
from held.evacuation_cluster import EVACUATION_S
from held.evacuation_cluster import EvacuationCluster

# A start that was sent before carries a deadline 0.8 s later on the target's clock,
# which is up to 2% slow.
LATEST_START_S = 0.8 * 1.03
PERIODS = 6
PERIOD_S = 9


async def cut_link(cluster, rng):
    link = rng.choice(cluster.entry_names), rng.choice(cluster.agent_names)
    source, target = rng.sample(link, k=2)
    cluster.network.partition(source, target)
    await asyncio.sleep(rng.uniform(0.2, 3))
    cluster.network.heal(source, target)


async def cut_entry_from_store(cluster, rng):
    name = rng.choice(cluster.entry_names)
    affected = rng.choice((cluster.cut_from_store, cluster.slow_at_store))
    affected.add(name)
    await asyncio.sleep(rng.uniform(0.2, 15))
    affected.discard(name)


async def restart_entry(cluster, rng):
    name = rng.choice(cluster.entry_names)
    cluster.nodes[name].kill()
    cluster.start_entry(name)


async def restart_agent(cluster, rng):
    name = rng.choice(cluster.agent_names)
    cluster.nodes[name].kill()
    cluster.start_agent(name)


async def freeze(cluster, rng):
    node = cluster.nodes[rng.choice(cluster.entry_names + cluster.agent_names)]
    suspension = node.suspension
    node.freeze()
    await asyncio.sleep(rng.uniform(0.2, 3))
    if node.suspension is suspension:
        node.resume()


async def lose_history(cluster, rng):
    cluster.operator_table.discard_history()


FAULTS = (
    cut_link,
    cut_entry_from_store,
    restart_entry,
    restart_agent,
    freeze,
    lose_history,
)


async def renew_rows(cluster, rng):
    """Write rows of entries, which gives sets of later reads a higher version."""
    while True:
        await asyncio.sleep(rng.uniform(0.1, 1))
        put = Put('entries/entry-0', b'{}')
        await cluster.own_table.commit(Transaction((), (put,)))


async def inject_faults(cluster, rng):
    injections = []
    while True:
        await asyncio.sleep(rng.expovariate(1))
        injection = rng.choice(FAULTS)(cluster, rng)
        injections.append(asyncio.ensure_future(injection))


async def send_jobs(cluster, rng):
    calls = []
    for number in range(PERIODS * PERIOD_S * 5):
        await asyncio.sleep(0.2)
        entry = rng.choice(cluster.entry_names)
        calls.append(
            asyncio.ensure_future(cluster.submit(entry, job(f'j{number}', count=2)))
        )


def find_late_starts(cluster, spans):
    """Return the starts that were too late in a data centre that was still emptied."""
    data_centres = {
        target.report.target_id: cluster.find_data_centre(name)
        for name, target in cluster.targets.items()
    }
    bound_s = EVACUATION_S + LATEST_START_S
    return [
        run
        for run in cluster.run_history.runs
        for data_centre, emptied_at, withdrawn_at in spans
        if data_centres[run.target] == data_centre
        and emptied_at + bound_s < run.started_at < withdrawn_at
    ]


@pytest.mark.parametrize('seed', range(8))
def test_no_task_starts_in_an_emptied_data_centre_after_the_bound(seed):
    """All agents reach the store; entries may not, and links may be cut.

    Evacuations are also withdrawn and requested again within seconds.
    """

    async def run():
        rng = random.Random(seed)
        cluster = EvacuationCluster(entries=3, agents=4, seed=seed)
        await cluster.start()
        tasks = [
            asyncio.ensure_future(each(cluster, rng))
            for each in (inject_faults, send_jobs, renew_rows)
        ]
        spans = []
        for number in range(PERIODS):
            if number % 2:
                # Agents then have to read the rows themselves.
                cluster.cut_from_store.update(cluster.entry_names)
            data_centre = rng.choice(('north', 'south'))
            for _ in range(rng.choice((0, 1, 2))):
                await cluster.evacuate(data_centre)
                await asyncio.sleep(rng.uniform(0, 3))
                await cluster.withdraw(data_centre)
                await asyncio.sleep(rng.uniform(0, 3))
            await cluster.evacuate(data_centre)
            emptied_at = cluster.loop.time()
            await asyncio.sleep(PERIOD_S)
            spans.append((data_centre, emptied_at, cluster.loop.time()))
            cluster.cut_from_store.clear()
            await cluster.withdraw(data_centre)
            await asyncio.sleep(rng.uniform(0, 1))
        late = find_late_starts(cluster, spans)
        for task in tasks:
            task.cancel()
        cluster.resume_all()
        assert late == []
        assert cluster.run_history.violations == []
        assert len(cluster.run_history.runs) > 100

    run_virtually(run())
