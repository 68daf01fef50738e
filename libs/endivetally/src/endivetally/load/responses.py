"""Payloads of tasks, and the check that an answer is whole and the caller's own."""

import enum
from typing import Final

import msgspec
from endivetally_config.operator_config import ServiceKind
from endivetally_core.errors import ExecutionState

from endivetally.load.mix import Arrival

_HTTP_OK: Final = 200


class TaskPayload(msgspec.Struct, frozen=True):
    """Payload of a task for the stand-in of a target.

    :param id: in the target's record of the start.
    :param echo: in the answer.
    """

    id: str
    echo: str
    run_ms: int
    subject: str


class TaskEcho(msgspec.Struct, frozen=True):
    """What the stand-in of a target answers."""

    echo: str


class ErrorBody(msgspec.Struct, frozen=True):
    """Error of an answer."""

    code: str
    ran: ExecutionState


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Body of an answer that is not whole."""

    error: ErrorBody


class JobAnswer(msgspec.Struct, frozen=True):
    """Body of a whole answer to a job."""

    results: list[TaskEcho]


class Verdict(enum.StrEnum):
    """How a request ended for its caller.

    ``partial`` covers every answer with status 200 that is not the whole
    answer to this request, ``lost`` a request that was never answered.
    """

    WHOLE = 'whole'
    FAILED = 'failed'
    REFUSED = 'refused'
    PARTIAL = 'partial'
    LOST = 'lost'


class CheckedAnswer(msgspec.Struct, frozen=True):
    """Verdict on an answer, and the error's code if it has one."""

    verdict: Verdict
    code: str = ''


def task_ids(arrival: Arrival) -> list[str]:
    """Return the ids of the tasks of a request, in their order."""
    return [f'{arrival.key}/{number}' for number in range(len(arrival.run_ms))]


def request_path(arrival: Arrival) -> str:
    """Return the path to which a request is posted."""
    collection = 'jobs' if arrival.kind is ServiceKind.JOB else 'requests'
    return f'/v1/services/{arrival.service}/{collection}'


def request_body(arrival: Arrival) -> bytes:
    """Return the body of a request."""
    subjects = arrival.subjects or ['' for _ in arrival.run_ms]
    ids = task_ids(arrival)
    payloads = [
        TaskPayload(*fields)
        for fields in zip(ids, ids, arrival.run_ms, subjects, strict=True)
    ]
    if arrival.kind is ServiceKind.JOB:
        return msgspec.json.encode({'tasks': payloads})
    return msgspec.json.encode(payloads[0])


def check_answer(arrival: Arrival, status: int, body: bytes) -> CheckedAnswer:
    """Return the verdict on the answer that a caller received.

    :param status: HTTP status code.
    """
    if status != _HTTP_OK:
        return _check_error(status, body)
    try:
        echoes = _decode_echoes(arrival, body)
    except msgspec.DecodeError:
        return CheckedAnswer(Verdict.PARTIAL, 'undecodable')
    if [each.echo for each in echoes] == task_ids(arrival):
        return CheckedAnswer(Verdict.WHOLE)
    return CheckedAnswer(Verdict.PARTIAL, 'other_ids')


def _check_error(status: int, body: bytes) -> CheckedAnswer:
    try:
        error = msgspec.json.decode(body, type=ErrorAnswer).error
    except msgspec.DecodeError:
        return CheckedAnswer(Verdict.FAILED, f'http_{status}')
    refused = error.ran is ExecutionState.NOT_RUN
    return CheckedAnswer(Verdict.REFUSED if refused else Verdict.FAILED, error.code)


def _decode_echoes(arrival: Arrival, body: bytes) -> list[TaskEcho]:
    if arrival.kind is ServiceKind.JOB:
        return msgspec.json.decode(body, type=JobAnswer).results
    return [msgspec.json.decode(body, type=TaskEcho)]
