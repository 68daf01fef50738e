"""Base of the messages, and the enumerations that they use."""

from enum import StrEnum

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag_field='type'):
    """Base of all messages; a frozen structure with one tag for each class."""


class WatchRequest(StrEnum):
    """What a state says about who watches the agent.

    An entry answers ``START_AND_PROBE`` and ``PROBE`` with an `EntryState`.
    """

    NONE = ''
    START = 'on'
    START_AND_PROBE = 'on_probe'
    STOP = 'off'
    PROBE = 'probe'
