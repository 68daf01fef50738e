"""Stand-in for the platform's store: rows, transactions and the change feed."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from http_server import HttpServer
from http_server import Request
from http_server import Response


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row or the mark of a deleted one."""

    table: str
    part: str
    key: str
    value: str
    ver: int
    deleted: bool = False

    def describe(self) -> dict[str, Any]:
        """Return the row as the store sends it."""
        described: dict[str, Any] = {
            'table': self.table,
            'part': self.part,
            'key': self.key,
            'value': self.value,
            'ver': self.ver,
        }
        if self.deleted:
            described['deleted'] = True
        return described


class Store:
    """Linearizable rows in memory, with their whole history."""

    def __init__(self) -> None:
        self.version = 0
        # Called with each request when it arrives.
        self.on_request: Callable[[Request], None] = lambda _: None
        self._rows: dict[tuple[str, str, str], StoredRow] = {}
        self._history: list[StoredRow] = []
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle)

    async def listen(self, host: str, port: int) -> None:
        """Serve the store."""
        await self._server.listen(host, port)

    async def move(self, host: str, port: int) -> None:
        """Serve the same rows at another address only."""
        former = self._server
        self._server = HttpServer(self._handle)
        await self._server.listen(host, port)
        former.close()
        former.abort_connections()

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def write(self, table: str, key: str, content: Any) -> None:
        """Write one row, as the operator does; it is acknowledged on return."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        await self._apply(
            [{'table': table, 'part': '', 'key': key, 'value': value}], []
        )

    async def _apply(
        self, puts: list[dict[str, Any]], removed: list[dict[str, Any]]
    ) -> None:
        async with self._changed:
            self.version += 1
            for entry in puts + removed:
                key = (entry['table'], entry.get('part', ''), entry['key'])
                deleted = entry in removed
                row = StoredRow(*key, entry.get('value', ''), self.version, deleted)
                self._history.append(row)
                if deleted:
                    self._rows.pop(key, None)
                else:
                    self._rows[key] = row
            self._changed.notify_all()

    async def _handle(self, request: Request) -> Response:
        self.on_request(request)
        await asyncio.sleep(0.004)
        if request.path == '/v1/rows-tx':
            return await self._handle_transaction(request.json())
        if request.path == '/v1/rows-get':
            return self._handle_get(request.query)
        if request.path == '/v1/rows-feed':
            return await self._handle_feed(request.query)
        return Response(404)

    async def _handle_transaction(self, body: dict[str, Any]) -> Response:
        for expected in body.get('expectedRevision', []):
            key = (expected['table'], expected.get('part', ''), expected['key'])
            row = self._rows.get(key)
            if (row.ver if row else 0) != expected['ver']:
                return Response(412, {'rows': [row.describe()] if row else []})
        await self._apply(body.get('puts', []), body.get('remove', []))
        return Response(200, self._stamp())

    def _handle_get(self, query: dict[str, str]) -> Response:
        start = query.get('from', '')
        end = query.get('to')
        found = sorted(
            (row for row in self._rows.values() if self._matches(row, query)),
            key=lambda row: row.key.encode(),
        )
        found = [
            row for row in found if row.key >= start and (not end or row.key < end)
        ]
        limit = min(int(query.get('limit', '500')), 500)
        rows = [row.describe() for row in found[:limit]]
        return Response(
            200, {'rows': rows, 'hasMore': len(found) > limit, **self._stamp()}
        )

    async def _handle_feed(self, query: dict[str, str]) -> Response:
        after = int(query['after'])
        rows: list[StoredRow] = []

        def find() -> bool:
            rows[:] = [
                row
                for row in self._history
                if row.ver > after and row.table == query['table']
            ]
            return bool(rows)

        async with self._changed:
            try:
                async with asyncio.timeout(int(query.get('waitMs', '0')) / 1000):
                    await self._changed.wait_for(find)
            except TimeoutError:
                find()
        return Response(
            200, {'rows': [row.describe() for row in rows], **self._stamp()}
        )

    def _matches(self, row: StoredRow, query: dict[str, str]) -> bool:
        return row.table == query['table'] and row.part == query.get('part', '')

    def _stamp(self) -> dict[str, int]:
        return {'ver': self.version, 'nowMs': int(time.monotonic() * 1000)}
