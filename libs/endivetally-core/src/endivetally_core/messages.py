"""Messages between endivetally processes, and the frame that carries them.

A frame is one MessagePack array: the version of the configuration that the
sender currently uses, followed by the messages that became ready in one iteration
of its event loop. The field types limit the identifiers and sizes that arrive from
the network.
"""

from typing import Annotated
from typing import Final

import msgspec

from endivetally_core.decoding import DECODE_ERRORS
from endivetally_core.errors import MalformedMessage
from endivetally_core.wire import Message
from endivetally_core.wire import WatchRequest

MAX_FRAME_BYTES: Final = 64 * 1024 * 1024
MAX_MESSAGES_PER_FRAME: Final = 256
MAX_TASKS_PER_JOB: Final = 1800
MAX_PAYLOAD_BYTES: Final = 1024 * 1024

Identifier = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
BoundedText = Annotated[str, msgspec.Meta(max_length=512)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
SequenceNumber = Annotated[int, msgspec.Meta(ge=0)]


class AttemptId(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one attempt to run a task; never reused.

    :param owner: incarnation of the entry that owns the request.
    :param sequence: sequence number of the request at that owner.
    :param number: index of the task within the request, from 0.
    :param attempt: number of the attempt, from 0; a refused task is dispatched
        again with the next number.
    """

    owner: Identifier
    sequence: SequenceNumber
    number: Count
    attempt: Count


class Dispatch(Message, frozen=True, tag='dispatch'):
    """Entry to agent: start a task now or refuse it.

    :param kind: ``idempotent``, ``non-idempotent`` or ``job``.
    :param deadline_ms: milliseconds left until the deadline at the time of sending.
    :param waiting: tasks of the same pool that wait at the sender for a slot.
    :param pool: pool of targets; empty if it has the name of the service.
    :param priority: dispatches with lower numbers start first when several wait at
        the agent.
    :param borrowed: the dispatch spends no credit, but uses a slot that other
        entries leave free.
    """

    attempt_id: AttemptId
    service: Identifier
    kind: Identifier
    payload: bytes
    deadline_ms: Count
    waiting: Count = 0
    pool: BoundedText = ''
    priority: Count = 0
    borrowed: bool = False

    @property
    def target_pool(self) -> str:
        """Pool that a target must have announced to run the task."""
        return self.pool or self.service


class Outcome(Message, frozen=True, tag='outcome'):
    """Agent to entry: one attempt has ended.

    :param status: ``done``, ``failed`` (it ran), ``refused`` (it did not run and
        never will), ``cancelled`` (stopped after its start) or ``unknown``.
    :param reason: code of the refusal or failure.
    :param run_ms: run time at the target, in milliseconds.
    :param credits: start credits that this message grants to the entry.
    :param slots_claimed_by_others: slots that tasks of other entries use or wait
        for; ``None`` if not reported.
    """

    attempt_id: AttemptId
    status: Identifier
    reason: BoundedText = ''
    body: bytes = b''
    run_ms: float = 0
    credits: Count = 0
    slots_claimed_by_others: Count | None = None


class Cancel(Message, frozen=True, tag='cancel'):
    """Entry to agent: cancel tasks of one request, whether they run yet or not.

    :param numbers: indexes of the tasks within the request; later attempts at these
        tasks are refused too.
    """

    owner: Identifier
    sequence: SequenceNumber
    numbers: list[Count]


class Demand(Message, frozen=True, tag='demand'):
    """Entry to agent: how many tasks wait at the sender for a start credit."""

    service: Identifier
    waiting: Count


class Grant(Message, frozen=True, tag='grant'):
    """Agent to entry: grant start credits; each permits one dispatch."""

    credits: Count


class Revoke(Message, frozen=True, tag='revoke'):
    """Agent to entry: return up to this many unused credits."""

    credits: Count


class CreditReturn(Message, frozen=True, tag='credit_return'):
    """Entry to agent: return unused credits."""

    credits: Count


class AgentState(Message, frozen=True, tag='agent_state'):
    """Agent to entry: heartbeat, also sent after every change of state.

    :param state: ``open``, ``leaving`` (accepts no new work) or ``closed``.
    :param running: number of tasks that the target currently runs.
    :param slots: number of tasks that the target runs concurrently.
    :param memory_mb: resident memory that the target last reported, in megabytes.
    :param watch: ``START`` or ``START_AND_PROBE`` in a heartbeat to an entry that
        watches the agent.
    """

    state: Identifier
    running: Count
    slots: Count
    memory_mb: Count = 0
    watch: WatchRequest = WatchRequest.NONE


class Acknowledge(Message, frozen=True, tag='acknowledge'):
    """Entry to agent: the responses to these requests were delivered or stored.

    The agent may discard the results of these requests first.
    """

    owner: Identifier
    sequences: list[SequenceNumber]


class Fence(Message, frozen=True, tag='fence'):
    """Entry to agent: refuse all further dispatches of this incarnation."""

    owner: Identifier


class Fenced(Message, frozen=True, tag='fenced'):
    """Agent to entry: dispatches of this incarnation are refused from now on."""

    owner: Identifier


class Recall(Message, frozen=True, tag='recall'):
    """Entry to agent: report which tasks a fenced incarnation's request started."""

    recall_id: SequenceNumber
    owner: Identifier
    sequence: SequenceNumber


class Recalled(Message, frozen=True, tag='recalled'):
    """Agent to entry: every attempt that was started for a recalled request.

    :param outcomes: one for each attempt; one that still runs has the status
        ``running``, and a separate `Outcome` follows when it ends.
    """

    recall_id: SequenceNumber
    outcomes: list[Outcome]


class EntryState(Message, frozen=True, tag='entry_state'):
    """Entry to entry and entry to agent: heartbeat.

    :param state: ``open`` or ``leaving``.
    :param usage: task starts per second that callers requested, by team.
    :param map_version: version of the shard map known to the sender.
    :param probe: whether an agent must respond with its `AgentState`.
    :param pools: pools in which the sender has an open target.
    """

    state: Identifier
    usage: dict[Identifier, float] = {}
    map_version: SequenceNumber = 0
    probe: bool = False
    pools: list[Identifier] = []


class AgentNews(Message, frozen=True, tag='agent_news'):
    """Entry to entry: agents that stopped accepting work or sending heartbeats."""

    agents: list[Identifier]


class EntryNews(Message, frozen=True, tag='entry_news'):
    """Entry to agent: addresses of the entries to link to, as ``host:port``."""

    addresses: list[Identifier]


class Forward(Message, frozen=True, tag='forward'):
    """Entry to entry: handle a caller's request as the owner of its key.

    :param tasks: payload of each task; a request that is not a job has one.
    :param cancel: cancel the request instead of running it.
    :param former_owner: the receiver has handed the key over to another entry; it
        responds from memory only and must not run the request anew.
    """

    forward_id: SequenceNumber
    team: Identifier
    service: Identifier
    key: BoundedText
    tasks: list[bytes]
    deadline_ms: Count
    cancel: bool = False
    former_owner: bool = False


class Forwarded(Message, frozen=True, tag='forwarded'):
    """Entry to entry: the complete response to a forwarded request.

    :param status: HTTP status code.
    :param headers: header names and values.
    """

    forward_id: SequenceNumber
    status: Count
    headers: dict[str, str]
    body: bytes


class TextRequest(Message, frozen=True, tag='text_request'):
    """Any process to any other: request the receiver's current configuration."""


class TextUpdate(Message, frozen=True, tag='text_update'):
    """The operators' configuration with its version.

    :param text: canonical JSON.
    """

    version: SequenceNumber
    text: bytes


AnyMessage = (
    Dispatch
    | Outcome
    | Cancel
    | Demand
    | Grant
    | Revoke
    | CreditReturn
    | AgentState
    | Acknowledge
    | Fence
    | Fenced
    | Recall
    | Recalled
    | EntryState
    | AgentNews
    | EntryNews
    | Forward
    | Forwarded
    | TextRequest
    | TextUpdate
)


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """Messages that are sent together between two processes.

    :param version: version of the configuration that the sender currently uses.
    """

    version: SequenceNumber
    messages: list[AnyMessage]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Serialise a frame as MessagePack."""
    return _encoder.encode(frame)


def decode_frame(encoded: bytes) -> Frame:
    """Parse and validate a frame.

    :raises MalformedMessage: when the frame is too large or not valid.

    >>> decode_frame(encode_frame(Frame(3, [Grant(2)])))
    Frame(version=3, messages=[Grant(credits=2)])
    """
    if len(encoded) > MAX_FRAME_BYTES:
        raise MalformedMessage(f'frame of {len(encoded)} bytes is too large')
    try:
        return _decoder.decode(encoded)
    except DECODE_ERRORS as error:
        raise MalformedMessage(str(error)) from error
