"""Header and response bodies of the operators' HTTP API under ``/v1/text``."""

from typing import Final

import msgspec

from endivetally_config.store import ConfigChange

# Identifies the person or pipeline that submits a change, for the history.
SUBMITTER_HEADER: Final = 'X-Submitter'


class SubmitResponse(msgspec.Struct, frozen=True):
    """Response of ``PUT /v1/text``: the version that is in force from now on."""

    version: int


class ConfigHistory(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/text/history``: the changes, oldest first."""

    changes: list[ConfigChange]
