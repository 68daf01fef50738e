"""Tests of requests that go to another entry."""

import asyncio

import pytest
from endivetally_core.errors import ErrorKind
from endivetally_core.messages import Forwarded
from endivetally_entry.forwarding import CODE_HEADER
from endivetally_entry.forwarding import Forwards
from entry.parts import KeptLink
from entry.parts import request


class TestAnswered:
    @pytest.mark.parametrize(
        ('code', 'kind'),
        [
            ('', None),
            ('overloaded', ErrorKind.OVERLOADED),
            ('never heard of', ErrorKind.INTERNAL),
        ],
    )
    async def test_every_answer_ends_the_wait(self, code, kind):
        link = KeptLink()
        forwards = Forwards(lambda _owner: link)
        sent = asyncio.create_task(forwards.send('entry-2.1', request()))
        await asyncio.sleep(0)
        number = link.posted[0].forward_id
        forwards.answered(Forwarded(number, 200, {CODE_HEADER: code}, b'{}'))
        async with asyncio.timeout(20):
            assert (await sent).kind is kind
