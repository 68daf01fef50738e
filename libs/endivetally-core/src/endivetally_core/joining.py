"""Bodies of the HTTP calls by which processes introduce themselves.

A joining process posts a `JoinRequest` to ``/internal/join`` of an entry. The
entry opens a link listener for it and answers with its address.
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
    """Where the HTTP server of a process listens."""

    host: str
    port: Port

    def __str__(self) -> str:
        """Host and port joined for a URL."""
        return f'{self.host}:{self.port}'

    @classmethod
    def parse(cls, text: str) -> Self:
        """Read ``host:port``.

        :raises MalformedMessage: when it is none.

        >>> Address.parse('10.0.0.1:80')
        Address(host='10.0.0.1', port=80)
        """
        host, _, port = text.rpartition(':')
        try:
            return msgspec.convert({'host': host, 'port': port}, cls, strict=False)
        except msgspec.ValidationError as error:
            raise MalformedMessage(text) from error


class EntryIdentity(msgspec.Struct, frozen=True):
    """An entry as its peers know it.

    :param incarnation: unique for each start of the process.
    """

    name: Identifier
    incarnation: Identifier
    data_centre: Identifier
    address: Address


class AgentIdentity(msgspec.Struct, frozen=True):
    """An agent and the target it stands beside.

    :param service: pool that the target announces.
    :param slots: tasks that the target runs at once.
    :param connections: connections that the target accepts.
    :param memory_mb: memory of the worker.
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
    """Introduction of a process; exactly one identity is set."""

    agent: AgentIdentity | None = None
    entry: EntryIdentity | None = None


class JoinResponse(msgspec.Struct, frozen=True):
    """What an entry answers to an introduction.

    :param link: address to dial, as ``tcp://host:port``.
    :param entry: the answering entry.
    :param entries: all entries it knows, itself included.
    :param fenced: incarnations of entries that are fenced.
    """

    link: str
    entry: EntryIdentity
    entries: list[EntryIdentity]
    fenced: list[Identifier]


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a target posts to its agent's ``/announce`` at least every second.

    :param service: pool that the target belongs to; one service's own name
        unless the operators' text lets services share a pool.
    :param port: loopback port of the target's HTTP server.
    :param leaving: the target takes no new work.
    :param memory_mb: memory of the worker; ``used_memory_mb`` is in use.
    """

    service: Identifier
    port: Port
    slots: Slots
    connections: Connections
    memory_mb: Megabytes
    used_memory_mb: Megabytes = 0
    leaving: bool = False
