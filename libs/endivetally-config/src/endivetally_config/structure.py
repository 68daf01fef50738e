"""Validation of parsed JSON against structures, which finds all faults at once.

``msgspec`` alone stops at the first fault.
"""

import json
from collections.abc import Sequence
from typing import Any
from typing import Final
from typing import get_args
from typing import get_origin

import msgspec

from endivetally_config.exceptions import Fault
from endivetally_config.exceptions import quote

MAX_DOCUMENT_BYTES: Final = 4 * 1024 * 1024

# Characters; longer messages of ``msgspec`` are truncated.
MAX_MESSAGE_LENGTH: Final = 200
ROOT_PATH: Final = '$'


class _MalformedDocument(ValueError):
    """Invalid JSON that the parser of the standard library accepts."""


def parse_json(encoded: bytes) -> tuple[object, list[Fault]]:
    """Parse a document; return its value, or ``None`` and a fault if not JSON.

    A document above `MAX_DOCUMENT_BYTES` is a fault as well.
    """
    if len(encoded) > MAX_DOCUMENT_BYTES:
        message = f'has {len(encoded)} bytes, the limit is {MAX_DOCUMENT_BYTES}'
        return None, [Fault(ROOT_PATH, message)]
    try:
        return _load_json(encoded), []
    except (ValueError, RecursionError) as error:
        return None, [Fault(ROOT_PATH, f'is not JSON: {error}')]


def find_structure_faults(
    parsed: object,
    expected: Any,
    path: str = ROOT_PATH,
) -> list[Fault]:
    """Validate a parsed value against a type and return all faults.

    :param parsed: value as returned by ``json.loads``.
    :param expected: a ``msgspec`` structure, a tuple with one element type, or any
        other type that ``msgspec`` can convert to.
    :param path: JSON path of the value.
    """
    if isinstance(expected, type) and issubclass(expected, msgspec.Struct):
        return _find_object_faults(parsed, expected, path)
    if get_origin(expected) is tuple and isinstance(parsed, list):
        return _find_list_faults(parsed, get_args(expected)[0], path)
    try:
        msgspec.convert(parsed, expected)
    except msgspec.ValidationError as error:
        return [Fault(path, _format_message(error))]
    return []


def _load_json(encoded: bytes) -> object:
    parsed: object = json.loads(
        encoded.decode(),
        object_pairs_hook=_build_object,
        parse_constant=_reject_constant,
    )
    # An escaped lone surrogate can be parsed but cannot be encoded as UTF-8.
    json.dumps(parsed, ensure_ascii=False).encode()
    return parsed


def _build_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
    fields = dict(pairs)
    if len(fields) < len(pairs):
        names = [name for name, _ in pairs]
        repeated = {name for name in names if names.count(name) > 1}
        raise _MalformedDocument(
            f'an object repeats the field {", ".join(map(quote, sorted(repeated)))}',
        )
    return fields


def _reject_constant(name: str) -> object:
    raise _MalformedDocument(f'{name} is not a JSON value')


def _find_object_faults(
    parsed: object,
    expected: type[msgspec.Struct],
    path: str,
) -> list[Fault]:
    if not isinstance(parsed, dict):
        return [Fault(path, f'expected an object, got {_type_name(parsed)}')]
    fields = msgspec.structs.fields(expected)
    known = {field.encode_name for field in fields}
    faults = [
        Fault(f'{path}.{quote(name)}', 'unknown field')
        for name in parsed
        if name not in known
    ]
    for field in fields:
        field_path = f'{path}.{field.encode_name}'
        element = parsed.get(field.encode_name, msgspec.UNSET)
        if element is not msgspec.UNSET:
            faults += find_structure_faults(element, field.type, field_path)
        elif field.required:
            faults.append(Fault(field_path, 'missing'))
    return faults


def _find_list_faults(
    parsed: Sequence[object],
    expected: Any,
    path: str,
) -> list[Fault]:
    return [
        fault
        for index, element in enumerate(parsed)
        for fault in find_structure_faults(element, expected, f'{path}[{index}]')
    ]


def _type_name(parsed: object) -> str:
    names = {
        type(None): 'null',
        bool: 'bool',
        list: 'array',
        str: 'str',
        dict: 'object',
    }
    return names.get(type(parsed), type(parsed).__name__)


def _format_message(error: msgspec.ValidationError) -> str:
    message = str(error).replace('`', '')[:MAX_MESSAGE_LENGTH]
    if not message.isprintable():
        message = message.encode('unicode_escape').decode()
    return message[:1].lower() + message[1:]
