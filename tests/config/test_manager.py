"""Tests of the text in force and of its submission through the table."""

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


def _text(name='lookup'):
    return json.dumps(
        {
            'services': [{'name': name, 'kind': 'idempotent'}],
            'teams': [{'name': 'clerks', 'token': 'token-1'}],
        },
    ).encode()


class FakeTable(Table):
    """Rows in memory; ``faults`` holds one fault for each coming call.

    ``down`` loses the request, ``lost`` the answer, ``late`` lets the write
    take effect after the next read.
    """

    def __init__(self):
        self.rows = {}
        self.faults = []
        self.before_commit = None
        self._late = None

    async def read(self, key):
        await asyncio.sleep(0)
        self._next_fault()
        row = self.rows.get(key)
        if self._late is not None:
            late, self._late = self._late, None
            self._apply(late)
        return row

    async def scan(self, prefix):
        self._next_fault()
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return [self.rows[key] for key in keys]

    async def commit(self, transaction):
        await asyncio.sleep(0)
        if self.before_commit:
            before, self.before_commit = self.before_commit, None
            before()
        fault = self._next_fault()
        if fault == 'late':
            self._late = transaction
            raise TableUnavailable(fault)
        self._apply(transaction)
        if fault == 'lost':
            raise TableUnavailable(fault)

    def close(self):
        """Nothing to release."""

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

    def _next_fault(self):
        fault = self.faults.pop(0) if self.faults else None
        if fault == 'down':
            raise TableUnavailable(fault)
        return fault


@pytest.fixture
def table():
    return FakeTable()


@pytest.fixture
def keeper():
    return ConfigManager((0, 0))


class TestAdopt:
    @pytest.mark.parametrize(
        ('versions', 'adopted'),
        [
            ([1, 2, 5], [1, 2, 5]),
            ([5, 4, 1], [5]),
            ([3, 3], [3]),
            ([0], []),
        ],
    )
    def test_only_forwards(self, keeper, versions, adopted):
        seen = []
        keeper.add_change_callback(lambda text: seen.append(text.version))
        for version in versions:
            keeper.apply_if_newer(version, _text())
        assert seen == adopted

    def test_backwards_keeps_the_text(self, keeper):
        keeper.apply_if_newer(2, _text('new'))
        assert not keeper.apply_if_newer(1, _text('old'))
        assert keeper.config.find_service('new')

    def test_malformed_text_keeps_the_version(self, keeper):
        keeper.apply_if_newer(1, _text())
        with pytest.raises(MalformedMessage):
            keeper.apply_if_newer(2, b'{}')
        assert keeper.version == 1


class TestLoad:
    async def test_empty_table(self, keeper, table):
        assert not await keeper.load(table)
        assert keeper.version == 0

    async def test_newer_text(self, keeper, table):
        await ConfigManager().submit(table, _text(), 0, 'ann')
        assert await keeper.load(table)
        assert not await keeper.load(table)
        assert keeper.config.find_service('lookup')

    async def test_unavailable(self, keeper, table):
        table.faults = ['down']
        with pytest.raises(TableUnavailable):
            await keeper.load(table)


class TestSubmit:
    async def test_versions_and_history(self, keeper, table):
        for version, submitter in enumerate(('ann', 'bo', 'cy')):
            assert (
                await keeper.submit(table, _text(), version, submitter) == version + 1
            )
        changes = await keeper.read_history(table)
        assert [change.submitter for change in changes] == ['ann', 'bo', 'cy']
        assert keeper.version == 3

    async def test_history_is_bounded(self, keeper, table):
        for version in range(MAX_HISTORY_VERSIONS + 3):
            await keeper.submit(table, _text(), version, 'ann')
        changes = await keeper.read_history(table)
        assert len(changes) == MAX_HISTORY_VERSIONS
        assert changes[-1].version == MAX_HISTORY_VERSIONS + 3

    async def test_submitter_is_bounded(self, keeper, table):
        await keeper.submit(table, _text(), 0, 'a' * 10_000)
        (change,) = await keeper.read_history(table)
        assert len(change.submitter) == 128

    async def test_invalid_text_is_not_written(self, keeper, table):
        with pytest.raises(ConfigInvalid):
            await keeper.submit(table, b'{}', 0, 'ann')
        assert not table.rows

    @pytest.mark.parametrize('based_on', [0, 2])
    async def test_based_on_another_version(self, keeper, table, based_on):
        await keeper.submit(table, _text(), 0, 'ann')
        with pytest.raises(ConfigConflict) as caught:
            await keeper.submit(table, _text(), based_on, 'bo')
        assert caught.value.current_version == 1

    async def test_race_has_one_winner(self, table):
        keepers = [ConfigManager((0,)) for _ in range(4)]
        results = await asyncio.gather(
            *(
                keeper.submit(table, _text(f's{number}'), 0, f'op-{number}')
                for number, keeper in enumerate(keepers)
            ),
            return_exceptions=True,
        )
        losers = [result for result in results if isinstance(result, ConfigConflict)]
        assert results.count(1) == 1
        assert [loser.current_version for loser in losers] == [1, 1, 1]
        assert [loser.kind for loser in losers] == [ErrorKind.CONFIG_CONFLICT] * 3

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
    async def test_lost_answer_is_settled(self, keeper, table, faults):
        table.faults = faults
        assert await keeper.submit(table, _text(), 0, 'ann') == 1
        assert [change.version for change in await keeper.read_history(table)] == [1]

    async def test_lost_answer_of_a_loser(self, keeper, table):
        winner = FakeTable()
        await ConfigManager().submit(winner, _text('other'), 0, 'bo')
        table.before_commit = lambda: table.rows.update(winner.rows)
        table.faults = [None, 'down']
        with pytest.raises(ConfigConflict) as caught:
            await keeper.submit(table, _text(), 0, 'ann')
        assert caught.value.current_version == 1
        assert keeper.version == 0

    @pytest.mark.parametrize(
        ('faults', 'ran'),
        [
            (['down'], ExecutionState.NOT_RUN),
            ([None, *['down'] * 6], ExecutionState.UNKNOWN),
            ([None, 'lost', *['down'] * 5], ExecutionState.UNKNOWN),
        ],
    )
    async def test_not_settled(self, keeper, table, faults, ran):
        table.faults = faults
        with pytest.raises(RequestError) as caught:
            await keeper.submit(table, _text(), 0, 'ann')
        assert caught.value.kind is ErrorKind.PLATFORM_UNAVAILABLE
        assert caught.value.ran is ran
        assert keeper.version == 0

    async def test_unsettled_change_is_found_by_load(self, keeper, table):
        table.faults = [None, 'lost', *['down'] * 5]
        with pytest.raises(RequestError):
            await keeper.submit(table, _text(), 0, 'ann')
        assert await keeper.load(table)
