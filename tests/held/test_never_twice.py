"""Random failures: a task never runs twice at once, no target is overfilled."""

import asyncio
import random

import pytest
from differential.clock import run_virtually
from endivetally_held.jobs import Result
from held.world import World
from held.world import job

RESEND_S = 1.3
PLAY_S = 20


async def call(world, rng, number, tally):
    """Hand a job in until it has a final answer, as the platform's callers do."""
    identifier = f'j{number}'
    began = world.loop.time()
    answer = None
    for _ in range(4):
        entry = rng.choice(world.entry_names)
        if not world.nodes[entry].alive:
            await asyncio.sleep(0.2)
            continue
        ran_before = len(
            [run for run in world.ledger.runs if run.task.job == identifier]
        )
        answer = await world.submit(entry, job(identifier, rng.randint(1, 6)))
        if answer is not None and answer.result is Result.REFUSED:
            ran = len([run for run in world.ledger.runs if run.task.job == identifier])
            if ran > ran_before and not tally['resent'].get(identifier):
                world.ledger.violations.append(f'refused though it ran: {identifier}')
            return
        if answer is not None and answer.result in {Result.COMPLETED, Result.FAILED}:
            tally['served'] += 1
            return
        tally['resent'][identifier] = True
        await asyncio.sleep(RESEND_S)


async def harm(world, rng):
    """One random fault and its end."""
    agent = rng.choice(world.agent_names)
    entry = rng.choice(world.entry_names)
    kind = rng.choice(
        ('kill_entry', 'kill_agent', 'freeze', 'cut', 'one_way', 'crash', 'orders')
    )
    span = rng.choice((0.3, 0.7, 1.5, 4))
    node = world.nodes[rng.choice((agent, entry))]
    pairs = [(agent, entry), (entry, agent)]
    if kind == 'one_way':
        pairs = pairs[: rng.choice((1, 2))][-1:]
    if kind == 'kill_entry':
        world.nodes[entry].kill()
        await asyncio.sleep(span)
        if not world.nodes[entry].alive:
            world.start_entry(entry)
    elif kind == 'kill_agent':
        world.nodes[agent].kill()
        await asyncio.sleep(span)
        if not world.nodes[agent].alive:
            world.start_agent(agent)
    elif kind == 'freeze':
        suspension = node.suspension
        world.loop.stop_node(suspension)
        await asyncio.sleep(span)
        if node.suspension is suspension:
            world.loop.resume_node(suspension)
    elif kind in {'cut', 'one_way'}:
        for pair in pairs:
            world.network.cut(*pair)
        await asyncio.sleep(span)
        for pair in pairs:
            world.network.heal(*pair)
    elif kind == 'crash':
        world.targets[agent].crash()
        await world.new_target(agent)
    else:
        world.targets[agent].faults.unanswered = 0.2
        await asyncio.sleep(span)
        world.targets[agent].faults.unanswered = 0


async def play(seed):
    world = World(entries=3, agents=4, run_s=0.4, seed=seed)
    await world.start()
    try:
        await play_day(world, random.Random(seed))
    finally:
        world.finish()


async def play_day(world, rng):
    tally = {'served': 0, 'resent': {}}
    work = []
    end = world.loop.time() + PLAY_S
    number = 0
    while world.loop.time() < end:
        number += 1
        work.append(asyncio.ensure_future(call(world, rng, number, tally)))
        if rng.random() < 0.04:
            work.append(asyncio.ensure_future(harm(world, rng)))
        await asyncio.sleep(rng.expovariate(15))
    await asyncio.gather(*work)
    # Late orders arrive within 12 s.
    await asyncio.sleep(13)
    assert world.ledger.violations == []
    assert tally['served'] > number / 2


@pytest.mark.parametrize('seed', range(12))
def test_random_failures(seed):
    run_virtually(play(seed))
