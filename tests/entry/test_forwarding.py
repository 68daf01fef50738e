"""Tests of the forwarding of requests to another entry."""

import asyncio

import pytest
from endivetally_core.errors import ErrorKind
from endivetally_core.messages import Forwarded
from endivetally_entry.forwarding import CODE_HEADER
from endivetally_entry.forwarding import RequestForwarder
from entry.builders import RecordingLink
from entry.builders import request


class TestReply:
    @pytest.mark.parametrize(
        ('code', 'kind'),
        [
            ('', None),
            ('overloaded', ErrorKind.OVERLOADED),
            ('never heard of', ErrorKind.INTERNAL),
        ],
    )
    async def test_every_reply_completes_the_request(self, code, kind):
        link = RecordingLink()
        forwarder = RequestForwarder(lambda _owner: link)
        forwarding = asyncio.create_task(forwarder.forward('entry-2.1', request()))
        await asyncio.sleep(0)
        forward_id = link.posted[0].forward_id
        forwarder.handle_reply(Forwarded(forward_id, 200, {CODE_HEADER: code}, b'{}'))
        async with asyncio.timeout(20):
            assert (await forwarding).error_kind is kind
