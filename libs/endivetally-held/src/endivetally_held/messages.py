"""Messages between entries and agents on the held path."""

from typing import Annotated
from typing import Final

import msgspec
from endivetally_core.errors import MalformedMessage
from endivetally_core.messages import Identifier
from endivetally_core.wire import Message
from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd

from endivetally_held.jobs import TaskKey

MAX_BATCH_BYTES: Final = 4 * 1024 * 1024

Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Milliseconds = Annotated[int, msgspec.Meta(ge=-10_000_000, le=10_000_000)]


class EntryHello(Message, frozen=True, tag='hello'):
    """Entry to agent: first message of a link."""

    entry: Identifier
    data_centre: Identifier


class AgentHello(Message, frozen=True, tag='welcome'):
    """Agent to entry: first message of a link."""

    agent: Identifier
    data_centre: Identifier


class RunRequest(msgspec.Struct, frozen=True, array_like=True):
    """One task to run.

    :param run: number of the attempt.
    """

    task: TaskKey
    run: Count


class StartRuns(Message, frozen=True, tag='start'):
    """Entry to agent: run tasks of one job that need the same room.

    :param sequence: number of the message on its link.
    :param expected_ms: run time on a sound target.
    :param start_within_ms: a later start is too late for the objective; lower
        values start first.
    :param give_up_ms: a later start is refused.
    """

    sequence: Count
    orders: list[RunRequest]
    payload: str
    need: Resources
    expected_ms: Count
    start_within_ms: Milliseconds
    give_up_ms: Milliseconds


class StopRuns(Message, frozen=True, tag='stop'):
    """Entry to agent: stop these tasks wherever they are."""

    tasks: list[TaskKey]


class RunEnded(Message, frozen=True, tag='ended'):
    """Agent to entry: the end of one attempt.

    :param run_ms: time at the target.
    """

    task: TaskKey
    run: Count
    end: RunEnd
    run_ms: Count = 0


class TargetState(Message, frozen=True, tag='state'):
    """Agent to entry: heartbeat and every change of its target.

    :param pool: pool of the target; empty without one.
    :param handled: sequence of the newest `StartRuns` that the figures include.
    :param backlog_cpu: thousandths of cores for tasks that wait here.
    :param entries: entries that are linked.
    """

    pool: str
    accepting: bool
    capacity: Resources
    free: Resources
    backlog_cpu: Count
    pace: float
    handled: Count
    entries: Count


class Alive(Message, frozen=True, tag='alive'):
    """Entry to agent: heartbeat."""


AnyHeldMessage = (
    EntryHello | AgentHello | StartRuns | StopRuns | RunEnded | TargetState | Alive
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[AnyHeldMessage])


def encode_batch(batch: list[AnyHeldMessage]) -> bytes:
    """Encode messages that leave together."""
    return _encoder.encode(batch)


def decode_batch(encoded: bytes) -> list[AnyHeldMessage]:
    """Decode messages that left together.

    :raises MalformedMessage: when they do not decode.

    >>> decode_batch(encode_batch([Alive()]))
    [Alive()]
    """
    try:
        return _decoder.decode(encoded)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessage(str(error)) from error
