"""Bodies and headers of the operators' HTTP calls on ``/v1/text``."""

from typing import Final

import msgspec

from endivetally_config.store import TextChange

# Names the person or pipeline behind a submission, for the history.
SUBMITTER_HEADER: Final = 'X-Submitter'


class TextAccepted(msgspec.Struct, frozen=True):
    """Answer of ``PUT /v1/text``: the version that is in force from now on."""

    version: int


class TextHistory(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/text/history``, oldest change first."""

    changes: list[TextChange]
