"""Lines of the table service, of the operators' path and of events."""

from typing import Final

from endivetally_agent.peers import JOIN_JITTER_S
from endivetally_agent.peers import SCAN_INTERVAL_S
from endivetally_agent.peers import SCAN_RETRY_MAX_S
from endivetally_core.identifiers import WATCHERS_PER_AGENT

from endivetally.capacity import demand
from endivetally.capacity.figures import MS_PER_S
from endivetally.capacity.figures import Figures
from endivetally.capacity.limits import LIMITS
from endivetally.capacity.lines import Line
from endivetally.capacity.lines import number

JOB_SIZES: Final = (demand.MAX_JOB_TASKS, demand.MEAN_JOB_TASKS, 10)


def table_lines(figures: Figures) -> list[Line]:
    """Compute reads and writes a second of the table service."""
    per_entry = figures.slope('table.idle.reads')
    idle_reads = per_entry * figures.entries
    scans = demand.WORKERS / SCAN_INTERVAL_S
    storm = demand.WORKERS / (SCAN_RETRY_MAX_S * 3 / 4)
    return [
        Line(
            'reads, nothing running',
            f'{figures.entries} entries x {number(per_entry)} + '
            f'{demand.WORKERS} agents / {SCAN_INTERVAL_S} s',
            idle_reads + scans,
            'reads/s',
            LIMITS.table_reads_per_s,
        ),
        Line(
            'reads while all agents search for entries',
            f'{demand.WORKERS} / ({SCAN_RETRY_MAX_S} s x 3/4) + {number(idle_reads)}',
            storm + idle_reads,
            'reads/s',
            LIMITS.table_reads_per_s,
        ),
        *(_journal_line(figures, tasks) for tasks in JOB_SIZES),
    ]


def _journal_line(figures: Figures, tasks: int) -> Line:
    jobs = demand.STARTS_PER_S / tasks
    writes = figures.slope('table.journal.writes')
    return Line(
        f'journal writes, all work in jobs of {number(tasks)} tasks',
        f'{number(demand.STARTS_PER_S)} / {number(tasks)} x {number(writes)}',
        jobs * writes,
        'writes/s',
        LIMITS.table_writes_per_s,
    )


def text_lines(figures: Figures) -> list[Line]:
    """Compute what a change of the operators' text costs and takes."""
    slope = figures.recording.slope('message.text')
    text_bytes = slope.fit.intercept + slope.fit.slope * demand.TEAMS
    per_entry = 2 * figures.peers + demand.WORKERS / figures.entries
    rate = demand.CHANGES_PER_DAY / demand.SECONDS_PER_DAY
    seconds = figures.slope('text.seconds')
    base = figures.intercept('text.seconds')
    return [
        Line(
            'table transactions',
            f'{demand.CHANGES_PER_DAY} a day / {number(demand.SECONDS_PER_DAY)} s',
            rate,
            'writes/s',
            LIMITS.table_writes_per_s,
        ),
        Line(
            'size of the text',
            f'{demand.TEAMS} teams and services x {number(slope.fit.slope)} bytes + '
            f'{number(slope.fit.intercept)}',
            text_bytes,
            'bytes',
        ),
        Line(
            'copies of the text at one entry for each change',
            f'2 x {figures.peers} entries + {demand.WORKERS} agents / '
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
            f'{number(base)} s + {demand.WORKERS} x {seconds * MS_PER_S:.2g} ms',
            base + demand.WORKERS * seconds,
            's',
            demand.IN_FORCE_S,
        ),
    ]


def join_lines(figures: Figures) -> list[Line]:
    """Compute what joining costs after an entry or a data centre returns."""
    join_ms = figures.slope('entry.joining.cpu')
    entry_s = demand.WORKERS * join_ms / MS_PER_S
    returning = demand.WORKERS / demand.DATA_CENTRES
    return [
        Line(
            'processor time of one replaced entry for the joins of all agents',
            f'{demand.WORKERS} x {number(join_ms)} ms',
            entry_s,
            's',
            JOIN_JITTER_S,
        ),
        Line(
            'joins a day at one entry',
            f'{demand.FAILURES_PER_DAY} + {demand.REPLACEMENTS_PER_DAY} replacements',
            demand.FAILURES_PER_DAY + demand.REPLACEMENTS_PER_DAY,
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
    rack = demand.WORKERS_PER_RACK
    centre = demand.WORKERS / demand.DATA_CENTRES
    dead_entries = figures.entries / demand.DATA_CENTRES
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
            f'{demand.REPLACEMENTS_PER_DAY + demand.FAILURES_PER_DAY} {admissions}',
            (demand.REPLACEMENTS_PER_DAY + demand.FAILURES_PER_DAY) * figures.entries,
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
