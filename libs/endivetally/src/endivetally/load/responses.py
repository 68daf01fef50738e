"""Request bodies, and the check that a response is complete and matches its request."""

import enum
from typing import Final

import msgspec
from endivetally_config.operator_config import ServiceKind
from endivetally_core.errors import ExecutionState

from endivetally.load.mix import Arrival

_HTTP_OK: Final = 200


class TaskPayload(msgspec.Struct, frozen=True):
    """Payload of a task for the stand-in of a target.

    :param id: task id, which the target writes to its record file.
    :param echo: text that the target returns in its response.
    :param run_ms: run time of the task, in milliseconds.
    :param subject: what the task is about; empty in generated load.
    """

    id: str
    echo: str
    run_ms: int
    subject: str


class TaskResponseBody(msgspec.Struct, frozen=True):
    """Response of the stand-in of a target to one task."""

    echo: str


class ErrorDetail(msgspec.Struct, frozen=True):
    """Error in a response.

    :param ran: whether the tasks ran.
    """

    code: str
    ran: ExecutionState


class ErrorResponseBody(msgspec.Struct, frozen=True):
    """Body of an error response."""

    error: ErrorDetail


class JobResponseBody(msgspec.Struct, frozen=True):
    """Body of a complete response to a job."""

    results: list[TaskResponseBody]


class Verdict(enum.StrEnum):
    """How a request ended for its caller.

    ``refused`` means that no task ran, according to the error. ``partial`` covers every
    response with status 200 that is not the complete response to this request.
    ``lost`` means that no response came.
    """

    COMPLETE = 'whole'
    FAILED = 'failed'
    REFUSED = 'refused'
    PARTIAL = 'partial'
    LOST = 'lost'


class CheckedResponse(msgspec.Struct, frozen=True):
    """Verdict on a response.

    :param code: error code; empty for a complete response.
    """

    verdict: Verdict
    code: str = ''


def task_ids(arrival: Arrival) -> list[str]:
    """Return the ids of the tasks of a request, in task order."""
    return [f'{arrival.key}/{number}' for number in range(len(arrival.run_ms))]


def request_path(arrival: Arrival) -> str:
    """Return the URL path to which the request is posted."""
    collection = 'jobs' if arrival.kind is ServiceKind.JOB else 'requests'
    return f'/v1/services/{arrival.service}/{collection}'


def request_body(arrival: Arrival) -> bytes:
    """Return the JSON body of the request: all tasks of a job, or the single task."""
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
    """Compare a response with the request.

    :param status: HTTP status code of the response.
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
