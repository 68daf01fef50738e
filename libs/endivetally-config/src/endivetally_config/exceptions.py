"""Faults found in JSON documents, and the exceptions that report them."""

import json
from dataclasses import dataclass
from typing import Final

from endivetally_core.errors import EndivetallyError
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError

# Characters; longer names from a document are truncated in error messages.
MAX_QUOTED_LENGTH: Final = 80


@dataclass(frozen=True, slots=True)
class Fault:
    """A value of a JSON document that is not valid.

    :param path: JSON path of the value; ``$`` is the whole document.
    :param message: explanation for humans, one sentence.
    """

    path: str
    message: str

    def __str__(self) -> str:
        """Return the path and the message on one line."""
        return f'{self.path}: {self.message}'


class SettingsInvalid(EndivetallyError):
    """A settings file that cannot be read or is not valid.

    :param source: path of the file.
    :param faults: all faults of the file.
    """

    def __init__(self, source: str, faults: tuple[Fault, ...]) -> None:
        super().__init__(_format_faults(f'{source} is not valid', faults))
        self.source = source
        self.faults = faults


class ConfigInvalid(RequestError):
    """A submitted operators' configuration that is not valid.

    :param faults: all faults of the configuration.
    """

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__(
            ErrorKind.CONFIG_INVALID,
            _format_faults('the text is not valid', faults),
        )
        self.faults = faults


class ConfigConflict(RequestError):
    """A submission that conflicts with the current version.

    Either it is based on another version, or a concurrent submission with the same
    base was written first.

    :param current_version: version of the configuration in force.
    """

    def __init__(self, current_version: int) -> None:
        super().__init__(
            ErrorKind.CONFIG_CONFLICT,
            f'version {current_version} is in force; base the change on it',
        )
        self.current_version = current_version


def quote(name: str) -> str:
    r"""Shorten a name from a document and escape it for output to a terminal.

    >>> quote('citation-lookup')
    'citation-lookup'
    >>> quote('a b\n')
    '"a b\\n"'
    """
    if name.isascii() and name.isprintable() and ' ' not in name:
        return name[:MAX_QUOTED_LENGTH]
    return json.dumps(name[:MAX_QUOTED_LENGTH])


def _format_faults(heading: str, faults: tuple[Fault, ...]) -> str:
    return '\n'.join((f'{heading}:', *(f'  {fault}' for fault in faults)))
