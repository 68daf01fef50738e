"""Accepts connections on listening sockets, also when descriptors run out."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any
from typing import Final

# Connections that are accepted before other work is done.
ACCEPT_BATCH: Final = 64
# Delay after an error of a listening socket before it is used again.
ACCEPT_RETRY_S: Final = 0.2


class Listener:
    """Hands over the connections of listening sockets, which it owns.

    :param serve: takes a connection and the address of its peer.
    :param report_failure: called when a connection can't be accepted, usually because
        the process has no descriptor left. The connection stays in the backlog, and the
        socket is used again after a delay.
    """

    def __init__(
        self,
        serve: Callable[[socket.socket, tuple[Any, ...]], None],
        report_failure: Callable[[], None],
    ) -> None:
        self._serve = serve
        self._report_failure = report_failure
        self._sockets: list[socket.socket] = []

    @property
    def ports(self) -> list[int]:
        """Ports of the sockets."""
        return [each.getsockname()[1] for each in self._sockets]

    def add(self, listening: socket.socket) -> None:
        """Accept connections on a non-blocking listening socket."""
        self._sockets.append(listening)
        self._resume(listening)

    def close(self) -> None:
        """Accept the connections that wait in the backlogs, then stop listening."""
        for listening in self._sockets:
            self._accept_waiting(listening)
            asyncio.get_running_loop().remove_reader(listening)
            listening.close()
        self._sockets.clear()

    def _resume(self, listening: socket.socket) -> None:
        if listening in self._sockets:
            loop = asyncio.get_running_loop()
            loop.add_reader(listening, self._accept_batch, listening)

    def _accept_batch(self, listening: socket.socket) -> None:
        try:
            for _ in range(ACCEPT_BATCH):
                if not self._accept(listening):
                    return
        except OSError:
            # The socket stays readable, so that it would be tried without a pause.
            loop = asyncio.get_running_loop()
            loop.remove_reader(listening)
            loop.call_later(ACCEPT_RETRY_S, self._resume, listening)
            self._report_failure()

    def _accept_waiting(self, listening: socket.socket) -> None:
        may_have_more = True
        while may_have_more:
            try:
                may_have_more = self._accept(listening)
            except OSError:
                self._report_failure()
                return

    def _accept(self, listening: socket.socket) -> bool:
        """Accept a connection; return whether there may be more.

        :raises OSError: when the process has no descriptor left.
        """
        try:
            connection, address = listening.accept()
        except BlockingIOError:
            return False
        except ConnectionAbortedError:
            return True
        connection.setblocking(False)
        self._serve(connection, address)
        return True
