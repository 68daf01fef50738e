"""Tests of the messages between entries."""

import asyncio
from contextlib import suppress
from types import SimpleNamespace

import pytest
from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind
from endivetally_core.messages import Forward
from endivetally_entry.peering import PeerProtocol
from endivetally_entry.requests import Response
from entry.builders import RecordingLink

SERVICE = Service('sweeps', ServiceKind.JOB)


class StartingEntry:
    """An entry that has acquired shards but is not open; it records what it runs."""

    def __init__(self):
        config = OperatorConfig((SERVICE,), ())
        self.opened = asyncio.Event()
        self.active_config = SimpleNamespace(config=config)
        self.request_router = self
        self.patience = 10
        self.handled = []
        self.work = []

    def spawn(self, work):
        self.work.append(asyncio.create_task(work))

    async def wait_until_open(self, timeout_s):
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s * self.patience):
                await self.opened.wait()

    def unready_reason(self):
        return 'starting'

    async def handle_forwarded(self, request, *, cancel):
        self.handled.append(request.key)
        return Response(200, b'{}')

    async def handle_as_former_owner(self, request):
        return await self.handle_forwarded(request, cancel=False)


def forward(*, cancel=False, former_owner=False):
    return Forward(7, 'clerks', 'sweeps', 'k', [b'1'], 5000, cancel, former_owner)


class TestForwardDuringStart:
    async def test_a_request_waits_until_the_entry_is_open(self):
        entry = StartingEntry()
        link = RecordingLink()
        peer = SimpleNamespace(link=link)
        PeerProtocol(entry).handle_message(peer, forward())
        await asyncio.sleep(0.01)
        assert not entry.handled
        entry.opened.set()
        await asyncio.gather(*entry.work)
        assert entry.handled == ['k']
        assert [reply.status for reply in link.posted] == [200]

    async def test_a_request_that_waited_in_vain_has_an_unknown_state(self):
        entry = StartingEntry()
        entry.patience = 0
        link = RecordingLink()
        PeerProtocol(entry).handle_message(SimpleNamespace(link=link), forward())
        await asyncio.gather(*entry.work)
        assert not entry.handled
        assert link.posted[0].status == 503
        assert b'"unknown"' in link.posted[0].body

    @pytest.mark.parametrize(
        'message', [forward(cancel=True), forward(former_owner=True)]
    )
    async def test_what_starts_no_run_is_answered_at_once(self, message):
        entry = StartingEntry()
        PeerProtocol(entry).handle_message(
            SimpleNamespace(link=RecordingLink()), message
        )
        await asyncio.sleep(0.01)
        assert entry.handled == ['k']
