"""Tests of logging as JSON lines."""

import json
import logging

import pytest
from endivetally_core.logs import JsonFormatter
from endivetally_core.logs import configure_logging


def _format_record(**attributes):
    record = logging.makeLogRecord(
        {'name': 'endivetally', 'levelname': 'INFO', 'created': 0, **attributes},
    )
    return json.loads(JsonFormatter('entry-1').format(record))


class TestJsonFormatter:
    def test_standard_fields_are_written(self):
        assert _format_record(msg='took over %s', args=('shard-1',)) == {
            'time': '1970-01-01T00:00:00.000+00:00',
            'level': 'INFO',
            'logger': 'endivetally',
            'message': 'took over shard-1',
            'process': 'entry-1',
        }

    @pytest.mark.parametrize(
        ('extra', 'content'),
        [('shards', 3), ('agent', 'agent-1'), ('kind', ['a'])],
    )
    def test_extra_attributes_become_fields(self, extra, content):
        assert _format_record(msg='changed', **{extra: content})[extra] == content

    def test_extra_attribute_cannot_replace_a_standard_field(self):
        assert _format_record(msg='changed', level='none')['level'] == 'INFO'

    def test_line_breaks_are_escaped(self):
        record = logging.makeLogRecord({'msg': 'a\nb'})
        assert '\n' not in JsonFormatter('entry-1').format(record)

    def test_exception_is_written(self):
        try:
            raise ValueError('wrong')
        except ValueError as error:
            exc_info = (type(error), error, error.__traceback__)
        assert (
            'ValueError: wrong'
            in _format_record(msg='failed', exc_info=exc_info)['exception']
        )


class TestConfigureLogging:
    @pytest.fixture(autouse=True)
    def _restore_logging(self):
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        yield
        root.handlers[:] = handlers
        root.setLevel(level)

    def test_records_below_the_level_are_not_written(self, capsys):
        configure_logging('agent-1', 'WARNING')
        logging.getLogger('endivetally').info('hidden')
        logging.getLogger('endivetally').warning('shown', extra={'state': 'open'})
        (line,) = capsys.readouterr().out.splitlines()
        assert json.loads(line)['state'] == 'open'
