"""A crowd of clients that do not behave; runs as a process of its own.

Usage: ``crowd.py HOST PORT JSON``, where the JSON holds the fields of `Crowd`. Prints a
line when all clients have sent what they send, and keeps the connections open until its
standard input is closed.
"""

import asyncio
import dataclasses
import json
import struct
import sys
from contextlib import suppress

PIECE = b'x' * 65_536
# A client that can send nothing for this time stops to send.
STALL_S = 2.0
CONNECT_S = 5.0
# Length of a batch and two clock times, as in `endivetally_held.channel`.
BATCH_HEADER = struct.Struct('>IQQ')


@dataclasses.dataclass(frozen=True)
class Crowd:
    """What the clients of a crowd send.

    :param shape: name of a method of `Client`.
    :param clients: number of connections at the same time.
    :param rounds: how often each client connects; it sends all again each time.
    :param announced: length in the headers, or of what follows the headers.
    :param sent: bytes that are sent of it.
    """

    shape: str
    clients: int
    rounds: int = 1
    path: str = '/lookup/5c0e7a21d94b36f8'
    announced: int = 0
    sent: int = 0


class Client:
    """One client of a crowd."""

    def __init__(self, host, port, crowd):
        self.host = host
        self.port = port
        self.crowd = crowd
        self.reader = None
        self.writer = None

    async def run(self):
        """Connect and send as often as the crowd asks for."""
        for _ in range(self.crowd.rounds):
            if self.writer is not None:
                self.writer.close()
            with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(CONNECT_S):
                    self.reader, self.writer = await asyncio.open_connection(
                        self.host, self.port
                    )
                await getattr(self, self.crowd.shape)()

    async def silent(self):
        """Send nothing."""

    async def announced_body(self):
        """Announce a body and send a part of it."""
        await self.send_headers(f'Content-Length: {self.crowd.announced}')
        await self.send_bytes(self.crowd.sent)

    async def expected_body(self):
        """Announce a body, and send a part of it once the server asks for it."""
        await self.send_headers(
            f'Content-Length: {self.crowd.announced}', 'Expect: 100-continue'
        )
        await self.reader.readuntil(b'\r\n\r\n')
        await self.send_bytes(self.crowd.sent)

    async def chunked_body(self):
        """Send chunks without an end."""
        await self.send_headers('Transfer-Encoding: chunked')
        chunk = b'%x\r\n%b\r\n' % (len(PIECE), PIECE)
        for _ in range(self.crowd.sent // len(PIECE)):
            await self.send(chunk)

    async def small_chunks(self):
        """Send chunks of two bytes without an end."""
        await self.send_headers('Transfer-Encoding: chunked')
        chunks = b'2\r\n{}\r\n' * 8192
        for _ in range(self.crowd.sent // 16_384):
            await self.send(chunks)

    async def malformed_steps(self):
        """Send a body with more steps than a job can have, and read the answer."""
        steps = ','.join(['{"count":1}'] * self.crowd.announced)
        body = f'{{"bestEffort":true,"steps":[{steps}]}}'.encode()
        await self.send_headers(f'Content-Length: {len(body)}')
        await self.send(body)
        await self.reader.readuntil(b'\r\n\r\n')

    async def form_body(self):
        """Send a form with many fields, and read the answer."""
        body = b'a&' * (self.crowd.announced // 2)
        await self.send_headers(
            f'Content-Length: {len(body)}',
            'Content-Type: application/x-www-form-urlencoded',
        )
        await self.send(body)
        await self.reader.readuntil(b'\r\n\r\n')

    async def long_job(self):
        """Send a sound job that goes on, in a body that is padded with spaces."""
        await self.send_job({'count': 1, 'cpu': 100, 'estimateMs': 60_000})

    async def waiting_tasks(self):
        """Send a job of the largest number of tasks, all but one of which wait."""
        first = {'count': 1, 'cpu': 1, 'estimateMs': 1}
        await self.send_job(first, {**first, 'count': 1799, 'after': [0]})

    async def send_job(self, *steps):
        """Send a sound job that goes on."""
        job_id = f'f{id(self):015x}'
        job = {'bestEffort': True, 'spec': 'x', 'steps': steps}
        body = json.dumps(job).encode().ljust(self.crowd.announced)
        await self.send_headers(
            f'Content-Length: {len(body)}',
            'X-Deadline-Ms: 300000',
            path=f'{self.crowd.path}{job_id}',
        )
        await self.send(body)

    async def endless_headers(self):
        """Send headers without an end."""
        await self.send(f'POST {self.crowd.path} HTTP/1.1\r\nX-Long: '.encode())
        await self.send_bytes(self.crowd.sent)

    async def unread_answers(self):
        """Send requests one after another and read no answer."""
        request = f'GET {self.crowd.path} HTTP/1.1\r\nHost: soak.example\r\n\r\n'
        requests = request.encode() * 1000
        for _ in range(self.crowd.sent // len(requests)):
            await self.send(requests)

    async def incomplete_batch(self):
        """Send a part of a batch of messages between entry and agent."""
        await self.send(BATCH_HEADER.pack(self.crowd.announced, 1, 0))
        await self.send_bytes(self.crowd.sent)

    async def tiny_estimate(self):
        """Send a sound job whose declared run time is tiny."""
        await self.send_estimate(1e-306)

    async def huge_estimate(self):
        """Send a sound job whose declared run time is a day."""
        await self.send_estimate(86_400_000)

    async def send_estimate(self, estimate_ms):
        """Send a job with a declared run time, and read the answer."""
        step = {'count': 1, 'cpu': 100, 'estimateMs': estimate_ms}
        body = json.dumps({'bestEffort': True, 'spec': 'x', 'steps': [step]}).encode()
        await self.send_headers(f'Content-Length: {len(body)}')
        await self.send(body)
        await self.reader.readuntil(b'\r\n\r\n')

    async def send_headers(self, *lines, path=None):
        """Send the headers of a request for a job."""
        path = path or self.crowd.path
        head = [f'POST {path} HTTP/1.1', 'Host: soak.example', *lines]
        await self.send('\r\n'.join((*head, '', '')).encode())

    async def send_bytes(self, count):
        """Send meaningless bytes."""
        for start in range(0, count, len(PIECE)):
            await self.send(PIECE[: count - start])

    async def send(self, data):
        """Send data unless the connection stalls."""
        self.writer.write(data)
        async with asyncio.timeout(STALL_S):
            await self.writer.drain()


async def main(host, port, fields):
    """Run all clients, then wait for the end of the standard input."""
    crowd = Crowd(**json.loads(fields))
    clients = [Client(host, int(port), crowd) for _ in range(crowd.clients)]
    await asyncio.gather(*(client.run() for client in clients))
    sys.stdout.write('sent\n')
    sys.stdout.flush()
    await asyncio.to_thread(sys.stdin.read)


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
