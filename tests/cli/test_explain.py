"""Tests of the trace of a request, on log lines of a real run."""

import pytest
from endivetally.cli import app
from endivetally.trace import build_trace
from typer.testing import CliRunner

# From a run of lovsam-prod scale-2 on 2026-12-03, in which an entry exited while it
# held a job. Lines of other requests and most fields are omitted.
ENTRY_LINES = (
    '{"time":1781760719.202,"process":"front-hall-a-1","event":"job_received",'
    '"job":"eea6ac43c7bcce61","service":"r-qfn5g3i","tasks":2,"wait_ms":0}',
    '{"time":1781760719.202,"process":"front-hall-a-1","event":"task_sent",'
    '"job":"eea6ac43c7bcce61","step":0,"tasks":[[0,1]],"agent":"side-hall-a-3.b9"}',
    '{"time":1781760719.242,"process":"front-hall-a-1","event":"task_requeued",'
    '"task":"eea6ac43c7bcce61/0/0","run":2,"end":"unreachable"}',
)
AGENT_LINE = (
    '  19.204 side-hall-a-3 {"time":1781760719.204,"process":"side-hall-a-3",'
    '"event":"run_started","task":"eea6ac43c7bcce61/0/0","run":1,"took_ms":1}'
)


@pytest.mark.parametrize(
    ('lines', 'events', 'gap'),
    [
        ((), [], 'no line about this request'),
        (ENTRY_LINES, ['job_received', 'task_sent', 'task_requeued'], 'no answer'),
        (
            ENTRY_LINES,
            ['job_received', 'task_sent', 'task_requeued'],
            'no line of an agent',
        ),
        (
            (AGENT_LINE, *ENTRY_LINES),
            ['job_received', 'task_sent', 'run_started', 'task_requeued'],
            'no end of run 1 of task eea6ac43c7bcce61/0/0',
        ),
        ((AGENT_LINE,), ['run_started'], 'no arrival'),
    ],
)
def test_trace_orders_events_and_reports_gaps(lines, events, gap):
    trace = build_trace('eea6ac43c7bcce61', ['odd line', '{"job":', *lines])
    assert [event.event for event in trace.events] == events
    assert any(each.startswith(gap) for each in trace.gaps)


def test_command_prints_events_and_fails_for_unknown_job(tmp_path):
    log = tmp_path / 'entry.log'
    log.write_text('\n'.join(ENTRY_LINES))
    result = CliRunner().invoke(app, ['explain', 'eea6ac43c7bcce61', str(log)])
    assert result.exit_code == 0
    assert 'end=unreachable' in result.stdout
    assert CliRunner().invoke(app, ['explain', 'ffff', str(log)]).exit_code == 1
