"""Limits on what clients can hold of a process, and which of them lose it first."""

from endivetally_policy.clients.incomplete import IncompleteRequests
from endivetally_policy.clients.limits import CONNECTION_BYTES
from endivetally_policy.clients.limits import HEADER_BYTES
from endivetally_policy.clients.limits import ProcessLimits
from endivetally_policy.clients.limits import ServerLimits
from endivetally_policy.clients.open_tasks import OpenTaskLimit
from endivetally_policy.clients.order import EvictionOrder

__all__ = (
    'CONNECTION_BYTES',
    'HEADER_BYTES',
    'EvictionOrder',
    'IncompleteRequests',
    'OpenTaskLimit',
    'ProcessLimits',
    'ServerLimits',
)
