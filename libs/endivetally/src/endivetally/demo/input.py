"""Reads the requests of the demonstration from files of JSON lines."""

from pathlib import Path
from typing import Final

import msgspec
from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import Service
from endivetally_core.errors import EndivetallyError

from endivetally.load.mix import Arrival

DEMO_SECONDS: Final = 8


class DemoInputError(EndivetallyError):
    """An input file is missing or has a line that does not decode."""


class DemoTask(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One task of a request, and its run time on an idle worker."""

    subject: str
    run_ms: int


class DemoRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One line of an input file."""

    key: str
    tasks: list[DemoTask]


def read_arrivals(directory: Path, text: OperatorConfig) -> list[Arrival]:
    """Read ``<service>.jsonl`` of each service; spread its lines over time.

    :raises DemoInputError: when a file is missing or wrong.
    """
    arrivals: list[Arrival] = []
    for service in text.services:
        lines = _read_lines(directory / f'{service.name}.jsonl')
        for number, line in enumerate(lines):
            at_s = DEMO_SECONDS * number / len(lines)
            arrivals.append(_arrival(line, service, at_s))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _read_lines(file: Path) -> list[DemoRequest]:
    try:
        return msgspec.json.Decoder(DemoRequest).decode_lines(file.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise DemoInputError(f'{file}: {error}') from error


def _arrival(line: DemoRequest, service: Service, at_s: float) -> Arrival:
    return Arrival(
        at_s=at_s,
        service=service.name,
        kind=service.kind,
        key=line.key,
        run_ms=[task.run_ms for task in line.tasks],
        subjects=[task.subject for task in line.tasks],
    )
