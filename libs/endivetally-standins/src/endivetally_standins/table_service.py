"""Stand-in for the platform's table service over HTTP, with faults.

Requests: ``POST /commit`` with a `Transaction`, ``GET /row?key=``,
``GET /scan?prefix=&after=&limit=``, ``GET /stats``, ``POST /faults`` with
`TableFaults`. Bodies are MessagePack by default, and JSON if the ``Content-Type`` or
``Accept`` header names ``application/json``. Stats and faults are always JSON.
"""

import asyncio
import contextlib
import signal
from pathlib import Path
from typing import Annotated
from typing import Final

import msgspec
import typer
from endivetally_core.decoding import DECODE_ERRORS
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable
from endivetally_table.http import MSGPACK_TYPE
from endivetally_table.memory import MemoryTable
from endivetally_table.memory import TableFaults
from endivetally_table.table import Transaction
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

# Default durations of a write and of a read.
WRITE_MS: Final = 4
READ_MS: Final = 1
JSON_TYPE: Final = 'application/json'
_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_UNAVAILABLE: Final = 503


class TableHandler(RequestHandler):
    """Base of the handlers: content types and errors."""

    def initialize(self, table: MemoryTable) -> None:
        """Receive the argument of the route from tornado."""
        self.table = table

    def is_json(self, header: str) -> bool:
        """Return whether a header of the request names JSON."""
        return self.request.headers.get(header, '').startswith(JSON_TYPE)

    def write_content(self, content: object) -> None:
        """Write the response body in the format that the client accepts."""
        if self.is_json('Accept'):
            self.set_header('Content-Type', JSON_TYPE)
            self.write(msgspec.json.encode(content))
            return
        self.set_header('Content-Type', MSGPACK_TYPE)
        self.write(msgspec.msgpack.encode(content))

    def drop_connection(self) -> None:
        """Close the connection without a response."""
        self.detach().close()

    def finish_with_error(self, status: int, reason: str) -> None:
        """Finish the response with an error status and a reason as its body."""
        self.set_status(status)
        self.finish(reason)


class CommitHandler(TableHandler):
    """``POST /commit``."""

    async def post(self) -> None:
        """Apply a transaction; respond with 409 when a condition does not hold."""
        codec = msgspec.json if self.is_json('Content-Type') else msgspec.msgpack
        try:
            transaction = codec.decode(self.request.body, type=Transaction)
        except DECODE_ERRORS as error:
            self.finish_with_error(_BAD_REQUEST, str(error))
            return
        await self._commit(transaction)

    async def _commit(self, transaction: Transaction) -> None:
        """Commit; a lost response closes the connection after the commit."""
        try:
            await self.table.commit(transaction)
        except TableConflict as error:
            self.finish_with_error(_CONFLICT, str(error))
        except TableUnavailable as error:
            if self.table.faults.down:
                self.finish_with_error(_UNAVAILABLE, str(error))
            else:
                self.drop_connection()


class RowHandler(TableHandler):
    """``GET /row``."""

    async def get(self) -> None:
        """Respond with a row, or with 404 when it does not exist."""
        try:
            row = await self.table.read(self.get_query_argument('key'))
        except TableUnavailable as error:
            self.finish_with_error(_UNAVAILABLE, str(error))
            return
        if row is None:
            self.finish_with_error(_NOT_FOUND, 'no such row')
            return
        self.write_content(row)


class ScanHandler(TableHandler):
    """``GET /scan``."""

    async def get(self) -> None:
        """Respond with the rows whose key has a prefix, in key order."""
        limit = self.get_query_argument('limit', None)
        try:
            rows = await self.table.scan(
                self.get_query_argument('prefix'),
                after=self.get_query_argument('after', ''),
                limit=None if limit is None else int(limit),
            )
        except ValueError as error:
            self.finish_with_error(_BAD_REQUEST, str(error))
            return
        except TableUnavailable as error:
            self.finish_with_error(_UNAVAILABLE, str(error))
            return
        self.write_content(rows)


class StatsHandler(TableHandler):
    """``GET /stats``."""

    def get(self) -> None:
        """Respond with the counters as JSON."""
        self.set_header('Content-Type', JSON_TYPE)
        self.write(msgspec.json.encode(self.table.stats))


class FaultsHandler(TableHandler):
    """``POST /faults``."""

    def post(self) -> None:
        """Replace the faults; those that the body does not name are disabled."""
        try:
            self.table.faults = msgspec.json.decode(self.request.body, type=TableFaults)
        except DECODE_ERRORS as error:
            self.finish_with_error(_BAD_REQUEST, str(error))


def make_application(table: MemoryTable) -> Application:
    """Return the web application that serves a table."""
    arguments = {'table': table}
    return Application(
        [
            ('/commit', CommitHandler, arguments),
            ('/row', RowHandler, arguments),
            ('/scan', ScanHandler, arguments),
            ('/stats', StatsHandler, arguments),
            ('/faults', FaultsHandler, arguments),
        ],
        log_function=lambda _handler: None,
    )


class TableServer:
    """HTTP server of the stand-in.

    :param table: table that it serves.
    :param host: IP address to listen on.
    :param port: port to listen on; 0 selects a free one.
    """

    def __init__(
        self, table: MemoryTable, host: str = '127.0.0.1', port: int = 0
    ) -> None:
        self.table = table
        self._server = HTTPServer(make_application(table))
        sockets = bind_sockets(port, host)
        self.host = host
        self.port: int = sockets[0].getsockname()[1]
        self._server.add_sockets(sockets)

    async def close(self) -> None:
        """Stop listening and close the connections."""
        self._server.stop()
        await self._server.close_all_connections()


async def serve(table: MemoryTable, host: str, port: int, ready_file: str) -> None:
    """Serve until SIGTERM or SIGINT.

    :param ready_file: file to which ``host:port`` is written once it listens; none if
        empty.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    async with contextlib.AsyncExitStack() as stack:
        server = TableServer(table, host, port)
        stack.push_async_callback(server.close)
        if ready_file:
            Path(ready_file).write_text(f'{host}:{server.port}', encoding='utf-8')
        await stopped.wait()


def main(
    *,
    host: Annotated[str, typer.Option(help='IP address to listen on.')] = '127.0.0.1',
    port: Annotated[
        int, typer.Option(help='Port to listen on; 0 selects a free one.')
    ] = 0,
    ready_file: Annotated[
        str, typer.Option(help='File that receives host:port once the server listens.')
    ] = '',
    write_ms: Annotated[
        int, typer.Option(help='Duration of a write in ms.')
    ] = WRITE_MS,
    read_ms: Annotated[int, typer.Option(help='Duration of a read in ms.')] = READ_MS,
    writes_per_s: Annotated[
        int, typer.Option(help='Maximum write rate; more writes queue. 0 is unlimited.')
    ] = 0,
) -> None:
    """Serve a stand-in for the platform's table service."""
    table = MemoryTable(write_ms=write_ms, read_ms=read_ms, writes_per_s=writes_per_s)
    asyncio.run(serve(table, host, port, ready_file))


if __name__ == '__main__':
    typer.run(main)
