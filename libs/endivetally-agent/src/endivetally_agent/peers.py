"""Discovers entries, joins them and keeps one link to each."""

import asyncio
import functools
import logging
import random
import time
from abc import ABC
from abc import abstractmethod
from typing import Final

import msgspec
from endivetally_config.settings import AgentSettings
from endivetally_core.backoff import Backoff
from endivetally_core.decoding import DECODE_ERRORS
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import TableUnavailable
from endivetally_core.joining import Address
from endivetally_core.joining import AgentIdentity
from endivetally_core.joining import EntryIdentity
from endivetally_core.joining import JoinRequest
from endivetally_core.joining import JoinResponse
from endivetally_table.entries import scan_entries
from endivetally_table.table import Table
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from endivetally_agent.counters import AgentCounters

logger: Final = logging.getLogger(__name__)

BACKOFF_MIN_S: Final = 0.05
BACKOFF_MAX_S: Final = 2
# Longest backoff while a link to another entry is open.
LINKED_BACKOFF_MAX_S: Final = 10
# An address without a link for this long is removed.
FORGET_AFTER_S: Final = 60
# Average interval of table scans while a link is open.
SCAN_INTERVAL_S: Final = 60
SCAN_RETRY_MIN_S: Final = 0.5
SCAN_RETRY_MAX_S: Final = 5
JOIN_JITTER_S: Final = 10
JOIN_TIMEOUT_S: Final = 3
MAX_CONCURRENT_JOINS: Final = 16
SCAN_ERRORS: Final = (TableUnavailable, *DECODE_ERRORS)
JOIN_ERRORS: Final = (HTTPClientError, OSError, ValueError, *DECODE_ERRORS)


class EntryConnector(ABC):
    """Operations of the agent that the discovery of entries uses."""

    @abstractmethod
    def identity(self) -> AgentIdentity | None:
        """Return the agent's identity, or ``None`` before the first announcement."""

    @abstractmethod
    def is_linked(self, entry: str) -> bool:
        """Whether a link to this incarnation of an entry is open."""

    @abstractmethod
    def fence_entry(self, entry: str) -> None:
        """Refuse further dispatches of an entry's incarnation."""

    @abstractmethod
    async def serve_link(self, entry: EntryIdentity, address: str) -> None:
        """Connect to an entry and handle its messages until the link closes.

        :raises LinkClosed: when the connection can't be opened.
        """


class EntryDiscovery:
    """Runs a task for each known entry address that joins the entry and keeps a link.

    :param table: lists the entries; without it, only the seeds are used.
    """

    def __init__(
        self,
        settings: AgentSettings,
        connector: EntryConnector,
        table: Table | None,
        counters: AgentCounters,
    ) -> None:
        self._settings = settings
        self._connector = connector
        self._table = table
        self._counters = counters
        self._link_tasks: dict[Address, asyncio.Task[None]] = {}
        self._link_count = 0
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CONCURRENT_JOINS
        )

    @property
    def address_count(self) -> int:
        """Number of addresses that are linked or being tried."""
        return len(self._link_tasks)

    async def run(self) -> None:
        """Search for entries until cancelled.

        The table is scanned at the start, repeatedly while there is no link, and
        otherwise rarely, because entries also report one another.
        """
        backoff = Backoff(SCAN_RETRY_MIN_S)
        while True:
            if self._connector.identity() is None:
                await asyncio.sleep(BACKOFF_MIN_S)
                continue
            await self._search()
            await backoff.wait(SCAN_RETRY_MAX_S)
            if self._link_count:
                backoff.reset()
                await asyncio.sleep(SCAN_INTERVAL_S * random.uniform(0.75, 1.25))

    async def close(self) -> None:
        """Cancel all tasks and close the HTTP connections."""
        tasks = list(self._link_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._client.close()

    def add_address(self, address: Address) -> None:
        """Start to keep a link to the entry at this address."""
        self._start_link_task(address, 0)

    def add_address_with_jitter(self, address: Address) -> None:
        """Start to keep a link to the entry at this address after a random delay.

        All agents are told of a new entry at about the same time; the delay spreads
        their joins over ``JOIN_JITTER_S``.
        """
        self._start_link_task(address, random.uniform(0, JOIN_JITTER_S))

    def _start_link_task(self, address: Address, delay_s: float) -> None:
        if address not in self._link_tasks:
            coroutine = self._maintain_link(address, delay_s)
            task = asyncio.get_running_loop().create_task(coroutine)
            self._link_tasks[address] = task
            task.add_done_callback(functools.partial(self._remove_address, address))

    async def _search(self) -> None:
        if self._table is not None:
            await self._scan_table(self._table)
        if not self._link_tasks:
            for seed in self._settings.seeds:
                self.add_address(seed)

    async def _scan_table(self, table: Table) -> None:
        try:
            rows = await scan_entries(table)
        except SCAN_ERRORS:
            self._counters.table_failures.increment()
            return
        for row in rows:
            if row.state == 'live':
                self.add_address(row.identity.address)
            elif row.state == 'fenced':
                self._connector.fence_entry(row.identity.incarnation)

    async def _maintain_link(self, address: Address, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        backoff = Backoff(BACKOFF_MIN_S)
        last_linked_at = time.monotonic()
        while time.monotonic() - last_linked_at < FORGET_AFTER_S:
            if await self._join(address):
                last_linked_at = time.monotonic()
                backoff.reset()
            max_s = LINKED_BACKOFF_MAX_S if self._link_count else BACKOFF_MAX_S
            await backoff.wait(max_s)

    def _remove_address(self, address: Address, task: asyncio.Task[None]) -> None:
        self._link_tasks.pop(address, None)
        error = None if task.cancelled() else task.exception()
        logger.info(
            'entry address removed', extra={'address': str(address)}, exc_info=error
        )

    async def _join(self, address: Address) -> bool:
        try:
            response = await self._request_join(address)
        except JOIN_ERRORS:
            self._counters.joins.increment('failed')
            return False
        self._counters.joins.increment('answered')
        for identity in response.entries:
            self.add_address(identity.address)
        for incarnation in response.fenced:
            self._connector.fence_entry(incarnation)
        if self._connector.is_linked(response.entry.incarnation):
            return False
        return await self._serve(response)

    async def _serve(self, response: JoinResponse) -> bool:
        self._link_count += 1
        try:
            await self._connector.serve_link(response.entry, response.link)
        except LinkClosed:
            return False
        finally:
            self._link_count -= 1
        return True

    async def _request_join(self, address: Address) -> JoinResponse:
        body = msgspec.json.encode(JoinRequest(agent=self._connector.identity()))
        request = HTTPRequest(
            f'http://{address}/internal/join',
            method='POST',
            headers={'Content-Type': 'application/json'},
            body=body,
            request_timeout=JOIN_TIMEOUT_S,
        )
        fetched = await self._client.fetch(request)
        return msgspec.json.decode(fetched.body, type=JoinResponse)
