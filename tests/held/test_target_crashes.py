"""A crash of a target is told from a silence, and its runs are named."""

import asyncio

import msgspec
import pytest
from differential.clock import run_virtually
from held.cluster import Cluster
from held.cluster import job

DOWN_S = 3


async def crash(cluster, name):
    await cluster.restart_target(name, DOWN_S)


async def crash_and_restart_at_once(cluster, name):
    cluster.targets[name].crash()
    await cluster.create_target(name)


async def fall_silent(cluster, name):
    cluster.targets[name].faults.unresponsive = True
    await asyncio.sleep(DOWN_S)
    cluster.targets[name].faults.unresponsive = False


async def refuse_connections(cluster, name):
    """Refuse connections for a moment, as a cut that resets them does."""
    target = cluster.targets[name]
    target.has_ended = target.restarts = True
    await asyncio.sleep(0.2)
    target.has_ended = target.restarts = False


async def leave(cluster, name):
    cluster.agents[name].handle_target_left(cluster.targets[name].report.target_id)
    await cluster.restart_target(name, DOWN_S)


def find_crash_events(inject):
    """Return the states of the crash while one run is active, and the runs."""
    events = []

    async def run():
        cluster = Cluster(entries=1, agents=1, run_s=0.5, sends_born=True)
        await cluster.start()
        submitted = asyncio.ensure_future(cluster.submit('entry-0', job('a', 1)))
        await asyncio.sleep(0.2)
        await inject(cluster, 'agent-0')
        await asyncio.sleep(2)
        await submitted
        cluster.events.close()
        for line in b''.join(cluster.lines).splitlines():
            event = msgspec.json.decode(line)
            if event['event'] == 'target_crash':
                events.append(event)
        cluster.resume_all()

    run_virtually(run())
    return [event['state'] for event in events], [event['runs'] for event in events]


@pytest.mark.parametrize(
    ('inject', 'expected'),
    [
        (crash, ['suspected', 'confirmed']),
        (crash_and_restart_at_once, ['confirmed']),
        (fall_silent, []),
        (refuse_connections, ['suspected', 'dismissed']),
        (leave, []),
    ],
)
def test_only_a_crash_is_taken_for_one(inject, expected):
    states, runs = find_crash_events(inject)
    assert states == expected
    assert all(len(each) == 1 and each[0].startswith('a/0/0 1 ') for each in runs)
