"""Errors of decoders that read what other processes or callers have written."""

from typing import Final

import msgspec

# Values that are nested too deeply raise RecursionError, which is no DecodeError.
DECODE_ERRORS: Final = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
