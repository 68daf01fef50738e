"""Callers of the soak test do not wait for each other."""

import asyncio

from endivetally_platform.standins import CallResult
from endivetally_platform.standins import EntryClient
from endivetally_platform.standins import JobSpec
from endivetally_policy.held import Resources

CALLS = 40
TIMEOUT_S = 1.0


async def test_calls_are_sent_while_many_others_wait_for_their_responses():
    # Calls that waited for a free connection were sent after the entry had stopped to
    # listen, and reported as calls without an answer.
    received = []

    async def receive(reader, writer):
        received.append(await reader.readuntil(b'\r\n\r\n'))
        await reader.read()
        writer.close()

    server = await asyncio.start_server(receive, '127.0.0.1')
    port = server.sockets[0].getsockname()[1]
    client = EntryClient(f'127.0.0.1:{port}')
    job = JobSpec('j1', 'lookup', 1, Resources(1600, 64), 1, 1, 6, tasks_fail=False)
    async with server:
        calls = [client.submit(job, TIMEOUT_S) for _ in range(CALLS)]
        outcomes = await asyncio.gather(*calls)
        await client.close()
    assert {outcome.result for outcome in outcomes} == {CallResult.UNANSWERED}
    assert len(received) == CALLS
