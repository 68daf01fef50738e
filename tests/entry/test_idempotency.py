"""Tests of the cache of keyed requests."""

import pytest
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError
from endivetally_entry.execution import OwnershipMoved
from endivetally_entry.idempotency import IdempotencyCache
from endivetally_entry.requests import Response
from endivetally_entry.requests import ScopedKey

KEY = ScopedKey('clerks', 'sweeps', 'k')


def _finish_request(cache, key, body):
    record = cache.create_record(ScopedKey('team', 'service', key), b'hash')
    record.journalled = True
    cache.record_response(record, Response(200, body), keep=True)
    return record


class TestEviction:
    async def test_the_oldest_bodies_are_evicted_first(self):
        cache = IdempotencyCache(900, 8)
        first = _finish_request(cache, 'k1', b'12345')
        second = _finish_request(cache, 'k2', b'67890')
        assert first.response.result().error_kind is ErrorKind.RESULT_LOST
        assert second.response.result().body == b'67890'
        assert (cache.body_bytes, cache.evicted_body_count) == (5, 1)

    async def test_bodies_are_removed_after_the_retention_period(self):
        cache = IdempotencyCache(-1, 8)
        _finish_request(cache, 'k1', b'12345')
        cache.prune()
        assert (cache.body_bytes, cache.record_count) == (0, 0)


class TestFind:
    async def test_another_body_under_the_same_key_is_a_conflict(self):
        cache = IdempotencyCache(900, 8)
        record = _finish_request(cache, 'k1', b'')
        assert cache.find(record.scoped_key, b'hash') is record
        with pytest.raises(RequestError) as caught:
            cache.find(record.scoped_key, b'other')
        assert caught.value.kind is ErrorKind.KEY_CONFLICT

    async def test_a_request_refused_before_its_start_is_recorded_as_refused(self):
        cache = IdempotencyCache(900, 8)
        record = cache.create_record(ScopedKey('team', 'service', 'k1'), b'hash')
        record.journalled = True
        cache.record_response(record, Response(503, b''), keep=False)
        assert cache.get(record.scoped_key) is None
        assert cache.was_refused_before_start(record.scoped_key)


def _refuse_request(cache):
    record = cache.create_record(KEY, b'')
    record.journalled = True
    cache.record_response(record, Response(503, b''), keep=False)


class TestRefusals:
    async def test_a_refused_key_that_is_submitted_again_may_have_started(self):
        cache = IdempotencyCache(900, 8)
        _refuse_request(cache)
        record = cache.create_record(KEY, b'')
        record.journalled = True
        cache.abandon_record(record, OwnershipMoved('k'))
        assert record.response.exception()
        assert not cache.was_refused_before_start(KEY)

    async def test_a_key_stays_refused_after_a_submission_that_was_not_journalled(self):
        cache = IdempotencyCache(900, 8)
        _refuse_request(cache)
        record = cache.create_record(KEY, b'')
        cache.record_response(record, Response(503, b''), keep=False)
        assert cache.was_refused_before_start(KEY)
