"""Validation of settings files and of the operators' configuration."""

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
    """Read and validate a settings file.

    :param settings_type: structure that the file must match.
    :raises SettingsInvalid: with all faults, or when the file cannot be read.
    """
    try:
        encoded = pathlib.Path(path).read_bytes()
    except OSError as error:
        fault = Fault(ROOT_PATH, f'cannot be read: {error.strerror}')
        raise SettingsInvalid(str(path), (fault,)) from error
    parsed, faults = parse_json(encoded)
    faults = faults or find_structure_faults(parsed, settings_type)
    if faults:
        raise SettingsInvalid(str(path), tuple(faults))
    return _convert(parsed, settings_type)


def check_config(encoded: bytes) -> OperatorConfig:
    """Validate and decode an operators' configuration.

    :param encoded: the configuration as JSON.
    :raises ConfigInvalid: with all faults.
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
