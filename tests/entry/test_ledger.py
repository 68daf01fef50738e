"""Tests of the memory of keyed requests."""

from endivetally_entry.executions import OwnershipMoved
from endivetally_entry.ledger import KeyLedger
from endivetally_entry.requests import Answer
from endivetally_entry.requests import KeyName

NAME = KeyName('clerks', 'sweeps', 'k')


def _refused(ledger):
    record = ledger.open(NAME, b'')
    record.journalled = True
    ledger.finish(record, Answer(503, b''), remember=False)


class TestRefusals:
    async def test_a_refused_key_that_came_again_may_have_started(self):
        ledger = KeyLedger(900)
        _refused(ledger)
        record = ledger.open(NAME, b'')
        record.journalled = True
        ledger.abandon(record, OwnershipMoved('k'))
        assert record.answer.exception()
        assert not ledger.has_refused(NAME)

    async def test_a_refusal_outlasts_a_submission_that_was_never_journalled(self):
        ledger = KeyLedger(900)
        _refused(ledger)
        record = ledger.open(NAME, b'')
        ledger.finish(record, Answer(503, b''), remember=False)
        assert ledger.has_refused(NAME)
