"""Malformed rows of the store end no watcher and hide no valid row."""

import asyncio
import json

import pytest
from adapter.test_entry_api import CONFIGURATION
from adapter.test_shut_down import create_program
from endivetally_core.joining import Address
from endivetally_table.table import Row

HUGE = 10**400
MALFORMED = [
    b'',
    b'\xff',
    b'[]',
    b'7',
    b'null',
    b'"text"',
    b'{"version": "8", "routes": []}',
    b'{"version": 8}',
    b'{"version": 8, "routes": [7]}',
    b'{"version": 8, "routes": [{"name": "r"}]}',
    b'{"version": 8.5, "routes": []}',
    b'{"version": -8, "routes": []}',
    b'{"version": %d, "routes": []}' % 2**70,
    b'{"version": %d, "routes": []}' % HUGE,
    b'[' * 200_000,
    b'{"version": 8, "routes": ' + b'[' * 200_000,
]


@pytest.mark.parametrize('content', MALFORMED, ids=lambda content: content[:40])
async def test_malformed_configuration_leaves_the_former_one_in_force(content):
    program = create_program()
    program.update_configuration({'config': Row('config', content, 1)})
    assert program.entry.config.version == 7
    assert program.routing_table.find_route('nony24.example', '/lohu930/5')
    assert program.events.event_counts['text_ignored'] == 1
    newer = json.dumps({**json.loads(CONFIGURATION), 'version': 8}).encode()
    program.update_configuration({'config': Row('config', newer, 2)})
    assert program.entry.config.version == 8


@pytest.mark.parametrize(
    'change',
    [
        {'targetLatencyMs': HUGE},
        {'targetLatencyMs': -HUGE},
        {'priority': HUGE},
        {'maxAttempts': HUGE},
        {'stretch': 1e308},
        {'stretch': -1e308},
    ],
    ids=lambda change: next(iter(change)),
)
async def test_numbers_of_a_route_beyond_all_use_are_clamped(change):
    program = create_program()
    configuration = json.loads(CONFIGURATION)
    configuration['version'] = 8
    configuration['routes'][0].update(change)
    content = json.dumps(configuration).encode()
    program.update_configuration({'config': Row('config', content, 1)})
    service = program.entry.config.config.services[0]
    assert 0 < service.stretch * 86_400 * 1000 < 2**53
    assert 0 < service.objective.response_ms < 2**53
    assert 0 < service.attempts < 2**53


@pytest.mark.parametrize(
    'content',
    [
        *MALFORMED[:6],
        b'{"name": "a", "incarnation": "a.1", "data_centre": "d", "address": 7}',
        b'{"name": "a", "incarnation": "a.1", "data_centre": "d", '
        b'"address": {"host": "10.0.0.3", "port": 65536}}',
        b'{"name": "a", "incarnation": "a.1", "data_centre": "d", '
        b'"address": {"host": "10.0.0.3", "port": -1}}',
        b'{"name": "a", "incarnation": "a.1", "data_centre": "d", '
        b'"address": {"host": null, "port": 1}}',
        b'[' * 200_000,
    ],
    ids=lambda content: content[:40],
)
async def test_malformed_row_of_an_agent_or_entry_hides_no_valid_one(content):
    program = create_program()
    valid = {
        'name': 'a',
        'incarnation': 'a.1',
        'data_centre': 'd',
        'address': {'host': '127.0.0.1', 'port': 1},
    }
    rows = {
        'agents/1': Row('agents/1', content, 1),
        'agents/2': Row('agents/2', json.dumps(valid).encode(), 1),
        'entries/x': Row('entries/x', content, 1),
        'strange': Row('strange', content, 1),
    }
    async with program.entry:
        program.update_agents(rows)
        connected = set(program.entry.connections._connection_tasks)
        assert connected == {Address('127.0.0.1', 1)}
        # One for the agent's row and one for the entry's.
        assert program.events.event_counts['row_ignored'] == 2


@pytest.mark.parametrize('host', ['', 'a..b', '\x00', 'a' * 300, ' ', '256.1.1.1'])
async def test_agent_row_with_a_host_of_no_use_hides_no_valid_one(host):
    program = create_program()
    rows = {}
    for key, address_host in (('agents/1', host), ('agents/2', '127.0.0.1')):
        row = {
            'name': key,
            'incarnation': f'{key}.1',
            'data_centre': 'd',
            'address': {'host': address_host, 'port': 1},
        }
        rows[key] = Row(key, json.dumps(row).encode(), 1)
    async with program.entry:
        program.update_agents(rows)
        await asyncio.sleep(0.3)
        tasks = program.entry.connections._connection_tasks
        assert len(tasks) == 2
        assert not any(task.done() for task in tasks.values())
