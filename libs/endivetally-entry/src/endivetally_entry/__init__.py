"""The entry daemon, which accepts the requests of callers and operators.

Each entry runs idempotent requests itself. A request with an idempotency key runs
at the entry that owns the key.
"""

import asyncio
from typing import TYPE_CHECKING

from endivetally_core.logs import configure_logging

from endivetally_entry.entry import Entry
from endivetally_entry.lifecycle import Lifecycle
from endivetally_entry.lifecycle import run_lifecycle

if TYPE_CHECKING:
    from endivetally_config.settings import EntrySettings

__all__ = ('Entry', 'Lifecycle', 'run_entry')


def run_entry(settings: 'EntrySettings') -> int:
    """Run an entry until it is stopped.

    :returns: exit code of the process.
    """
    configure_logging(settings.name, settings.log_level)
    return asyncio.run(run_lifecycle(settings))
