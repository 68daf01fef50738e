"""Tests of the memory of keyed requests."""

import pytest
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError
from endivetally_entry.execution import OwnershipMoved
from endivetally_entry.idempotency import KeyLedger
from endivetally_entry.requests import Answer
from endivetally_entry.requests import KeyName

NAME = KeyName('clerks', 'sweeps', 'k')


def _finish(ledger, key, body):
    record = ledger.open(KeyName('team', 'service', key), b'hash')
    record.journalled = True
    ledger.finish(record, Answer(200, body), remember=True)
    return record


class TestBound:
    async def test_drops_the_oldest_bodies_first(self):
        ledger = KeyLedger(900, 8)
        first = _finish(ledger, 'k1', b'12345')
        second = _finish(ledger, 'k2', b'67890')
        assert first.answer.result().kind is ErrorKind.RESULT_LOST
        assert second.answer.result().body == b'67890'
        assert (ledger.body_bytes, ledger.dropped_bodies) == (5, 1)

    async def test_forgets_bodies_past_the_retention(self):
        ledger = KeyLedger(-1, 8)
        _finish(ledger, 'k1', b'12345')
        ledger.prune()
        assert (ledger.body_bytes, ledger.remembered) == (0, 0)


class TestFind:
    async def test_other_body_under_the_same_key(self):
        ledger = KeyLedger(900, 8)
        record = _finish(ledger, 'k1', b'')
        assert ledger.find(record.name, b'hash') is record
        with pytest.raises(RequestError) as caught:
            ledger.find(record.name, b'other')
        assert caught.value.kind is ErrorKind.KEY_CONFLICT

    async def test_refused_before_any_start(self):
        ledger = KeyLedger(900, 8)
        record = ledger.open(KeyName('team', 'service', 'k1'), b'hash')
        record.journalled = True
        ledger.finish(record, Answer(503, b''), remember=False)
        assert ledger.get(record.name) is None
        assert ledger.has_refused(record.name)


def _refused(ledger):
    record = ledger.open(NAME, b'')
    record.journalled = True
    ledger.finish(record, Answer(503, b''), remember=False)


class TestRefusals:
    async def test_a_refused_key_that_came_again_may_have_started(self):
        ledger = KeyLedger(900, 8)
        _refused(ledger)
        record = ledger.open(NAME, b'')
        record.journalled = True
        ledger.abandon(record, OwnershipMoved('k'))
        assert record.answer.exception()
        assert not ledger.has_refused(NAME)

    async def test_a_refusal_outlasts_a_submission_that_was_never_journalled(self):
        ledger = KeyLedger(900, 8)
        _refused(ledger)
        record = ledger.open(NAME, b'')
        ledger.finish(record, Answer(503, b''), remember=False)
        assert ledger.has_refused(NAME)
