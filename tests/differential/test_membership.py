"""Tests of what entries tell agents about one another."""

import asyncio

from differential.checker import Judge
from differential.clock import run_virtually
from differential.cluster import World


async def _fenced_after_lost_links():
    world = World(Judge())
    for number in (1, 2, 3):
        world.start_entry(f'entry-{number}')
    await asyncio.sleep(20)
    assert any(node.daemon.shard_directory.shard_map.former for node in world.nodes)
    for wire in world.open_wires:
        wire.cut()
    await asyncio.sleep(0.01)
    fenced = [node.daemon.fenced_entries() for node in world.nodes]
    world.end()
    return fenced


def test_a_live_entry_without_a_link_is_not_fenced():
    assert run_virtually(_fenced_after_lost_links()) == [[], [], []]
