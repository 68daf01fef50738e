"""Emptied data centres in the programs: settings, the operators' table, readiness."""

import asyncio
import json
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager

import pytest
from adapter.servers import serve
from endivetally_config.exceptions import SettingsInvalid
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_core.joining import Address
from endivetally_core.metrics import render_metrics
from endivetally_platform.configuration import ConfigurationDecoder
from endivetally_platform.entry_api import create_readiness_application
from endivetally_platform.operator_rows import OPERATOR_TABLE
from endivetally_platform.programs import AgentProgram
from endivetally_platform.programs import EntryProgram
from endivetally_platform.settings import SETTINGS_VARIABLE
from endivetally_platform.settings import load_settings
from endivetally_platform.standins import ProcessSettings
from endivetally_platform.standins import StoreStandIn
from endivetally_platform.store import StoreTable
from endivetally_table.table import Put
from endivetally_table.table import Transaction
from tornado.simple_httpclient import SimpleAsyncHTTPClient

LONGEST_WAIT_S = 30


@pytest.fixture
def load(tmp_path, monkeypatch):
    """Return a function that loads settings with a bound for evacuations, or none."""
    path = tmp_path / 'settings.toml'
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))

    def write_and_load(evacuation_ms, store='127.0.0.1:1'):
        ProcessSettings(
            'n-1', '127.0.0.1', 'north', Address.parse(store), 6, evacuation_ms
        ).write(path)
        return load_settings()

    return write_and_load


def create_events():
    return EventLog('test', 'test', write=lambda lines: None)


def encode_configuration(version):
    return json.dumps({'version': version, 'routes': []}).encode()


async def write(store, **contents):
    """Write or remove rows; a name with ``_`` is a data centre to empty."""
    puts = tuple(
        Put(name.replace('_', 'evacuate/', 1), content)
        for name, content in contents.items()
    )
    await store.get_table(OPERATOR_TABLE).commit(Transaction((), puts))


