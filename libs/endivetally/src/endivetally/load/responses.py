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


class TaskResponseBody(msgspec.Struct, frozen=True):
    """What the stand-in of a target answers."""

    echo: str


class ErrorDetail(msgspec.Struct, frozen=True):
    """Error of an answer."""

    code: str
    ran: ExecutionState


class ErrorResponseBody(msgspec.Struct, frozen=True):
    """Body of an answer that is not whole."""

    error: ErrorDetail


class JobResponseBody(msgspec.Struct, frozen=True):
    """Body of a whole answer to a job."""

    results: list[TaskResponseBody]


class Verdict(enum.StrEnum):
    """How a request ended for its caller.

    ``partial`` covers every answer with status 200 that is not the whole
    answer to this request, ``lost`` a request that was never answered.
    """

    COMPLETE = 'whole'
    FAILED = 'failed'
    REFUSED = 'refused'
    PARTIAL = 'partial'
    LOST = 'lost'


class CheckedResponse(msgspec.Struct, frozen=True):
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


def check_response(arrival: Arrival, status: int, body: bytes) -> CheckedResponse:
    """Return the verdict on the answer that a caller received.

    :param status: HTTP status code.
    """
    if status != _HTTP_OK:
        return _check_error(status, body)
    try:
        echoes = _decode_echoes(arrival, body)
    except msgspec.DecodeError:
        return CheckedResponse(Verdict.PARTIAL, 'undecodable')
    if [each.echo for each in echoes] == task_ids(arrival):
        return CheckedResponse(Verdict.COMPLETE)
    return CheckedResponse(Verdict.PARTIAL, 'other_ids')


def _check_error(status: int, body: bytes) -> CheckedResponse:
    try:
        error = msgspec.json.decode(body, type=ErrorResponseBody).error
    except msgspec.DecodeError:
        return CheckedResponse(Verdict.FAILED, f'http_{status}')
    refused = error.ran is ExecutionState.NOT_RUN
    return CheckedResponse(Verdict.REFUSED if refused else Verdict.FAILED, error.code)


def _decode_echoes(arrival: Arrival, body: bytes) -> list[TaskResponseBody]:
    if arrival.kind is ServiceKind.JOB:
        return msgspec.json.decode(body, type=JobResponseBody).results
    return [msgspec.json.decode(body, type=TaskResponseBody)]
