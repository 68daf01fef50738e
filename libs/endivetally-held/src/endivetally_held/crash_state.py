"""How certain a crash of a target is."""

import enum


class CrashState(enum.StrEnum):
    """How certain it is that a target has crashed.

    ``SUSPECTED``: it refuses connections right after it has answered.
    ``CONFIRMED``: another instance has taken its place, and it had not announced its
    end. ``DISMISSED``: the same instance has answered again.
    """

    SUSPECTED = 'suspected'
    CONFIRMED = 'confirmed'
    DISMISSED = 'dismissed'
