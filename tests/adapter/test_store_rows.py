"""Malformed rows in answers of the store hide no valid ones."""

import asyncio
import base64
import json
from collections import Counter

import pytest
from adapter.servers import serve
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_held.discovery import RowWatcher
from endivetally_platform.http_client import HttpClient
from endivetally_platform.store import StoreTable
from tornado.web import Application
from tornado.web import RequestHandler

# Bounds a test that hangs.
LONGEST_WAIT_S = 30


class RowsHandler(RequestHandler):
    """Sends a prepared answer of the store, or several in turn."""

    def initialize(self, body):
        self.body = body

    def get(self):
        if isinstance(self.body, str):
            self.finish(self.body)
            return
        self.finish(self.body.pop(0) if len(self.body) > 1 else self.body[0])


def store_row(**fields):
    content = base64.b64encode(b'x').decode()
    return {'key': 'agents/a', 'value': content, 'ver': 4, **fields}


async def read_rows(body):
    application = Application([('/v1/rows-get', RowsHandler, {'body': body})])
    async with serve(application) as address:
        client = HttpClient(address)
        try:
            return (await StoreTable(client, 'own').read_snapshot('')).rows
        finally:
            await client.close()


@pytest.mark.parametrize(
    'malformed',
    [
        7,
        None,
        [],
        'row',
        store_row(key=5),
        store_row(key=None),
        store_row(ver='4'),
        store_row(ver=None),
        store_row(deleted='no'),
    ],
)
async def test_malformed_row_of_the_store_hides_no_valid_row(malformed):
    valid = [store_row(key='agents/b'), store_row(key='agents/c')]
    body = json.dumps({'ver': 9, 'rows': [valid[0], malformed, valid[1]]})
    rows = await read_rows(body)
    assert [row.key for row in rows] == ['agents/b', 'agents/c']


@pytest.mark.parametrize('encoded', ['!', 'eA', 'é', '\x00', 'eA==='])
async def test_row_with_invalid_base64_is_kept_with_unusable_content(encoded):
    body = json.dumps({'ver': 9, 'rows': [store_row(value=encoded)]})
    (row,) = await read_rows(body)
    assert row.content == b'\xff'


@pytest.mark.parametrize('value', [[1], None, 5, 'no base64'])
async def test_row_whose_value_is_unusable_keeps_its_key(value):
    body = json.dumps({'ver': 9, 'rows': [store_row(key='agents/b', value=value)]})
    assert [(row.key, row.content) for row in await read_rows(body)] == [
        ('agents/b', b'\xff')
    ]


@pytest.mark.parametrize('where', ['value', 'key', 'other', None])
async def test_watcher_goes_on_after_an_answer_that_is_nested_too_deeply(where):
    """A store that sends base64 has no such rows; one without them must be followed."""
    row = json.dumps(store_row(**({where: '@'} if where else {})))
    nested = row.replace('"@"', '[' * 50_000 + ']' * 50_000) if where else '[' * 50_000
    bodies = [
        f'{{"ver": 9, "rows": [{nested}]}}',
        json.dumps({'ver': 10, 'rows': [store_row(key='agents/b')]}),
    ]
    events = EventLog('test', 'test', write=lambda lines: None)
    copies = []
    application = Application([('/v1/rows-get', RowsHandler, {'body': bodies})])
    async with serve(application) as address:
        client = HttpClient(address)
        watcher = RowWatcher(
            StoreTable(client, 'own'),
            '',
            lambda rows: copies.append((list(rows), Counter(events.event_counts))),
            events,
        )
        watching = asyncio.create_task(watcher.run())
        async with asyncio.timeout(LONGEST_WAIT_S):
            while not copies:
                await asyncio.sleep(0.01)
        watching.cancel()
        await client.close()
    assert copies[0] == (['agents/b'], Counter([Event.TABLE_UNAVAILABLE]))
