"""Rows of the capacity page about the table service, configuration and events."""

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

# Tasks per job.
JOB_SIZES: Final = (design_load.MAX_JOB_TASKS, design_load.MEAN_JOB_TASKS, 10)


def table_service_rows(figures: DerivedFigures) -> list[PageRow]:
    """Compute reads and writes per second of the table service."""
    reads_per_entry = figures.slope('table.idle.reads')
    idle_reads = reads_per_entry * figures.entry_count
    periodic_reads = design_load.WORKERS / SCAN_INTERVAL_S
    # The retry delay is jittered between 1/2 and 1 of its maximum: 3/4 on average.
    search_reads = design_load.WORKERS / (SCAN_RETRY_MAX_S * 3 / 4)
    return [
        PageRow(
            'reads, nothing running',
            f'{figures.entry_count} entries x {format_number(reads_per_entry)} + '
            f'{design_load.WORKERS} agents / {SCAN_INTERVAL_S} s',
            idle_reads + periodic_reads,
            'reads/s',
            LIMITS.table_reads_per_s,
        ),
        PageRow(
            'reads while all agents search for entries',
            f'{design_load.WORKERS} / ({SCAN_RETRY_MAX_S} s x 3/4) + '
            f'{format_number(idle_reads)}',
            search_reads + idle_reads,
            'reads/s',
            LIMITS.table_reads_per_s,
        ),
        *(_journal_row(figures, tasks) for tasks in JOB_SIZES),
    ]


def _journal_row(figures: DerivedFigures, tasks: int) -> PageRow:
    jobs_per_s = design_load.TASK_STARTS_PER_S / tasks
    writes_per_job = figures.slope('table.journal.writes')
    return PageRow(
        f'journal writes, all work in jobs of {format_number(tasks)} tasks',
        f'{format_number(design_load.TASK_STARTS_PER_S)} / {format_number(tasks)} x '
        f'{format_number(writes_per_job)}',
        jobs_per_s * writes_per_job,
        'writes/s',
        LIMITS.table_writes_per_s,
    )


def config_rows(figures: DerivedFigures) -> list[PageRow]:
    """Compute the traffic and the duration of a configuration change."""
    update_slope = figures.recording.slope('message.text')
    config_bytes = (
        update_slope.fit.intercept + update_slope.fit.slope * design_load.TEAMS
    )
    copies_per_entry = (
        2 * figures.peer_count + design_load.WORKERS / figures.entry_count
    )
    changes_per_s = design_load.CONFIG_CHANGES_PER_DAY / design_load.SECONDS_PER_DAY
    seconds_per_agent = figures.slope('text.seconds')
    base_s = figures.intercept('text.seconds')
    return [
        PageRow(
            'table transactions',
            f'{design_load.CONFIG_CHANGES_PER_DAY} a day / '
            f'{format_number(design_load.SECONDS_PER_DAY)} s',
            changes_per_s,
            'writes/s',
            LIMITS.table_writes_per_s,
        ),
        PageRow(
            'size of the text',
            f'{design_load.TEAMS} teams and services x '
            f'{format_number(update_slope.fit.slope)} bytes + '
            f'{format_number(update_slope.fit.intercept)}',
            config_bytes,
            'bytes',
        ),
        PageRow(
            'copies of the text at one entry for each change',
            f'2 x {figures.peer_count} entries + {design_load.WORKERS} agents / '
            f'{figures.entry_count}',
            copies_per_entry,
            'copies',
        ),
        PageRow(
            'bytes at one entry, on average',
            f'{format_number(copies_per_entry)} x '
            f'{format_number(config_bytes)} bytes x {format_number(changes_per_s)}/s',
            copies_per_entry * config_bytes * changes_per_s,
            'bytes/s',
            LIMITS.bytes_per_s,
        ),
        PageRow(
            'time until in force at 1,400 agents, on 4 entries',
            f'{format_number(base_s)} s + {design_load.WORKERS} x '
            f'{seconds_per_agent * KILO:.2g} ms',
            base_s + design_load.WORKERS * seconds_per_agent,
            's',
            design_load.CONFIG_PROPAGATION_LIMIT_S,
        ),
    ]


def joining_rows(figures: DerivedFigures) -> list[PageRow]:
    """Compute the processor time of joins after an entry or a data centre returns."""
    join_ms = figures.slope('entry.joining.cpu')
    joins_s = design_load.WORKERS * join_ms / KILO
    returning_agents = design_load.WORKERS / design_load.DATA_CENTRES
    return [
        PageRow(
            'processor time of one replaced entry for the joins of all agents',
            f'{design_load.WORKERS} x {format_number(join_ms)} ms',
            joins_s,
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
            f'{format_number(returning_agents)} agents x {format_number(join_ms)} ms',
            returning_agents * join_ms / KILO,
            's',
        ),
    ]


def event_rows(figures: DerivedFigures) -> list[PageRow]:
    """Compute the messages and writes that failures and recoveries cause."""
    peers = figures.peer_count
    workers_per_rack = design_load.WORKERS_PER_RACK
    agents_per_centre = design_load.WORKERS / design_load.DATA_CENTRES
    lost_entries = figures.entry_count / design_load.DATA_CENTRES
    news_formula = f'x {WATCHERS_PER_AGENT} watchers x {peers} entries'
    admission_formula = f'x {figures.entry_count} entries, grouped per entry'
    takeover_s = figures.intercept('takeover.seconds')
    return [
        PageRow(
            'a worker: news and probes',
            f'1 {news_formula} + {figures.entry_count} probes',
            WATCHERS_PER_AGENT * peers + figures.entry_count,
            'messages',
        ),
        PageRow(
            'an ordinary day: admissions of agents in journals',
            f'{design_load.REPLACEMENTS_PER_DAY + design_load.FAILURES_PER_DAY} '
            f'{admission_formula}',
            (design_load.REPLACEMENTS_PER_DAY + design_load.FAILURES_PER_DAY)
            * figures.entry_count,
            'writes a day',
        ),
        PageRow(
            'a rack: news',
            f'{workers_per_rack} {news_formula}',
            workers_per_rack * WATCHERS_PER_AGENT * peers,
            'messages',
        ),
        PageRow(
            'a data centre: news, one list per entry and tick',
            f'{figures.entry_count - lost_entries:.0f} entries x {peers}',
            (figures.entry_count - lost_entries) * peers,
            'messages',
        ),
        PageRow(
            'a data centre: takeovers',
            f'{format_number(lost_entries)} entries x 1 transaction',
            lost_entries,
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
            f'{format_number(agents_per_centre)} agents {admission_formula}',
            agents_per_centre * figures.entry_count,
            'writes',
        ),
        PageRow(
            'and the time that takes at the limit of writes, if none were grouped',
            f'{format_number(agents_per_centre * figures.entry_count)} / '
            f'{format_number(LIMITS.table_writes_per_s)} writes/s',
            agents_per_centre * figures.entry_count / LIMITS.table_writes_per_s,
            's',
        ),
    ]
