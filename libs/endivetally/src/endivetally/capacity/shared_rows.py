"""Lines of the table service, of the operators' path and of events."""

from typing import Final

from endivetally_agent.peers import JOIN_JITTER_S
from endivetally_agent.peers import SCAN_INTERVAL_S
from endivetally_agent.peers import SCAN_RETRY_MAX_S
from endivetally_core.identifiers import WATCHERS_PER_AGENT

from endivetally.capacity import design_load
from endivetally.capacity.figures import MS_PER_S
from endivetally.capacity.figures import Figures
from endivetally.capacity.limits import LIMITS
from endivetally.capacity.page_rows import Line
from endivetally.capacity.page_rows import number

JOB_SIZES: Final = (design_load.MAX_JOB_TASKS, design_load.MEAN_JOB_TASKS, 10)


def table_lines(figures: Figures) -> list[Line]:
    """Compute reads and writes a second of the table service."""
    per_entry = figures.slope('table.idle.reads')
    idle_reads = per_entry * figures.entries
    scans = design_load.WORKERS / SCAN_INTERVAL_S
    storm = design_load.WORKERS / (SCAN_RETRY_MAX_S * 3 / 4)
    return [
        Line(
            'reads, nothing running',
            f'{figures.entries} entries x {number(per_entry)} + '
            f'{design_load.WORKERS} agents / {SCAN_INTERVAL_S} s',
            idle_reads + scans,
            'reads/s',
            LIMITS.table_reads_per_s,
        ),
        Line(
            'reads while all agents search for entries',
            f'{design_load.WORKERS} / ({SCAN_RETRY_MAX_S} s x 3/4) + {number(idle_reads)}',
            storm + idle_reads,
            'reads/s',
            LIMITS.table_reads_per_s,
        ),
        *(_journal_line(figures, tasks) for tasks in JOB_SIZES),
    ]


def _journal_line(figures: Figures, tasks: int) -> Line:
    jobs = design_load.STARTS_PER_S / tasks
    writes = figures.slope('table.journal.writes')
    return Line(
        f'journal writes, all work in jobs of {number(tasks)} tasks',
        f'{number(design_load.STARTS_PER_S)} / {number(tasks)} x {number(writes)}',
        jobs * writes,
        'writes/s',
        LIMITS.table_writes_per_s,
    )


def text_lines(figures: Figures) -> list[Line]:
    """Compute what a change of the operators' text costs and takes."""
    slope = figures.recording.slope('message.text')
    text_bytes = slope.fit.intercept + slope.fit.slope * design_load.TEAMS
    per_entry = 2 * figures.peers + design_load.WORKERS / figures.entries
    rate = design_load.CHANGES_PER_DAY / design_load.SECONDS_PER_DAY
    seconds = figures.slope('text.seconds')
    base = figures.intercept('text.seconds')
    return [
        Line(
            'table transactions',
            f'{design_load.CHANGES_PER_DAY} a day / {number(design_load.SECONDS_PER_DAY)} s',
            rate,
            'writes/s',
            LIMITS.table_writes_per_s,
        ),
        Line(
            'size of the text',
            f'{design_load.TEAMS} teams and services x {number(slope.fit.slope)} bytes + '
            f'{number(slope.fit.intercept)}',
            text_bytes,
            'bytes',
        ),
        Line(
            'copies of the text at one entry for each change',
            f'2 x {figures.peers} entries + {design_load.WORKERS} agents / '
            f'{figures.entries}',
            per_entry,
            'copies',
        ),
        Line(
            'bytes at one entry, on average',
            f'{number(per_entry)} x {number(text_bytes)} bytes x {number(rate)}/s',
            per_entry * text_bytes * rate,
            'bytes/s',
            LIMITS.bytes_per_s,
        ),
        Line(
            'time until in force at 1,400 agents, on 4 entries',
            f'{number(base)} s + {design_load.WORKERS} x {seconds * MS_PER_S:.2g} ms',
            base + design_load.WORKERS * seconds,
            's',
            design_load.IN_FORCE_S,
        ),
    ]


def join_lines(figures: Figures) -> list[Line]:
    """Compute what joining costs after an entry or a data centre returns."""
    join_ms = figures.slope('entry.joining.cpu')
    entry_s = design_load.WORKERS * join_ms / MS_PER_S
    returning = design_load.WORKERS / design_load.DATA_CENTRES
    return [
        Line(
            'processor time of one replaced entry for the joins of all agents',
            f'{design_load.WORKERS} x {number(join_ms)} ms',
            entry_s,
            's',
            JOIN_JITTER_S,
        ),
        Line(
            'joins a day at one entry',
            f'{design_load.FAILURES_PER_DAY} + {design_load.REPLACEMENTS_PER_DAY} replacements',
            design_load.FAILURES_PER_DAY + design_load.REPLACEMENTS_PER_DAY,
            'joins',
        ),
        Line(
            'processor time of each entry when a data centre returns',
            f'{number(returning)} agents x {number(join_ms)} ms',
            returning * join_ms / MS_PER_S,
            's',
        ),
    ]


def event_lines(figures: Figures) -> list[Line]:
    """Compute messages between entries and writes for each event."""
    peers = figures.peers
    rack = design_load.WORKERS_PER_RACK
    centre = design_load.WORKERS / design_load.DATA_CENTRES
    dead_entries = figures.entries / design_load.DATA_CENTRES
    news = f'x {WATCHERS_PER_AGENT} watchers x {peers} entries'
    admissions = f'x {figures.entries} entries, grouped per entry'
    takeover_s = figures.intercept('takeover.seconds')
    return [
        Line(
            'a worker: news and probes',
            f'1 {news} + {figures.entries} probes',
            WATCHERS_PER_AGENT * peers + figures.entries,
            'messages',
        ),
        Line(
            'an ordinary day: admissions of agents in journals',
            f'{design_load.REPLACEMENTS_PER_DAY + design_load.FAILURES_PER_DAY} {admissions}',
            (design_load.REPLACEMENTS_PER_DAY + design_load.FAILURES_PER_DAY)
            * figures.entries,
            'writes a day',
        ),
        Line(
            'a rack: news',
            f'{rack} {news}',
            rack * WATCHERS_PER_AGENT * peers,
            'messages',
        ),
        Line(
            'a data centre: news, one list per entry and tick',
            f'{figures.entries - dead_entries:.0f} entries x {peers}',
            (figures.entries - dead_entries) * peers,
            'messages',
        ),
        Line(
            'a data centre: takeovers',
            f'{number(dead_entries)} entries x 1 transaction',
            dead_entries,
            'writes',
        ),
        Line(
            'a dead entry: its shards are owned again',
            'as measured at a process that was killed',
            takeover_s,
            's',
        ),
        Line(
            'a data centre returns: admissions, at most one write each',
            f'{number(centre)} agents {admissions}',
            centre * figures.entries,
            'writes',
        ),
        Line(
            'and the time that takes at the limit of writes, if none were grouped',
            f'{number(centre * figures.entries)} / '
            f'{number(LIMITS.table_writes_per_s)} writes/s',
            centre * figures.entries / LIMITS.table_writes_per_s,
            's',
        ),
    ]
