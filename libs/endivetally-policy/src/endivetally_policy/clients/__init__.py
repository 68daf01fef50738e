"""Limits on what clients can hold of a process, and which of them lose it first."""

from endivetally_policy.clients.limits import ProcessLimits
from endivetally_policy.clients.limits import ServerLimits

__all__ = (
    'ProcessLimits',
    'ServerLimits',
)
