"""The stand-in for the table service, as its HTTP client sees it."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time

import pytest
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable
from endivetally_core.joining import Address
from endivetally_standins.table_service import TableServer
from endivetally_table.http import HttpTable
from endivetally_table.memory import MemoryTable
from endivetally_table.memory import TableFaults
from endivetally_table.table import Condition
from endivetally_table.table import Put
from endivetally_table.table import Row
from endivetally_table.table import Transaction
from tornado.httpclient import AsyncHTTPClient

CREATE = Transaction((Condition('a/1', 0),), (Put('a/1', b'x'), Put('b', b'y')))


@pytest.fixture
async def server():
    server = TableServer(MemoryTable())
    yield server
    await server.close()


@pytest.fixture
def table(server):
    with contextlib.closing(HttpTable(Address(server.host, server.port))) as table:
        yield table


async def _request(server, path, body=None):
    """Send a JSON request; return the status and body of the response."""
    client = AsyncHTTPClient()
    response = await client.fetch(
        f'http://{server.host}:{server.port}{path}',
        method='GET' if body is None else 'POST',
        body=body,
        headers={'Content-Type': 'application/json', 'Accept': 'application/json'},
        raise_error=False,
    )
    return response.code, response.body


class TestRequests:
    async def test_committed_rows_are_read_and_scanned(self, table):
        await table.commit(CREATE)
        assert await table.read('a/1') == Row('a/1', b'x', 1)
        assert await table.read('a/2') is None
        assert await table.scan('a/') == [Row('a/1', b'x', 1)]

    async def test_a_scan_continues_after_a_key_up_to_a_limit(self, table):
        keys = [f'a/{number}' for number in range(5)]
        await table.commit(Transaction((), tuple(Put(key, b'') for key in keys)))
        pages = [await table.scan('a/', after=key, limit=2) for key in ('', 'a/1')]
        assert [[row.key for row in page] for page in pages] == [keys[:2], keys[2:4]]

    async def test_a_conflicting_transaction_writes_nothing(self, table):
        await table.commit(CREATE)
        with pytest.raises(TableConflict):
            await table.commit(CREATE)
        assert (await table.read('b')).version == 1

    async def test_json_requests_get_json_responses(self, server):
        body = '{"conditions": [], "puts": [{"key": "a", "content": "eA=="}]}'
        assert await _request(server, '/commit', body) == (200, b'')
        _, content = await _request(server, '/row?key=a')
        assert json.loads(content) == {'key': 'a', 'content': 'eA==', 'version': 1}
        stats = json.loads((await _request(server, '/stats'))[1])
        assert (stats['writes'], stats['reads']) == (1, 1)

    @pytest.mark.parametrize('path', ['/commit', '/faults'])
    async def test_a_malformed_body_is_rejected(self, server, path):
        assert (await _request(server, path, 'no'))[0] == 400


class TestFaults:
    async def test_a_commit_takes_effect_when_its_response_is_lost(self, server, table):
        await _request(server, '/faults', '{"lose_answers": 1}')
        with pytest.raises(TableUnavailable):
            await table.commit(CREATE)
        assert await table.read('b') == Row('b', b'y', 1)

    async def test_all_requests_fail_while_the_service_is_down(self, server, table):
        server.table.faults = TableFaults(down=True)
        for request in (table.read('a'), table.scan('a'), table.commit(CREATE)):
            with pytest.raises(TableUnavailable):
                await request

    async def test_requests_fail_when_the_server_is_closed(self, server, table):
        await server.close()
        with pytest.raises(TableUnavailable):
            await table.read('a')


class TestMain:
    def test_the_ready_file_is_written_and_sigterm_ends_the_process(self, tmp_path):
        ready_file = tmp_path / 'ready'
        module = 'endivetally_standins.table_service'
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                module,
                '--port',
                '0',
                '--ready-file',
                str(ready_file),
            ],
            env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
        )
        with process:
            while not (ready_file.exists() and ready_file.read_text()):
                assert process.poll() is None
                time.sleep(0.01)
            process.send_signal(signal.SIGTERM)
        assert process.returncode == 0
        assert ready_file.read_text().startswith('127.0.0.1:')
