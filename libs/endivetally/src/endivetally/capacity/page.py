"""Renders docs/capacity/keyed.md from a recording."""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final

from endivetally.capacity import design_load
from endivetally.capacity import role_rows
from endivetally.capacity import shared_rows
from endivetally.capacity.figures import DerivedFigures
from endivetally.capacity.page_rows import PageRow
from endivetally.capacity.page_rows import format_number
from endivetally.capacity.page_rows import render_table
from endivetally.capacity.recording import MemoryFloor
from endivetally.capacity.recording import Recording
from endivetally.capacity.recording import Slope
from endivetally.capacity.remedies import find_remedy

TITLE: Final = '# Capacity of keyed requests'
INTRODUCTION: Final = """\
Measured with stand-ins of targets and of the table service, not on the users'
platform; [../CAPACITY.md](../CAPACITY.md) is about held jobs there. This page is
computed by `endivetally capacity page` from [slopes.json](slopes.json), which
`endivetally bench control --json` writes; a test compares the two. It
extrapolates: nothing here ran at the size of the design. Sizes that were measured
stand beside each slope. Processes shared one machine with other work; the standard
error shows the scatter. Parts of the file may have been recorded at different times
(`--only`)."""
ENTRIES_NOTE: Final = """\
A mean job of 100 tasks is assumed; the journal's lines show other sizes. An entry
is one process on one core. The busy share leaves room for bursts, and for the
loss of one data centre."""
ENTRY_NOTE: Final = """\
Carried by: one link to each agent and entry; heartbeats of the agents that the
entry watches (two entries for each agent, by rendezvous), an answer to every
third; news between entries about silent agents; probes of agents that have work
and are not heard; load on replies; group commit in the journal. See
[design/membership.md](../design/membership.md) and
[design/journal.md](../design/journal.md). A frame counts 60 bytes of headers and an
acknowledgement of 52 bytes of its own, which is the most that it can take."""
AGENT_NOTE: Final = """\
Carried by: heartbeats to two entries whatever their number; credits on outcomes;
start records bounded in number; results bounded in bytes. See
[design/credits.md](../design/credits.md) and [design/gate.md](../design/gate.md)."""
TABLE_NOTE: Final = """\
Carried by: conditional transactions, one journal write in flight for each entry
with all that waits, entries that look at the map every 5 s, agents that learn of
entries from entries and read the table seldom, exponential backoff with jitter."""
CONFIG_NOTE: Final = """\
Carried by: one version row changed by compare-and-swap; the entry that accepted
the text sends it to all entries, each entry tells the agents that it watches its
version, and an agent asks one entry for the text. The time is extrapolated from
100 agents on 4 entries; with more entries each serves fewer agents."""
JOINING_NOTE: Final = """\
An agent joins an entry that it is told of after a random wait of up to 10 s; after
a loss its wait doubles up to 10 s while it has other links, else up to 2 s."""
EVENT_NOTE: Final = """\
Silence is suspected after 3 s. A region cut costs each side the same as the loss
of the other: news about its agents, and takeovers on the side that reaches the
table. What each side may admit is in
[design/membership.md](../design/membership.md)."""


def render_page(recording: Recording) -> str:
    """Return the capacity page as Markdown."""
    figures = DerivedFigures(recording)
    sections = (
        ('How many entries', ENTRIES_NOTE, role_rows.entry_count_rows(figures)),
        ('Entry', ENTRY_NOTE, role_rows.entry_rows(figures)),
        ('Agent', AGENT_NOTE, role_rows.agent_rows(figures)),
        ('Table service', TABLE_NOTE, shared_rows.table_service_rows(figures)),
        ("Operators' path", CONFIG_NOTE, shared_rows.config_rows(figures)),
        ('Joining', JOINING_NOTE, shared_rows.joining_rows(figures)),
        ('Events', EVENT_NOTE, shared_rows.event_rows(figures)),
    )
    blocks = [
        TITLE,
        INTRODUCTION,
        _render_design_size(),
        _render_exceeded_limits(sections),
    ]
    for title, note, rows in sections:
        blocks.extend((f'## {title}', note, render_table(rows)))
    blocks.extend(('## Memory floors', _render_floors(recording.floors)))
    blocks.extend(
        ('## Slopes', _render_run_note(recording), _render_slopes(recording.slopes))
    )
    page = '\n\n'.join(blocks)
    return f'{page}\n'


def _render_design_size() -> str:
    return (
        f'Size: {format_number(design_load.WORKERS)} workers, '
        f'{format_number(design_load.TASK_STARTS_PER_S)} task starts a second, '
        f'jobs of up to {format_number(design_load.MAX_JOB_TASKS)} tasks, '
        f'{design_load.TEAMS} teams,\n'
        f'{design_load.REGIONS} regions, {design_load.DATA_CENTRES} data centres, '
        f'{design_load.CONFIG_CHANGES_PER_DAY} changes a day in force within '
        f'{design_load.CONFIG_PROPAGATION_LIMIT_S} s.'
    )


def _render_exceeded_limits(sections: Sequence[tuple[str, str, list[PageRow]]]) -> str:
    exceeded = [
        f'| {title} | {row.quantity} | {row.limit_ratio:.1f} '
        f'| {find_remedy(row.quantity)} |'
        for title, _, rows in sections
        for row in rows
        if not row.is_within_limit
    ]
    header = (
        '## What does not fit\n\n'
        '| role | quantity | times over | what would mend it |\n'
        '| --- | --- | --- | --- |'
    )
    return '\n'.join((header, *exceeded))


def _render_floors(floors: Iterable[MemoryFloor]) -> str:
    header = (
        'An interpreter that has imported the modules and does nothing.\n\n'
        '| imports | resident MB | private MB |\n| --- | --- | --- |'
    )
    rows = [
        f'| {floor.name} | {floor.resident_mb:.1f} | {floor.private_mb:.1f} |'
        for floor in floors
    ]
    return '\n'.join((header, *rows))


def _render_run_note(recording: Recording) -> str:
    return f'Recorded {recording.recorded} on {recording.machine}.'


def _render_slopes(slopes: Iterable[Slope]) -> str:
    header = (
        '| name | run | per | unit | slope | standard error | at size 0 | sizes |\n'
        '| --- | --- | --- | --- | --- | --- | --- | --- |'
    )
    return '\n'.join((header, *(_render_slope(slope) for slope in slopes)))


def _render_slope(slope: Slope) -> str:
    sizes = ', '.join(f'{point.size:g}' for point in slope.points)
    fit = slope.fit
    return (
        f'| {slope.name} | {slope.run} | {slope.per} | {slope.unit} '
        f'| {fit.slope:.4g} | {fit.standard_error:.2g} | {fit.intercept:.4g} '
        f'| {sizes} |'
    )
