"""Errors that no code expects, in work that must go on after them."""

import traceback
from collections.abc import Callable
from typing import Final

from endivetally_core.events import Event
from endivetally_core.events import EventLog

# Frames of the traceback that are logged, the innermost ones.
TRACE_FRAMES: Final = 4


def report_unexpected_error(events: EventLog, error: BaseException) -> None:
    """Log an error that no code expects, with the place where it was raised."""
    frames = traceback.extract_tb(error.__traceback__)[-TRACE_FRAMES:]
    trace = [f'{frame.filename}:{frame.lineno} {frame.name}' for frame in frames]
    events.emit(Event.UNEXPECTED_ERROR, error=repr(error), trace=trace)


def run_guarded(events: EventLog, *steps: Callable[[], object]) -> None:
    """Run the steps of periodic work; an error of one is logged and ends no other."""
    for step in steps:
        try:
            step()
        except Exception as error:
            report_unexpected_error(events, error)
