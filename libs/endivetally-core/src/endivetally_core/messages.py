"""Messages between endivetally processes and the frame that carries them.

A frame is one MessagePack array: the version of the operators' text that the
sender has in force, then the messages that were ready in one turn of its event
loop. Identifiers and sizes from the network are bounded by the field types.
"""

from typing import Annotated
from typing import Final

import msgspec

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
    """Name of one binding of a task, unique for ever.

    :param owner: incarnation of the entry that owns the request.
    :param sequence: number of the request at that owner.
    :param number: number of the task in the request, from 0.
    :param attempt: number of the binding, from 0; a task that was refused is
        bound again under the next attempt.
    """

    owner: Identifier
    sequence: SequenceNumber
    number: Count
    attempt: Count


class Dispatch(Message, frozen=True, tag='dispatch'):
    """Entry to agent: start a task now or refuse it.

    :param kind: ``idempotent``, ``non-idempotent`` or ``job``.
    :param deadline_ms: milliseconds left at sending.
    :param waiting: tasks of the pool that wait at the sender for a slot.
    :param pool: pool of targets; empty when it is named as the service.
    :param priority: lower numbers start first where dispatches wait.
    :param borrowed: it uses no credit, but a slot that others leave free.
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
        """Name that a target must have announced to run the task."""
        return self.pool or self.service


class Outcome(Message, frozen=True, tag='outcome'):
    """Agent to entry: the end of one binding.

    :param status: ``done``, ``failed`` (it ran), ``refused`` (it did not and
        never will), ``cancelled`` (stopped after its start) or ``unknown``.
    :param reason: code of a refusal or a failure.
    :param run_ms: run time at the target.
    :param credits: start credits granted back to the entry with this message.
    :param slots_claimed_by_others: slots that the tasks of other entries use or
        wait for.
    """

    attempt_id: AttemptId
    status: Identifier
    reason: BoundedText = ''
    body: bytes = b''
    run_ms: float = 0
    credits: Count = 0
    slots_claimed_by_others: Count | None = None


class Cancel(Message, frozen=True, tag='cancel'):
    """Entry to agent: stop these bindings of one request, wherever they are."""

    owner: Identifier
    sequence: SequenceNumber
    numbers: list[Count]


class Demand(Message, frozen=True, tag='demand'):
    """Entry to agent: this many tasks wait for a start credit."""

    service: Identifier
    waiting: Count


class Grant(Message, frozen=True, tag='grant'):
    """Agent to entry: start credits, each good for one dispatch."""

    credits: Count


class Revoke(Message, frozen=True, tag='revoke'):
    """Agent to entry: give back up to this many unused credits."""

    credits: Count


class CreditReturn(Message, frozen=True, tag='credit_return'):
    """Entry to agent: credits given back unused."""

    credits: Count


class AgentState(Message, frozen=True, tag='agent_state'):
    """Agent to entry: heartbeat, and every change of its state.

    :param state: ``open``, ``leaving`` (no new work) or ``closed``.
    :param running: tasks at the target.
    :param memory_mb: the target's resident memory as last reported.
    :param watch: ``ON`` or ``ON_PROBE`` in a heartbeat to an entry that watches.
    """

    state: Identifier
    running: Count
    slots: Count
    memory_mb: Count = 0
    watch: WatchRequest = WatchRequest.NONE


class Acknowledge(Message, frozen=True, tag='acknowledge'):
    """Entry to agent: answers of these requests were delivered or are kept."""

    owner: Identifier
    sequences: list[SequenceNumber]


class Fence(Message, frozen=True, tag='fence'):
    """Entry to agent: refuse every later dispatch of this incarnation."""

    owner: Identifier


class Fenced(Message, frozen=True, tag='fenced'):
    """Agent to entry: the incarnation is refused from now on."""

    owner: Identifier


class Recall(Message, frozen=True, tag='recall'):
    """Entry to agent: report what a fenced incarnation's request did here."""

    recall_id: SequenceNumber
    owner: Identifier
    sequence: SequenceNumber


class Recalled(Message, frozen=True, tag='recalled'):
    """Agent to entry: every binding that was started for a recalled request.

    :param outcomes: finished bindings; a binding that still runs has the
        status ``running`` and is reported by an `Outcome` when it ends.
    """

    recall_id: SequenceNumber
    outcomes: list[Outcome]


class EntryState(Message, frozen=True, tag='entry_state'):
    """Entry to entry and entry to agent: heartbeat.

    :param state: ``open`` or ``leaving``.
    :param usage: task starts a second that callers of each team asked for.
    :param map_version: version of the shard map that the sender knows.
    :param probe: an agent answers with its `AgentState`.
    """

    state: Identifier
    usage: dict[Identifier, float] = {}
    map_version: SequenceNumber = 0
    probe: bool = False


class AgentNews(Message, frozen=True, tag='agent_news'):
    """Entry to entry: agents that stopped taking work or went silent."""

    agents: list[Identifier]


class EntryNews(Message, frozen=True, tag='entry_news'):
    """Entry to agent: entries to keep a link to, as ``host:port``."""

    addresses: list[Identifier]


class Forward(Message, frozen=True, tag='forward'):
    """Entry to entry: handle a caller's request at the owner of its key.

    :param tasks: payload of each task; a single request has one.
    :param cancel: stop the request in place of running it.
    :param former_owner: answer as an owner that has handed the key over: only from
        memory, never with a new run.
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
    """Entry to entry: the whole answer to a forwarded request.

    :param status: HTTP status code.
    :param headers: header names and values.
    """

    forward_id: SequenceNumber
    status: Count
    headers: dict[str, str]
    body: bytes


class TextRequest(Message, frozen=True, tag='text_request'):
    """Any process to any other: send the operators' text that you hold."""


class TextUpdate(Message, frozen=True, tag='text_update'):
    """The operators' text with its version, as canonical JSON."""

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
    """What one send carries between two processes.

    :param version: version of the operators' text in force at the sender.
    """

    version: SequenceNumber
    messages: list[AnyMessage]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as MessagePack."""
    return _encoder.encode(frame)


def decode_frame(encoded: bytes) -> Frame:
    """Decode a frame.

    :raises MalformedMessage: when it does not decode.

    >>> decode_frame(encode_frame(Frame(3, [Grant(2)])))
    Frame(version=3, messages=[Grant(credits=2)])
    """
    if len(encoded) > MAX_FRAME_BYTES:
        raise MalformedMessage(f'frame of {len(encoded)} bytes')
    try:
        return _decoder.decode(encoded)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedMessage(str(error)) from error
