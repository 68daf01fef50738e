"""HTTP server that bounds what clients can hold of a process, on tornado's."""

from endivetally_http.refusals import EventRefusalLog
from endivetally_http.refusals import LibraryRefusalLog
from endivetally_http.refusals import Refusal
from endivetally_http.refusals import RefusalLog
from endivetally_http.server import BoundedServer
from endivetally_http.usage import ClientUsage

__all__ = (
    'BoundedServer',
    'ClientUsage',
    'EventRefusalLog',
    'LibraryRefusalLog',
    'Refusal',
    'RefusalLog',
)
