"""Lines of the table service, of the operators' path and of events."""

from typing import Final

from endivetally_agent.peers import JOIN_JITTER_S
from endivetally_agent.peers import SCAN_INTERVAL_S
from endivetally_agent.peers import SCAN_RETRY_MAX_S
from endivetally_core.identifiers import WATCHERS_PER_AGENT

from endivetally.capacity import design_load
from endivetally.capacity.figures import KILO
from endivetally.capacity.figures import DerivedFigures
from endivetally.capacity.limits import LIMITS
from endivetally.capacity.page_rows import PageRow
from endivetally.capacity.page_rows import format_number

JOB_SIZES: Final = (design_load.MAX_JOB_TASKS, design_load.MEAN_JOB_TASKS, 10)


def table_service_rows(figures: DerivedFigures) -> list[PageRow]:
    """Compute reads and writes a second of the table service."""
    per_entry = figures.slope('table.idle.reads')
    idle_reads = per_entry * figures.entry_count
    scans = design_load.WORKERS / SCAN_INTERVAL_S
    storm = design_load.WORKERS / (SCAN_RETRY_MAX_S * 3 / 4)
    return [
        PageRow(
            'reads, nothing running',
            f'{figures.entry_count} entries x {format_number(per_entry)} + '
            f'{design_load.WORKERS} agents / {SCAN_INTERVAL_S} s',
            idle_reads + scans,
            'reads/s',
            LIMITS.table_reads_per_s,
        ),
        PageRow(
            'reads while all agents search for entries',
            f'{design_load.WORKERS} / ({SCAN_RETRY_MAX_S} s x 3/4) + '
            f'{format_number(idle_reads)}',
            storm + idle_reads,
            'reads/s',
            LIMITS.table_reads_per_s,
        ),
        *(_journal_row(figures, tasks) for tasks in JOB_SIZES),
    ]


def _journal_row(figures: DerivedFigures, tasks: int) -> PageRow:
    jobs = design_load.TASK_STARTS_PER_S / tasks
    writes = figures.slope('table.journal.writes')
    return PageRow(
        f'journal writes, all work in jobs of {format_number(tasks)} tasks',
        f'{format_number(design_load.TASK_STARTS_PER_S)} / {format_number(tasks)} x '
        f'{format_number(writes)}',
        jobs * writes,
        'writes/s',
        LIMITS.table_writes_per_s,
    )


def config_rows(figures: DerivedFigures) -> list[PageRow]:
    """Compute what a change of the operators' text costs and takes."""
    slope = figures.recording.slope('message.text')
    text_bytes = slope.fit.intercept + slope.fit.slope * design_load.TEAMS
    per_entry = 2 * figures.peer_count + design_load.WORKERS / figures.entry_count
    rate = design_load.CONFIG_CHANGES_PER_DAY / design_load.SECONDS_PER_DAY
    seconds = figures.slope('text.seconds')
    base = figures.intercept('text.seconds')
    return [
        PageRow(
            'table transactions',
            f'{design_load.CONFIG_CHANGES_PER_DAY} a day / '
            f'{format_number(design_load.SECONDS_PER_DAY)} s',
            rate,
            'writes/s',
            LIMITS.table_writes_per_s,
        ),
        PageRow(
            'size of the text',
            f'{design_load.TEAMS} teams and services x '
            f'{format_number(slope.fit.slope)} bytes + '
            f'{format_number(slope.fit.intercept)}',
            text_bytes,
            'bytes',
        ),
        PageRow(
            'copies of the text at one entry for each change',
            f'2 x {figures.peer_count} entries + {design_load.WORKERS} agents / '
            f'{figures.entry_count}',
            per_entry,
            'copies',
        ),
        PageRow(
            'bytes at one entry, on average',
            f'{format_number(per_entry)} x {format_number(text_bytes)} bytes x '
            f'{format_number(rate)}/s',
            per_entry * text_bytes * rate,
            'bytes/s',
            LIMITS.bytes_per_s,
        ),
        PageRow(
            'time until in force at 1,400 agents, on 4 entries',
            f'{format_number(base)} s + {design_load.WORKERS} x {seconds * KILO:.2g} '
            'ms',
            base + design_load.WORKERS * seconds,
            's',
            design_load.CONFIG_PROPAGATION_LIMIT_S,
        ),
    ]


def joining_rows(figures: DerivedFigures) -> list[PageRow]:
    """Compute what joining costs after an entry or a data centre returns."""
    join_ms = figures.slope('entry.joining.cpu')
    entry_s = design_load.WORKERS * join_ms / KILO
    returning = design_load.WORKERS / design_load.DATA_CENTRES
    return [
        PageRow(
            'processor time of one replaced entry for the joins of all agents',
            f'{design_load.WORKERS} x {format_number(join_ms)} ms',
            entry_s,
            's',
            JOIN_JITTER_S,
        ),
        PageRow(
            'joins a day at one entry',
            f'{design_load.FAILURES_PER_DAY} + '
            f'{design_load.REPLACEMENTS_PER_DAY} replacements',
            design_load.FAILURES_PER_DAY + design_load.REPLACEMENTS_PER_DAY,
            'joins',
        ),
        PageRow(
            'processor time of each entry when a data centre returns',
            f'{format_number(returning)} agents x {format_number(join_ms)} ms',
            returning * join_ms / KILO,
            's',
        ),
    ]


def event_rows(figures: DerivedFigures) -> list[PageRow]:
    """Compute messages between entries and writes for each event."""
    peers = figures.peer_count
    rack = design_load.WORKERS_PER_RACK
    centre = design_load.WORKERS / design_load.DATA_CENTRES
    dead_entries = figures.entry_count / design_load.DATA_CENTRES
    news = f'x {WATCHERS_PER_AGENT} watchers x {peers} entries'
    admissions = f'x {figures.entry_count} entries, grouped per entry'
    takeover_s = figures.intercept('takeover.seconds')
    return [
        PageRow(
            'a worker: news and probes',
            f'1 {news} + {figures.entry_count} probes',
            WATCHERS_PER_AGENT * peers + figures.entry_count,
            'messages',
        ),
        PageRow(
            'an ordinary day: admissions of agents in journals',
            f'{design_load.REPLACEMENTS_PER_DAY + design_load.FAILURES_PER_DAY} '
            f'{admissions}',
            (design_load.REPLACEMENTS_PER_DAY + design_load.FAILURES_PER_DAY)
            * figures.entry_count,
            'writes a day',
        ),
        PageRow(
            'a rack: news',
            f'{rack} {news}',
            rack * WATCHERS_PER_AGENT * peers,
            'messages',
        ),
        PageRow(
            'a data centre: news, one list per entry and tick',
            f'{figures.entry_count - dead_entries:.0f} entries x {peers}',
            (figures.entry_count - dead_entries) * peers,
            'messages',
        ),
        PageRow(
            'a data centre: takeovers',
            f'{format_number(dead_entries)} entries x 1 transaction',
            dead_entries,
            'writes',
        ),
        PageRow(
            'a dead entry: its shards are owned again',
            'as measured at a process that was killed',
            takeover_s,
            's',
        ),
        PageRow(
            'a data centre returns: admissions, at most one write each',
            f'{format_number(centre)} agents {admissions}',
            centre * figures.entry_count,
            'writes',
        ),
        PageRow(
            'and the time that takes at the limit of writes, if none were grouped',
            f'{format_number(centre * figures.entry_count)} / '
            f'{format_number(LIMITS.table_writes_per_s)} writes/s',
            centre * figures.entry_count / LIMITS.table_writes_per_s,
            's',
        ),
    ]
