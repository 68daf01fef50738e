"""The story of a request, from lines as they were written in a real run."""

import pytest
from endivetally.cli import app
from endivetally.trace import tell_story
from typer.testing import CliRunner

# Written on 2026-12-03 by a run of lovsam-prod scale-2: an entry that ended while
# it held a job. Lines of other requests and most fields are left out.
LINES = (
    '{"time":1781760719.202,"process":"front-hall-a-1","event":"job_received",'
    '"job":"eea6ac43c7bcce61","service":"r-qfn5g3i","tasks":2,"wait_ms":0}',
    '{"time":1781760719.202,"process":"front-hall-a-1","event":"task_sent",'
    '"job":"eea6ac43c7bcce61","step":0,"tasks":[[0,1]],"agent":"side-hall-a-3.b9"}',
    '{"time":1781760719.242,"process":"front-hall-a-1","event":"task_requeued",'
    '"task":"eea6ac43c7bcce61/0/0","run":2,"end":"unreachable"}',
)
RUN = (
    '  19.204 side-hall-a-3 {"time":1781760719.204,"process":"side-hall-a-3",'
    '"event":"run_started","task":"eea6ac43c7bcce61/0/0","run":1,"took_ms":1}'
)


@pytest.mark.parametrize(
    ('lines', 'events', 'gap'),
    [
        ((), [], 'no line about this request'),
        (LINES, ['job_received', 'task_sent', 'task_requeued'], 'no answer'),
        (LINES, ['job_received', 'task_sent', 'task_requeued'], 'no line of an agent'),
        (
            (RUN, *LINES),
            ['job_received', 'task_sent', 'run_started', 'task_requeued'],
            'no end of run 1 of task eea6ac43c7bcce61/0/0',
        ),
        ((RUN,), ['run_started'], 'no arrival'),
    ],
)
def test_story(lines, events, gap):
    story = tell_story('eea6ac43c7bcce61', ['odd line', '{"job":', *lines])
    assert [moment.event for moment in story.moments] == events
    assert any(each.startswith(gap) for each in story.gaps)


def test_command(tmp_path):
    log = tmp_path / 'entry.log'
    log.write_text('\n'.join(LINES))
    told = CliRunner().invoke(app, ['explain', 'eea6ac43c7bcce61', str(log)])
    assert told.exit_code == 0
    assert 'end=unreachable' in told.stdout
    assert CliRunner().invoke(app, ['explain', 'ffff', str(log)]).exit_code == 1
