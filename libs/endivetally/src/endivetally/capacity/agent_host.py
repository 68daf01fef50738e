"""Runs many agents in one process, for the capacity measurements.

The agents announce targets that do not exist, and get no tasks.

Started as ``python -m endivetally.capacity.agent_host COUNT TABLE READY_FILE``.
``GET /counts`` responds with the sums of the agents' link counters as JSON.
"""

import asyncio
import signal
import sys
from collections.abc import Iterable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Final

import msgspec
from endivetally_agent.agent import Agent
from endivetally_config.settings import AgentSettings
from endivetally_core.joining import Address
from endivetally_core.joining import Announcement
from endivetally_core.logs import configure_logging
from endivetally_table.http import HttpTable
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

from endivetally.capacity.counters import LinkCounters
from endivetally.capacity.counters import parse_counters
from endivetally.capacity.counters import sum_counters

LOOPBACK: Final = '127.0.0.1'
POOL: Final = 'search-front'
SLOTS: Final = 8
CONNECTIONS: Final = 64
MEMORY_MB: Final = 32 * 1024
ANNOUNCE_INTERVAL_S: Final = 1
# Port of the announced targets: the discard service, where no target listens.
DISCARD_PORT: Final = 9


class CountersHandler(RequestHandler):
    """Serves the summed link counters of all agents at ``/counts``."""

    def initialize(self, agents: list[Agent]) -> None:
        """Receive the agents from the tornado application."""
        self._agents = agents

    def data_received(self, chunk: bytes) -> None:
        """Ignore streamed body chunks; tornado reads the body as a whole."""

    def get(self) -> None:
        """Respond with the sums as JSON."""
        self.finish(msgspec.json.encode(_sum_agent_counters(self._agents)))


def _sum_agent_counters(agents: Iterable[Agent]) -> LinkCounters:
    return sum_counters(
        parse_counters(agent.metrics().body.decode()) for agent in agents
    )


async def _send_announcements(agents: list[Agent]) -> None:
    announcement = Announcement(POOL, DISCARD_PORT, SLOTS, CONNECTIONS, MEMORY_MB)
    while True:
        for agent in agents:
            agent.apply_announcement(announcement)
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def run_host(count: int, table: Address, ready_file: Path) -> None:
    """Run agents in this process until SIGTERM.

    :param count: number of agents.
    :param table: address of the table service.
    :param ready_file: receives ``host:port`` of the HTTP server once it listens.
    """
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    async with AsyncExitStack() as stack:
        client = HttpTable(table)
        stack.callback(client.close)
        agents = [
            await stack.enter_async_context(
                Agent(_agent_settings(number, table), client)
            )
            for number in range(count)
        ]
        sockets = bind_sockets(0, LOOPBACK)
        server = HTTPServer(
            Application([('/counts', CountersHandler, {'agents': agents})])
        )
        server.add_sockets(sockets)
        stack.callback(server.stop)
        announcements = asyncio.create_task(_send_announcements(agents))
        stack.callback(announcements.cancel)
        ready_file.write_text(f'{LOOPBACK}:{sockets[0].getsockname()[1]}\n')
        await stopped.wait()


def _agent_settings(number: int, table: Address) -> AgentSettings:
    return AgentSettings(
        name=f'light-{number}',
        data_centre='dc-1',
        rack=f'rack-{number % 3}',
        listen=Address(LOOPBACK, 0),
        table=table,
    )


def main(count: str, table: str, ready_file: str) -> None:
    """Configure logging and run the agents.

    :param count: number of agents.
    :param table: ``host:port`` of the table service.
    :param ready_file: path of the file that receives the HTTP address.
    """
    configure_logging('agent-host', 'INFO')
    host, _, port = table.rpartition(':')
    asyncio.run(run_host(int(count), Address(host, int(port)), Path(ready_file)))


if __name__ == '__main__':
    main(*sys.argv[1:])
