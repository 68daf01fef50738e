"""Bodies of the HTTP requests with which processes join a deployment.

A joining process posts a `JoinRequest` to ``/internal/join`` of an entry. The
entry opens a link listener for it and responds with the listener's address.
"""

from typing import Annotated
from typing import Self

import msgspec

from endivetally_core.errors import MalformedMessage
from endivetally_core.messages import Identifier

Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Slots = Annotated[int, msgspec.Meta(ge=0, le=10_000)]
Connections = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Megabytes = Annotated[int, msgspec.Meta(ge=0, le=16_000_000)]


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address on which the HTTP server of a process listens."""

    host: str
    port: Port

    def __str__(self) -> str:
        """Return ``host:port``, as it appears in a URL."""
        return f'{self.host}:{self.port}'

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse ``host:port``.

        :raises MalformedMessage: when the text has another format or the port is out
            of range.

        >>> Address.parse('10.0.0.1:80')
        Address(host='10.0.0.1', port=80)
        """
        host, _, port = text.rpartition(':')
        try:
            return msgspec.convert({'host': host, 'port': port}, cls, strict=False)
        except msgspec.ValidationError as error:
            raise MalformedMessage(f'{text!r} is not a host:port address') from error


class EntryIdentity(msgspec.Struct, frozen=True):
    """Identity that an entry presents to its peers.

    :param incarnation: unique name of this run of the process.
    :param address: address of its HTTP server.
    """

    name: Identifier
    incarnation: Identifier
    data_centre: Identifier
    address: Address


class AgentIdentity(msgspec.Struct, frozen=True):
    """Identity of an agent and properties of the target on the same worker.

    :param incarnation: unique name of this run of the process.
    :param service: pool that the target announced.
    :param slots: number of tasks that the target runs concurrently.
    :param connections: number of connections that the target accepts.
    :param memory_mb: memory of the worker, in megabytes.
    """

    name: Identifier
    incarnation: Identifier
    data_centre: Identifier
    rack: Identifier
    service: Identifier
    slots: Slots
    connections: Connections
    memory_mb: Megabytes


class JoinRequest(msgspec.Struct, frozen=True):
    """Identity of the process that joins; exactly one of the fields is set."""

    agent: AgentIdentity | None = None
    entry: EntryIdentity | None = None


class JoinResponse(msgspec.Struct, frozen=True):
    """Response of an entry to a join request.

    :param link: address of the link listener, as ``tcp://host:port``.
    :param entry: the responding entry.
    :param entries: all entries that it knows, including itself.
    :param fenced: incarnations of the entries that are fenced.
    """

    link: str
    entry: EntryIdentity
    entries: list[EntryIdentity]
    fenced: list[Identifier]


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State that a target posts to ``/announce`` of its agent at least every second.

    :param service: pool that the target belongs to; the name of its service
        unless the configuration lets several services share a pool.
    :param port: loopback port of the target's HTTP server.
    :param slots: number of tasks that the target runs concurrently.
    :param connections: number of connections that the target accepts.
    :param memory_mb: memory of the worker, in megabytes.
    :param used_memory_mb: part of this memory that is in use, in megabytes.
    :param leaving: the target accepts no new work.
    """

    service: Identifier
    port: Port
    slots: Slots
    connections: Connections
    memory_mb: Megabytes
    used_memory_mb: Megabytes = 0
    leaving: bool = False
