"""Checks of settings files and of the operators' text."""

import pathlib
from typing import Any
from typing import TypeVar

import msgspec

from endivetally_config.consistency import find_consistency_faults
from endivetally_config.exceptions import ConfigInvalid
from endivetally_config.exceptions import Fault
from endivetally_config.exceptions import SettingsInvalid
from endivetally_config.operator_config import OperatorConfig
from endivetally_config.structure import ROOT_PATH
from endivetally_config.structure import find_structure_faults
from endivetally_config.structure import parse_json

Settings = TypeVar('Settings', bound=msgspec.Struct)


def load_settings(path: str | pathlib.Path, settings_type: type[Settings]) -> Settings:
    """Read and check a settings file.

    :param settings_type: structure of the settings.
    :raises SettingsInvalid: with every fault, or when the file can't be read.
    """
    try:
        encoded = pathlib.Path(path).read_bytes()
    except OSError as error:
        fault = Fault(ROOT_PATH, f'can not be read: {error.strerror}')
        raise SettingsInvalid(str(path), (fault,)) from error
    parsed, faults = parse_json(encoded)
    faults = faults or find_structure_faults(parsed, settings_type)
    if faults:
        raise SettingsInvalid(str(path), tuple(faults))
    return _convert(parsed, settings_type)


def check_config(encoded: bytes) -> OperatorConfig:
    """Check an operators' text and return it.

    :param encoded: the text as JSON.
    :raises ConfigInvalid: with every fault.
    """
    parsed, faults = parse_json(encoded)
    if not faults:
        faults = find_structure_faults(parsed, OperatorConfig)
        faults += find_consistency_faults(parsed)
    if faults:
        raise ConfigInvalid(tuple(faults))
    return _convert(parsed, OperatorConfig)


def _convert(parsed: Any, structure: type[Settings]) -> Settings:
    return msgspec.convert(parsed, structure)
