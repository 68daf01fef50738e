"""Tests the processes of a fleet: start, signals, exit codes and addresses."""

import asyncio
import os
import signal
from pathlib import Path

import msgspec
import pytest
from endivetally.fleet import Fleet
from endivetally.fleet.commands import TABLE
from endivetally.fleet.deployment import DEMO
from endivetally.fleet.deployment import LOGBOOK
from endivetally.fleet.process import FleetError
from endivetally.fleet.registry import ProcessRegistry
from endivetally_core.shaping import ShapingRule


class Stats(msgspec.Struct):
    """Response of the stand-in for the table service to ``/stats``."""

    reads: int


def is_running(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class TestProcesses:
    async def test_a_process_responds_until_the_fleet_is_stopped(self) -> None:
        async with Fleet(DEMO) as fleet:
            table = await fleet.start_table()
            response = await fleet.client.get(f'{table.url}/stats')
            assert msgspec.json.decode(response.body, type=Stats).reads == 0
            pid = table.pid
        assert not is_running(pid)
        assert not fleet.directory.exists()

    async def test_a_restarted_process_keeps_its_address(self) -> None:
        async with Fleet(DEMO) as fleet:
            first = (await fleet.start_table()).address
            assert await fleet.table.stop() == 0
            assert not fleet.table.alive
            assert (await fleet.start_table()).address == first

    async def test_a_crash_is_distinguished_from_a_stop(self) -> None:
        async with Fleet(DEMO) as fleet:
            table = await fleet.start_table()
            await table.stop()
            assert not fleet.crashed
            await fleet.start_table()
            os.kill(table.pid, signal.SIGKILL)
            await table.wait()
            assert fleet.crashed == [TABLE]

    async def test_a_frozen_process_can_be_stopped_and_killed(self) -> None:
        async with Fleet(DEMO) as fleet:
            table = await fleet.start_table()
            table.freeze()
            assert await table.stop() == 0
            await fleet.start_table()
            assert await table.kill() < 0

    async def test_early_exit_is_reported_with_its_log(self, tmp_path: Path) -> None:
        registry = ProcessRegistry(tmp_path)
        with pytest.raises(FleetError, match='No such option'):
            await registry.launch('table', ['-m', *BAD_OPTION])
        assert not registry.get_process('table').alive

    async def test_access_to_a_process_that_never_started_fails(self) -> None:
        async with Fleet(DEMO) as fleet:
            with pytest.raises(FleetError, match=TABLE):
                assert fleet.table


BAD_OPTION = ('endivetally_standins.table_service', '--no-such-option')


def test_latency_rules_cover_every_other_data_centre() -> None:
    rules = LOGBOOK.build_latency_rules('alfold-2')
    assert rules == tuple(
        ShapingRule(peer=f'alfold-{number}', delay_ms=1) for number in (1, 3, 4)
    )


async def test_an_entry_keeps_running_after_it_released_shards() -> None:
    async with Fleet(DEMO) as fleet:
        await fleet.start_table()
        for placement in DEMO.entries:
            await fleet.start_entry(placement)
        await fleet.submit_config(DEMO.config, based_on=0)
        first = fleet.get_process(DEMO.entries[0].name)
        while first.alive and 'shards released' not in first.log:
            await asyncio.sleep(0.1)
        assert await first.stop() == 0
