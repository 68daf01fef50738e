"""What an entry tells operators about itself: the answer of ``/v1/status``."""

import msgspec

from endivetally_core.joining import EntryIdentity


class AgentStatus(msgspec.Struct, frozen=True):
    """An agent with its target as one entry sees it.

    :param state: ``open``, ``leaving`` or ``closed``.
    :param running: tasks at the target, by its last heartbeat.
    :param credits: start credits that the entry holds.
    :param admitted: new work may be sent there.
    :param ejected: left out because its tasks fail.
    """

    name: str
    incarnation: str
    service: str
    data_centre: str
    rack: str
    state: str
    running: int
    slots: int
    credits: int
    admitted: bool
    ejected: bool


class EntryStatus(msgspec.Struct, frozen=True):
    """One entry with what it sees of the others.

    :param state: ``open``, ``leaving`` or why it is not ready.
    :param version: version of the operators' text in force.
    :param entries: the entries that it knows, itself included.
    :param in_progress: requests and bindings without an end.
    :param platform_available: whether the table service answers.
    """

    entry: EntryIdentity
    state: str
    version: int
    agents: list[AgentStatus]
    entries: list[EntryIdentity]
    in_progress: int
    platform_available: bool
