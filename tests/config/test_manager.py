"""Tests of the current configuration and of its submission through the table."""

import asyncio
import json

import pytest
from endivetally_config.exceptions import ConfigConflict
from endivetally_config.exceptions import ConfigInvalid
from endivetally_config.manager import ConfigManager
from endivetally_config.store import MAX_HISTORY_VERSIONS
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import MalformedMessage
from endivetally_core.errors import RequestError
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable
from endivetally_table.table import Row
from endivetally_table.table import Table


def _encode_config(service='lookup'):
    return json.dumps(
        {
            'services': [{'name': service, 'kind': 'idempotent'}],
            'teams': [{'name': 'clerks', 'token': 'token-1'}],
        },
    ).encode()


class FakeTable(Table):
    """A table in memory that injects faults.

    ``faults`` holds one entry for each of the next calls: ``down`` loses the
    request, ``lost`` loses the response, ``late`` delays the write until after the
    next successful read, ``None`` is no fault.
    """

    def __init__(self):
        self.rows = {}
        self.faults = []
        self.before_commit = None
        self._delayed_write = None

    async def read(self, key):
        await asyncio.sleep(0)
        self._take_fault()
        row = self.rows.get(key)
        if self._delayed_write is not None:
            delayed, self._delayed_write = self._delayed_write, None
            self._apply(delayed)
        return row

    async def scan(self, prefix):
        self._take_fault()
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return [self.rows[key] for key in keys]

    async def commit(self, transaction):
        await asyncio.sleep(0)
        if self.before_commit:
            callback, self.before_commit = self.before_commit, None
            callback()
        fault = self._take_fault()
        if fault == 'late':
            self._delayed_write = transaction
            raise TableUnavailable(fault)
        self._apply(transaction)
        if fault == 'lost':
            raise TableUnavailable(fault)

    def close(self):
        """Do nothing, since there are no connections."""

    def _apply(self, transaction):
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if condition.version != (row.version if row else 0):
                raise TableConflict(condition.key)
        for put in transaction.puts:
            row = self.rows.pop(put.key, None)
            if put.content is not None:
                version = (row.version if row else 0) + 1
                self.rows[put.key] = Row(put.key, put.content, version)

    def _take_fault(self):
        fault = self.faults.pop(0) if self.faults else None
        if fault == 'down':
            raise TableUnavailable(fault)
        return fault


@pytest.fixture
def table():
    return FakeTable()


@pytest.fixture
def manager():
    return ConfigManager((0, 0))


class TestApplyIfNewer:
    @pytest.mark.parametrize(
        ('versions', 'applied'),
        [
            ([1, 2, 5], [1, 2, 5]),
            ([5, 4, 1], [5]),
            ([3, 3], [3]),
            ([0], []),
        ],
    )
    def test_only_newer_versions_are_applied(self, manager, versions, applied):
        seen = []
        manager.add_change_callback(lambda current: seen.append(current.version))
        for version in versions:
            manager.apply_if_newer(version, _encode_config())
        assert seen == applied

    def test_older_version_keeps_the_current_configuration(self, manager):
        manager.apply_if_newer(2, _encode_config('new'))
        assert not manager.apply_if_newer(1, _encode_config('old'))
        assert manager.config.find_service('new')

    @pytest.mark.parametrize('content', [b'{}', b'\xff', b'[' * 200_000])
    def test_malformed_configuration_keeps_the_current_version(self, manager, content):
        manager.apply_if_newer(1, _encode_config())
        with pytest.raises(MalformedMessage):
            manager.apply_if_newer(2, content)
        assert manager.version == 1


class TestLoad:
    async def test_empty_table_changes_nothing(self, manager, table):
        assert not await manager.load(table)
        assert manager.version == 0

    async def test_newer_configuration_is_applied_once(self, manager, table):
        await ConfigManager().submit(table, _encode_config(), 0, 'ann')
        assert await manager.load(table)
        assert not await manager.load(table)
        assert manager.config.find_service('lookup')

    async def test_unavailable_table_is_reported(self, manager, table):
        table.faults = ['down']
        with pytest.raises(TableUnavailable):
            await manager.load(table)