async def wait_until(condition):
    async with asyncio.timeout(LONGEST_WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def run_watcher(load, evacuation_ms, **rows):
    """Yield an entry program that watches a store with these rows, and the store."""
    store = StoreStandIn()
    await write(store, **rows)
    async with AsyncExitStack() as stack:
        address = await stack.enter_async_context(serve(store.create_application()))
        settings = load(evacuation_ms, address)
        program = EntryProgram(settings, create_events(), 'n-1.0')
        await stack.enter_async_context(program.exit_stack)
        table = StoreTable(program.create_store_client(), OPERATOR_TABLE)
        program.start_background_task(program.create_operator_watcher(table).run)
        stack.callback(program.cancel_background_tasks)
        await wait_until(lambda: program.entry.config.version)
        yield program, store
        store.closing.set()


def find_emptied(program):
    return program.entry.connections.evacuations.current.data_centres


@pytest.mark.parametrize(
    ('line', 'expected'),
    [
        ('', None),
        ('evacuationMs = 5000', 5000),
        ('evacuationMs = 0.5', 0.5),
        ('evacuationMs = "soon"', SettingsInvalid),
    ],
)
def test_bounds_are_read(line, expected, load, tmp_path):
    load(None)
    path = tmp_path / 'settings.toml'
    path.write_text(f'{path.read_text()}{line}\nmaxStretchMs = 7000\n')
    if expected is SettingsInvalid:
        with pytest.raises(SettingsInvalid, match='evacuationMs'):
            load_settings()
        return
    bounds = load_settings().bounds
    assert (bounds.evacuation_ms, bounds.max_stretch_ms) == (expected, 7000)


async def test_the_first_configuration_comes_with_the_evacuations(load):
    """A job that is admitted before would run in an emptied data centre."""
    rows = {'config': encode_configuration(1), '_north': b'{}', 'other': b'x'}
    async with run_watcher(load, 5000, **rows) as (program, store):
        assert find_emptied(program) == {'north'}
        await write(store, _south=b'nonsense', config=b'nonsense')
        await wait_until(lambda: program.events.event_counts[Event.CONFIG_REJECTED])
        assert find_emptied(program) == {'north', 'south'}
        await write(store, _north=None, config=encode_configuration(2))
        await wait_until(lambda: program.entry.config.version == 2)
        assert find_emptied(program) == {'south'}


async def test_an_evacuation_does_not_decode_the_configuration_again(load, monkeypatch):
    decoded = []
    decode = ConfigurationDecoder.decode

    def record(self, content):
        decoded.append(content)
        return decode(self, content)

    monkeypatch.setattr(ConfigurationDecoder, 'decode', record)
    first = encode_configuration(1)
    async with run_watcher(load, 5000, config=first) as (program, store):
        await write(store, _north=b'{}')
        await wait_until(lambda: find_emptied(program))
        store.discard_history()
        await write(store, _north=None)
        await wait_until(lambda: not find_emptied(program))
        assert decoded == [first]


async def test_without_the_setting_only_the_configuration_is_watched(load):
    rows = {'config': encode_configuration(1), '_north': b'{}'}
    async with run_watcher(load, None, **rows) as (program, store):
        await write(store, _south=b'{}', config=encode_configuration(2))
        await wait_until(lambda: program.entry.config.version == 2)
        assert not find_emptied(program)
        assert b'evacuated' not in render_metrics(program.metrics).body
        assert await fetch_readiness(program) == {'reason', 'since_s'}


@pytest.mark.parametrize('evacuation_ms', [5000, None])
async def test_rows_that_came_back_while_the_store_was_away_are_in_force(
    evacuation_ms, load
):
    """One answer of the feed then deletes a row and writes it again."""
    rows = {'config': encode_configuration(1), '_north': b'{}', '_south': b'{}'}
    async with run_watcher(load, evacuation_ms, **rows) as (program, store):
        store.faults.error_status = 503
        # Ends the call that waits for changes.
        await write(store, other=b'x')
        await wait_until(lambda: program.events.event_counts[Event.TABLE_UNAVAILABLE])
        await write(store, config=None, _north=None, _south=None)
        await write(store, config=encode_configuration(2), _north=b'{}')
        store.faults.error_status = 0
        await wait_until(lambda: program.events.event_counts[Event.TABLE_AVAILABLE] > 1)
        assert program.entry.config.version == 2
        assert find_emptied(program) == ({'north'} if evacuation_ms else set())


async def test_readiness_and_metrics_tell_what_is_in_force(load):
    rows = {'config': encode_configuration(1), '_south': b'{}'}
    async with run_watcher(load, 5000, **rows) as (program, _):
        gauge = b'endivetally_held_evacuated{data_centre="south"} 1'
        assert gauge in render_metrics(program.metrics).body
        assert await fetch_readiness(program) >= {'evacuated', 'evacuated_read_s_ago'}


async def fetch_readiness(program):
    """Return the names of the fields in the body of the readiness check."""
    async with serve(create_readiness_application(program)) as address:
        client = SimpleAsyncHTTPClient(force_instance=True)
        url = f'http://{address}/v1/ready'
        response = await client.fetch(url, raise_error=False)
        client.close()
        return set(json.loads(response.body))


@pytest.mark.parametrize('evacuation_ms', [5000, None])
async def test_an_agent_reads_the_evacuations_before_it_accepts_entries(
    evacuation_ms, load, monkeypatch
):
    """The entries that connect first may have an old copy of the rows."""
    store = StoreStandIn()
    await write(store, _north=b'{}')
    async with serve(store.create_application()) as address:
        program = AgentProgram(load(evacuation_ms, address), create_events(), 'n-1.0')
        in_force = []

        async def listen(port, host):
            in_force.append(program.agent.evacuation.in_force)
            raise OSError('stop here')

        monkeypatch.setattr(program.agent.entry_server, 'listen', listen)
        with pytest.raises(OSError, match='stop here'):
            await program.run()
    assert in_force == [evacuation_ms is not None]
