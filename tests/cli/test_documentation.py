"""Tests that the operators' pages name everything that operators meet."""

import pathlib

import msgspec
import pytest
from endivetally.cli import COMMANDS
from endivetally_config.operator_config import Objective
from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import Team
from endivetally_config.settings import AgentSettings
from endivetally_config.settings import EntrySettings
from endivetally_core.burn import CALLER_ERRORS
from endivetally_core.errors import ERROR_RESPONSES
from endivetally_core.errors import ErrorKind

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'operators.md'


def _rows():
    lines = PAGE.read_text().splitlines()
    return [[cell.strip() for cell in line.split('|')[1:-1]] for line in lines]


class TestOperatorsPage:
    @pytest.mark.parametrize('kind', ErrorKind)
    def test_error_kinds(self, kind):
        rule = ERROR_RESPONSES[kind]
        (row,) = [row for row in _rows() if row and row[0] == f'`{kind.value}`']
        budget = 'no' if kind in CALLER_ERRORS else 'yes'
        assert row[1:4] == [str(rule.status), rule.ran.value, budget]
        assert row[4]

    @pytest.mark.parametrize(
        'structure',
        [EntrySettings, AgentSettings, OperatorConfig, Service, Team, Objective],
    )
    def test_fields(self, structure):
        page = PAGE.read_text()
        prefix = 'objective.' if structure is Objective else ''
        assert [
            field.name
            for field in msgspec.structs.fields(structure)
            if f'`{prefix}{field.name}`' not in page
        ] == _without_a_row(structure)

    @pytest.mark.parametrize('command', COMMANDS)
    def test_commands(self, command):
        assert f'`{command}' in PAGE.read_text()


def _without_a_row(structure):
    # Lists and objects whose members have rows of their own.
    return {OperatorConfig: ['services', 'teams'], Service: ['objective']}.get(
        structure,
        [],
    )
