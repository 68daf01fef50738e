"""Random failures: a task never runs twice at once, no target is overfilled."""

import asyncio
import random

import pytest
from differential.clock import run_virtually
from endivetally_held.jobs import JobResult
from held.cluster import World
from held.cluster import job

RESEND_S = 1.3
PLAY_S = 20


async def call(world, rng, number, tally):
    """Hand a job in until it has a final answer, as the platform's callers do."""
    identifier = f'j{number}'
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
        if answer is not None and answer.result is JobResult.REFUSED:
            ran = len([run for run in world.ledger.runs if run.task.job == identifier])
            if ran > ran_before and not tally['resent'].get(identifier):
                world.ledger.violations.append(f'refused though it ran: {identifier}')
            return
        if answer is not None and answer.result in {
            JobResult.COMPLETED,
            JobResult.FAILED,
        }:
            tally['served'] += 1
            return
        tally['resent'][identifier] = True
        await asyncio.sleep(RESEND_S)


async def kill(world, rng, span, start):
    """Kill a process and start it again."""
    names = world.entry_names if start == world.start_entry else world.agent_names
    name = rng.choice(names)
    world.nodes[name].kill()
    await asyncio.sleep(span)
    if not world.nodes[name].alive:
        start(name)


async def freeze(world, rng, span):
    """Let a process stand still."""
    node = world.nodes[rng.choice(world.entry_names + world.agent_names)]
    suspension = node.suspension
    world.loop.stop_node(suspension)
    await asyncio.sleep(span)
    if node.suspension is suspension:
        world.loop.resume_node(suspension)


async def cut(world, rng, span):
    """Hold up what an entry and an agent send, one way or both."""
    pair = (rng.choice(world.agent_names), rng.choice(world.entry_names))
    pairs = rng.choice(([pair], [pair[::-1]], [pair, pair[::-1]]))
    for each in pairs:
        world.network.cut(*each)
    await asyncio.sleep(span)
    for each in pairs:
        world.network.heal(*each)


async def crash(world, rng, span):
    """End a target's life; another begins at once."""
    agent = rng.choice(world.agent_names)
    world.targets[agent].crash()
    await world.new_target(agent)


async def lose_orders(world, rng, span):
    """Leave some orders unanswered; they are carried out seconds later."""
    target = world.targets[rng.choice(world.agent_names)]
    target.faults.unanswered_share = 0.2
    await asyncio.sleep(span)
    target.faults.unanswered_share = 0


async def harm(world, rng):
    """One random fault and its end."""
    span = rng.choice((0.3, 0.7, 1.5, 4))
    faults = (
        lambda: kill(world, rng, span, world.start_entry),
        lambda: kill(world, rng, span, world.start_agent),
        lambda: freeze(world, rng, span),
        lambda: cut(world, rng, span),
        lambda: crash(world, rng, span),
        lambda: lose_orders(world, rng, span),
    )
    await rng.choice(faults)()


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
