"""Runs a case: its exit code is 1 if the rule was broken, 0 if it held, else 2."""

import asyncio
import os
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path

from fleet import Fleet
from fleet import Record
from fleet import write_verdict

# Whether the disruption takes place.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
LONGEST_S = 110


class CouldNotRun(Exception):
    """The case could not run."""


def run_case(play: Callable[[Fleet, Record], Awaitable[list[str]]]) -> None:
    """Play a case and exit; the record is written beside the script.

    :param play: returns what broke the rule.
    """
    record = Record(Path(sys.argv[0]).resolve().parent / 'record.txt')
    code = 2
    try:
        code = write_verdict(record, asyncio.run(_play(play, record)))
    except CouldNotRun as error:
        record('could not run', reason=error)
    except Exception as error:
        record('could not run', reason=repr(error))
    finally:
        record.close()
    sys.exit(code)


async def _play(
    play: Callable[[Fleet, Record], Awaitable[list[str]]], record: Record
) -> list[str]:
    async with asyncio.timeout(LONGEST_S), Fleet(record) as fleet:
        return await play(fleet, record)
