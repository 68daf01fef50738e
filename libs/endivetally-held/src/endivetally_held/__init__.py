"""Jobs that an entry holds in memory and answers when their last task has ended.

A held job is not stored: its caller waits on an open connection, and the job is lost
with the entry.
"""

from endivetally_held.agent import HeldAgent
from endivetally_held.entry import HeldEntry
from endivetally_held.jobs import HeldJob
from endivetally_held.jobs import JobResponse
from endivetally_held.jobs import JobResult
from endivetally_held.jobs import Step
from endivetally_held.jobs import TaskKey

__all__ = (
    'HeldAgent',
    'HeldEntry',
    'HeldJob',
    'JobResponse',
    'JobResult',
    'Step',
    'TaskKey',
)
