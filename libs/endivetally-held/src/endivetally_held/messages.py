"""Messages between entries and agents about held jobs."""

from typing import Annotated
from typing import Final

import msgspec
from endivetally_core.decoding import DECODE_ERRORS
from endivetally_core.errors import MalformedMessage
from endivetally_core.messages import Identifier
from endivetally_core.messages import SequenceNumber
from endivetally_core.wire import Message
from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd

from endivetally_held.crash_state import CrashState
from endivetally_held.jobs import TaskKey

MAX_BATCH_BYTES: Final = 4 * 1024 * 1024

MAX_COUNT: Final = 1_000_000
MAX_MILLISECONDS: Final = 10_000_000

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Version = Annotated[int, msgspec.Meta(ge=0)]
# Rates are learned within these bounds, and multiplied by that of a cold target.
MIN_RATE: Final = 0.01
MAX_RATE: Final = 1000.0
Rate = Annotated[float, msgspec.Meta(ge=MIN_RATE, le=MAX_RATE)]
Kind = Annotated[str, msgspec.Meta(max_length=64)]
Milliseconds = Annotated[int, msgspec.Meta(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)]


class EntryHello(Message, frozen=True, tag='hello'):
    """Entry to agent: first message on a connection."""

    entry: Identifier
    data_centre: Identifier


class AgentHello(Message, frozen=True, tag='welcome'):
    """Agent to entry: first message on a connection."""

    agent: Identifier
    data_centre: Identifier


class RunRequest(msgspec.Struct, frozen=True, array_like=True):
    """One task to run.

    :param run_number: number of the run, counted from 1 for each task.
    """

    task: TaskKey
    run_number: Count


class StartRuns(Message, frozen=True, tag='start'):
    """Entry to agent: run tasks of one job that need the same resources.

    :param sequence: number of the message on its connection.
    :param expected_run_ms: run time to expect on a healthy target of rate 1.
    :param latest_start_in_ms: time left until a start is too late for the job's
        response time objective; runs with lower values start first.
    :param expires_in_ms: time left until the agent must refuse to start the runs.
    :param rank: rank of the job where services of different priorities compete;
        otherwise 0 for all jobs.
    :param started: whether a task of the job has started before; only set where
        services compete.
    :param rate: rate by which stalls and slow runs are judged: that of the target's
        kind, so that a target that becomes slow is not excused by its own rate.
    :param service: name of the service of the job.
    :param suspect: whether the runs may crash the target, so that it starts them apart
        from each other.
    """

    sequence: SequenceNumber
    runs: list[RunRequest]
    payload: str
    need: Resources
    expected_run_ms: Count
    latest_start_in_ms: Milliseconds
    expires_in_ms: Milliseconds
    rank: float = 0
    started: bool = False
    rate: Rate = 1.0
    service: str = ''
    suspect: bool = False


class StopRuns(Message, frozen=True, tag='stop'):
    """Entry to agent: stop the runs of these tasks, whether they wait or run."""

    tasks: list[TaskKey]


class RunEnded(Message, frozen=True, tag='ended'):
    """Agent to entry: a run has ended.

    :param run_ms: time from the start command to the end; 0 unless the target
        reported the end.
    """

    task: TaskKey
    run_number: Count
    end: RunEnd
    run_ms: Count = 0


class TargetState(Message, frozen=True, tag='state'):
    """Agent to entry: heartbeat, also sent after every change of the target.

    :param pool: pool of the target; empty while the agent has no target.
    :param backlog_cpu: thousandths of a core for tasks that wait at the agent.
    :param slowdown: recent run times relative to the expected ones.
    :param handled_sequence: sequence of the newest `StartRuns` that the figures
        include.
    :param entry_count: number of entries that are connected to the agent.
    :param rate: run times relative to those on a target of rate 1.
    :param rate_runs: number of runs that the rate is based on.
    :param kind: kind of the target; empty if its reports don't name a usable one.
    :param cold: whether the target is slow because it has just started.
    """

    pool: str
    accepting: bool
    capacity: Resources
    free: Resources
    backlog_cpu: Count
    slowdown: float
    handled_sequence: SequenceNumber
    entry_count: Count
    rate: Rate = 1.0
    rate_runs: Count = 0
    kind: Kind = ''
    cold: bool = False


class CrashedRunRow(msgspec.Struct, frozen=True, array_like=True):
    """A run that was active when its target crashed.

    :param age_ms: time from the start command to the crash.
    :param observed: whether the target had accepted or listed the run.
    """

    task: TaskKey
    run_number: Count
    service: str
    age_ms: Count
    observed: bool


class TargetCrashed(Message, frozen=True, tag='crash'):
    """Agent to all entries: a crash of its target, sent again when its state changes.

    An entry that connects later gets the crashes of the last minutes.

    :param number: identifies the crash at this agent.
    :param pool: pool of the target.
    :param crashed_ms_ago: time since the crash.
    """

    number: SequenceNumber
    pool: str
    state: CrashState
    crashed_ms_ago: Count
    runs: list[CrashedRunRow]


class Evacuations(Message, frozen=True, tag='evacuations'):
    """Entry to agent: the emptied data centres, right after the hello and when changed.

    :param version: version of the store at which these data centres were emptied.
    :param reaches_store: whether the entry follows the store at the moment.
    """

    version: Version
    data_centres: list[Identifier]
    reaches_store: bool


class Alive(Message, frozen=True, tag='alive'):
    """Entry to agent: heartbeat."""


AnyHeldMessage = (
    EntryHello
    | AgentHello
    | StartRuns
    | StopRuns
    | RunEnded
    | TargetState
    | TargetCrashed
    | Evacuations
    | Alive
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[AnyHeldMessage])


def encode_batch(batch: list[AnyHeldMessage]) -> bytes:
    """Encode messages that are sent together."""
    return _encoder.encode(batch)


def decode_batch(encoded: bytes) -> list[AnyHeldMessage]:
    """Decode messages that were sent together.

    :raises MalformedMessage: when the bytes are not a batch of known messages.

    >>> decode_batch(encode_batch([Alive()]))
    [Alive()]
    """
    try:
        return _decoder.decode(encoded)
    except DECODE_ERRORS as error:
        raise MalformedMessage(str(error)) from error
