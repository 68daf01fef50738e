"""Tests of keyed requests at their owner."""

import asyncio
import itertools
import json
from types import SimpleNamespace

import pytest
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError
from endivetally_entry.acknowledgements import Acknowledgements
from endivetally_entry.keyed import KeyedRequests
from endivetally_entry.ledger import KeyLedger
from endivetally_policy.retries import RetryPolicy
from entry.parts import Dispatching
from entry.parts import request


class Journal:
    """A journal that waits, then fails or not."""

    def __init__(self, error=None):
        self.ready = asyncio.Event()
        self._error = error

    async def append_record(self, _entry):
        await self.ready.wait()
        if self._error is not None:
            raise self._error


def _keyed(parts, journal, known=None):
    async def results(_request):
        return known or {}

    return KeyedRequests(
        'entry-1.1',
        SimpleNamespace(owns=lambda _name: True),
        KeyLedger(900, 1000),
        journal,
        SimpleNamespace(results_of_former_owners=results),
        SimpleNamespace(check=lambda *_details: None),
        parts.dispatcher,
        RetryPolicy(),
        Acknowledgements('entry-1.1', parts.roster),
        SimpleNamespace(steady=True),
        itertools.count(1),
    )


class TestResumedRequest:
    @pytest.mark.parametrize(('known', 'ran'), [({}, 'not_run'), ({0: b'1'}, 'ran')])
    async def test_a_table_failure_tells_whether_a_former_owner_ran_it(
        self, known, ran
    ):
        journal = Journal(RequestError(ErrorKind.PLATFORM_UNAVAILABLE))
        journal.ready.set()
        keyed = _keyed(Dispatching(), journal, known)
        answer = await keyed.answer(request(b'1', b'2'))
        assert json.loads(answer.body)['error']['ran'] == ran


class TestCancel:
    async def test_a_cancel_during_the_journal_write_takes_effect(self):
        parts, journal = Dispatching(), Journal()
        keyed = _keyed(parts, journal)
        answering = asyncio.create_task(keyed.answer(request()))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert keyed.cancel(request()).status == 202
        journal.ready.set()
        answer = await answering
        assert answer.kind is ErrorKind.CANCELLED
        assert json.loads(answer.body)['error']['ran'] == 'not_run'
        assert parts.dispatcher.in_progress == 0
