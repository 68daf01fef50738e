"""Tests that the operators' page covers all error kinds, fields and commands."""

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

OPERATORS_PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'operators.md'


def _table_rows():
    lines = OPERATORS_PAGE.read_text().splitlines()
    return [[cell.strip() for cell in line.split('|')[1:-1]] for line in lines]


class TestOperatorsPage:
    @pytest.mark.parametrize('kind', ErrorKind)
    def test_every_error_kind_has_a_row(self, kind):
        rule = ERROR_RESPONSES[kind]
        (row,) = [row for row in _table_rows() if row and row[0] == f'`{kind.value}`']
        budget = 'no' if kind in CALLER_ERRORS else 'yes'
        assert row[1:4] == [str(rule.status), rule.execution_state.value, budget]
        assert row[4]

    @pytest.mark.parametrize(
        'structure',
        [EntrySettings, AgentSettings, OperatorConfig, Service, Team, Objective],
    )
    def test_every_field_is_documented(self, structure):
        page = OPERATORS_PAGE.read_text()
        prefix = 'objective.' if structure is Objective else ''
        assert [
            field.name
            for field in msgspec.structs.fields(structure)
            if f'`{prefix}{field.name}`' not in page
        ] == _undocumented_fields(structure)

    @pytest.mark.parametrize('command', COMMANDS)
    def test_every_command_is_documented(self, command):
        assert f'`{command}' in OPERATORS_PAGE.read_text()


def _undocumented_fields(structure):
    # Lists and objects whose members are documented one by one.
    return {OperatorConfig: ['services', 'teams'], Service: ['objective']}.get(
        structure,
        [],
    )
