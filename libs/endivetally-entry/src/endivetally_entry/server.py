"""HTTP server of an entry, and its responses to incomplete requests."""

from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import Final

from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError
from endivetally_http import BoundedServer
from endivetally_http import ClientUsage
from endivetally_http import LibraryRefusalLog
from endivetally_http import Refusal
from endivetally_policy.clients import ProcessLimits

from endivetally_entry.requests import error_response
from endivetally_entry.routes import make_application

if TYPE_CHECKING:
    from endivetally_entry.entry import Entry

BYTES_PER_MB: Final = 1024 * 1024
# Incomplete requests have an eighth of the memory, for two of the longest at least.
MIN_MEMORY_BODIES: Final = 16
# Longest body of operators and of other entries, whatever callers may send.
MIN_BODY_BYTES: Final = BYTES_PER_MB
_KINDS: Final[Mapping[Refusal, ErrorKind]] = {
    Refusal.BODY_TOO_LARGE: ErrorKind.BODY_TOO_LARGE,
    Refusal.BODY_IN_SMALL_PARTS: ErrorKind.MALFORMED_REQUEST,
    Refusal.TOO_SLOW: ErrorKind.MALFORMED_REQUEST,
}


def create_server(entry: 'Entry') -> BoundedServer:
    """Return the server for callers, operators and other entries."""
    settings = entry.settings
    max_body_bytes = max(settings.max_body_bytes, MIN_BODY_BYTES)
    bodies_mb = max_body_bytes * MIN_MEMORY_BODIES / BYTES_PER_MB
    limits = ProcessLimits(max(settings.memory_mb, bodies_mb), settings.max_descriptors)
    return BoundedServer(
        make_application(entry),
        'callers',
        limits.caller_server(max_body_bytes),
        ClientUsage(limits, LibraryRefusalLog()),
        _encode_body,
    )


def _encode_body(refusal: Refusal) -> bytes:
    """Return the error of the API for a refused request, as JSON."""
    kind = _KINDS.get(refusal, ErrorKind.OVERLOADED)
    return error_response(RequestError(kind, refusal.value)).body
