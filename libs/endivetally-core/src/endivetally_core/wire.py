"""Base class of the messages, and the requests to watch an agent's heartbeats."""

from enum import StrEnum

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag_field='type'):
    """Base class of all messages; the tag of each subclass identifies it."""


class WatchRequest(StrEnum):
    """What an agent asks of the entry that receives its state.

    ``START`` and ``START_AND_PROBE`` make the entry watch for further heartbeats
    of the agent, ``STOP`` ends this, and ``NONE`` changes nothing. The entry
    responds to ``START_AND_PROBE`` and ``PROBE`` with an `EntryState`.
    """

    NONE = ''
    START = 'on'
    START_AND_PROBE = 'on_probe'
    STOP = 'off'
    PROBE = 'probe'
