"""Exceptions of documents that fail their check."""

import json
from dataclasses import dataclass
from typing import Final

from endivetally_core.errors import EndivetallyError
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError

MAX_QUOTED_LENGTH: Final = 80


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a JSON document.

    :param path: JSON path of the faulty value, ``$`` for the document.
    :param message: one sentence for people.
    """

    path: str
    message: str

    def __str__(self) -> str:
        """Path and message on one line."""
        return f'{self.path}: {self.message}'


class SettingsInvalid(EndivetallyError):
    """A settings file that can't be read or fails its check.

    :param source: name of the file.
    :param faults: every fault found.
    """

    def __init__(self, source: str, faults: tuple[Fault, ...]) -> None:
        super().__init__(_list_faults(f'{source} is not valid', faults))
        self.source = source
        self.faults = faults


class ConfigInvalid(RequestError):
    """An operators' text that fails its check.

    :param faults: every fault found.
    """

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__(
            ErrorKind.CONFIG_INVALID,
            _list_faults('the text is not valid', faults),
        )
        self.faults = faults


class ConfigConflict(RequestError):
    """A submission that lost a race or was based on a former version.

    :param current_version: version of the text in force.
    """

    def __init__(self, current_version: int) -> None:
        super().__init__(
            ErrorKind.CONFIG_CONFLICT,
            f'version {current_version} is in force; base the change on it',
        )
        self.current_version = current_version


def quote(name: str) -> str:
    r"""Return a name that is safe to print, unlike what a document may hold.

    >>> quote('citation-lookup')
    'citation-lookup'
    >>> quote('a b\n')
    '"a b\\n"'
    """
    if name.isascii() and name.isprintable() and ' ' not in name:
        return name[:MAX_QUOTED_LENGTH]
    return json.dumps(name[:MAX_QUOTED_LENGTH])


def _list_faults(heading: str, faults: tuple[Fault, ...]) -> str:
    return '\n'.join((f'{heading}:', *(f'  {fault}' for fault in faults)))
