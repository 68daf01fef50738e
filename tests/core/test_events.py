"""Tests of the event log: its list of events, rate limits and blocked readers."""

import json
import logging
import pathlib
import re
import threading
import time

import pytest
from endivetally_core import events
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_core.events import EventLogHandler
from endivetally_core.events import LineRateLimiter

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'OPERATIONS.md'


def open_event_log():
    lines = []
    return lines, EventLog('entry-1', 'entry-1.00ff', write=lines.append)


def test_line_carries_process_and_fields():
    lines, log = open_event_log()
    log.emit(Event.JOB_REFUSED, job='5c0e', reason='overloaded')
    log.close()
    line = json.loads(b''.join(lines))
    assert line['event'] == 'job_refused'
    assert line['process'] == 'entry-1'
    assert line['incarnation'] == 'entry-1.00ff'
    assert (line['job'], line['reason']) == ('5c0e', 'overloaded')
    assert line['steady_s'] > 0


def test_fields_that_json_can_not_hold_are_written_in_ascii():
    lines, log = open_event_log()
    log.emit(Event.AGENT_UNREACHABLE, address='\udcff', reason=object)
    log.close()
    line = json.loads(b''.join(lines))
    assert line['address'] == "'\\udcff'"


@pytest.mark.parametrize(
    'long', ['x' * 1_000_000, '\udcff' * 100_000, ['name'] * 100_000, b'x' * 100_000]
)
def test_long_fields_are_shortened(long):
    """A peer could fill a disk with a few lines of megabytes each."""
    lines, log = open_event_log()
    log.emit(Event.ROW_IGNORED, key='agents/a', reason=long, version=7)
    log.close()
    (encoded,) = b''.join(lines).splitlines()
    assert len(encoded) < events.MAX_LINE_BYTES
    line = json.loads(encoded)
    assert (line['key'].strip("'"), int(line['version'])) == ('agents/a', 7)
    assert len(line['reason']) <= events.MAX_FIELD_CHARACTERS + len('...')


def test_refusals_are_kept_when_routine_events_are_dropped():
    lines, log = open_event_log()
    for number in range(1000):
        log.emit(Event.JOB_ANSWERED, job=str(number), result='refused')
        log.emit(Event.TASK_SENT, job=str(number))
    # The next line that is not omitted reports the omitted ones. On a fast machine the
    # limits allow none before the end of the loop.
    time.sleep(2 / events.NOTABLE_LINES_PER_S)
    log.emit(Event.JOB_ANSWERED, job='last', result='refused')
    log.close()
    written = [json.loads(line)['event'] for line in b''.join(lines).splitlines()]
    assert written.count('task_sent') <= events.ROUTINE_LINES_PER_S * 2
    assert written.count('job_answered') >= events.NOTABLE_LINES_PER_S - 1
    assert log.event_counts['task_sent'] == 1000
    assert log.dropped_counts['task_sent'] > 0
    assert 'lines_dropped' in written


def test_blocked_reader_does_not_block_the_process():
    unblocked = threading.Event()
    log = EventLog('p', 'p.1', write=lambda lines: unblocked.wait())
    for _ in range(3):
        log.emit(Event.PROCESS_PAUSED, paused_ms=1)
    log.close(timeout_s=0.01)
    unblocked.set()


def test_limiter_refills_over_time():
    now = [0.0]
    limiter = LineRateLimiter(2, lambda: now[0])
    assert [limiter.try_acquire() for _ in range(3)] == [True, True, False]
    now[0] = 0.5
    assert [limiter.try_acquire() for _ in range(2)] == [True, False]


def test_library_log_records_become_events():
    lines, log = open_event_log()
    record = logging.makeLogRecord(
        {'name': 'tornado', 'levelname': 'ERROR', 'msg': 'odd %s', 'args': ('thing',)}
    )
    EventLogHandler(log).emit(record)
    log.close()
    assert json.loads(b''.join(lines))['message'] == 'odd thing'


def test_operations_page_lists_every_event():
    listed = set(re.findall(r'^\| `([a-z_]+)` \|', PAGE.read_text(), re.MULTILINE))
    assert {event.value for event in Event} <= listed
