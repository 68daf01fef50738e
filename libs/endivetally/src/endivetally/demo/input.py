"""Reads the requests of the demonstration from JSON Lines files."""

from pathlib import Path
from typing import Final

import msgspec
from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import Service
from endivetally_core.errors import EndivetallyError

from endivetally.load.mix import Arrival

# Time over which the requests of each service are spread.
DEMO_DURATION_S: Final = 8


class DemoInputError(EndivetallyError):
    """An input file cannot be read or has an invalid line."""


class DemoTask(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One task of a request.

    :param subject: what the task is about.
    :param run_ms: run time on an idle worker, in milliseconds.
    """

    subject: str
    run_ms: int


class DemoRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One line of an input file.

    :param key: idempotency key, unique among the requests of all files.
    """

    key: str
    tasks: list[DemoTask]


def read_arrivals(directory: Path, config: OperatorConfig) -> list[Arrival]:
    """Read ``<service>.jsonl`` of each service and spread its lines evenly over time.

    :raises DemoInputError: if a file cannot be read or is invalid.
    """
    arrivals: list[Arrival] = []
    for service in config.services:
        requests = _read_requests(directory / f'{service.name}.jsonl')
        for number, request in enumerate(requests):
            at_s = DEMO_DURATION_S * number / len(requests)
            arrivals.append(_build_arrival(request, service, at_s))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _read_requests(file: Path) -> list[DemoRequest]:
    try:
        return msgspec.json.Decoder(DemoRequest).decode_lines(file.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise DemoInputError(f'{file}: {error}') from error


def _build_arrival(request: DemoRequest, service: Service, at_s: float) -> Arrival:
    return Arrival(
        at_s=at_s,
        service=service.name,
        kind=service.kind,
        key=request.key,
        run_ms=[task.run_ms for task in request.tasks],
        subjects=[task.subject for task in request.tasks],
    )