class TestSubmit:
    async def test_each_submission_gets_the_next_version_and_a_history_row(
        self, manager, table
    ):
        for version, submitter in enumerate(('ann', 'bo', 'cy')):
            assert (
                await manager.submit(table, _encode_config(), version, submitter)
                == version + 1
            )
        changes = await manager.read_history(table)
        assert [change.submitter for change in changes] == ['ann', 'bo', 'cy']
        assert manager.version == 3

    async def test_history_keeps_the_newest_versions_only(self, manager, table):
        for version in range(MAX_HISTORY_VERSIONS + 3):
            await manager.submit(table, _encode_config(), version, 'ann')
        changes = await manager.read_history(table)
        assert len(changes) == MAX_HISTORY_VERSIONS
        assert changes[-1].version == MAX_HISTORY_VERSIONS + 3

    async def test_long_submitter_is_truncated(self, manager, table):
        await manager.submit(table, _encode_config(), 0, 'a' * 10_000)
        (change,) = await manager.read_history(table)
        assert len(change.submitter) == 128

    async def test_invalid_configuration_is_not_written(self, manager, table):
        with pytest.raises(ConfigInvalid):
            await manager.submit(table, b'{}', 0, 'ann')
        assert not table.rows

    @pytest.mark.parametrize('based_on', [0, 2])
    async def test_submission_based_on_another_version_is_rejected(
        self, manager, table, based_on
    ):
        await manager.submit(table, _encode_config(), 0, 'ann')
        with pytest.raises(ConfigConflict) as caught:
            await manager.submit(table, _encode_config(), based_on, 'bo')
        assert caught.value.current_version == 1

    async def test_one_of_concurrent_submissions_succeeds(self, table):
        managers = [ConfigManager((0,)) for _ in range(4)]
        results = await asyncio.gather(
            *(
                manager.submit(table, _encode_config(f's{number}'), 0, f'op-{number}')
                for number, manager in enumerate(managers)
            ),
            return_exceptions=True,
        )
        rejected = [result for result in results if isinstance(result, ConfigConflict)]
        assert results.count(1) == 1
        assert [error.current_version for error in rejected] == [1, 1, 1]
        assert [error.kind for error in rejected] == [ErrorKind.CONFIG_CONFLICT] * 3

    @pytest.mark.parametrize(
        'faults',
        [
            [None, 'lost'],
            [None, 'lost', 'down'],
            [None, 'lost', 'down', 'down', 'down'],
            [None, 'down', None],
            [None, 'late'],
            [None, 'late', 'down'],
            [None, 'late', None, 'down'],
        ],
    )
    async def test_submission_is_written_once_despite_lost_messages(
        self, manager, table, faults
    ):
        table.faults = faults
        assert await manager.submit(table, _encode_config(), 0, 'ann') == 1
        assert [change.version for change in await manager.read_history(table)] == [1]

    async def test_conflict_is_found_after_a_lost_request(self, manager, table):
        other_table = FakeTable()
        await ConfigManager().submit(other_table, _encode_config('other'), 0, 'bo')
        table.before_commit = lambda: table.rows.update(other_table.rows)
        table.faults = [None, 'down']
        with pytest.raises(ConfigConflict) as caught:
            await manager.submit(table, _encode_config(), 0, 'ann')
        assert caught.value.current_version == 1
        assert manager.version == 0

    @pytest.mark.parametrize(
        ('faults', 'ran'),
        [
            (['down'], ExecutionState.NOT_RUN),
            ([None, *['down'] * 6], ExecutionState.UNKNOWN),
            ([None, 'lost', *['down'] * 5], ExecutionState.UNKNOWN),
        ],
    )
    async def test_failed_submission_reports_whether_it_may_have_run(
        self, manager, table, faults, ran
    ):
        table.faults = faults
        with pytest.raises(RequestError) as caught:
            await manager.submit(table, _encode_config(), 0, 'ann')
        assert caught.value.kind is ErrorKind.PLATFORM_UNAVAILABLE
        assert caught.value.execution_state is ran
        assert manager.version == 0

    async def test_load_finds_a_write_of_unknown_outcome(self, manager, table):
        table.faults = [None, 'lost', *['down'] * 5]
        with pytest.raises(RequestError):
            await manager.submit(table, _encode_config(), 0, 'ann')
        assert await manager.load(table)
