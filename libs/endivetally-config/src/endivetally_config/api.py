"""Bodies and headers of the operators' HTTP calls on ``/v1/text``."""

from typing import Final

import msgspec

from endivetally_config.store import ConfigChange

# Names the person or pipeline behind a submission, for the history.
SUBMITTER_HEADER: Final = 'X-Submitter'


class SubmitResponse(msgspec.Struct, frozen=True):
    """Answer of ``PUT /v1/text``: the version that is in force from now on."""

    version: int


class ConfigHistory(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/text/history``, oldest change first."""

    changes: list[ConfigChange]
