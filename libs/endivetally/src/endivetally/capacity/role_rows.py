"""Rows of the capacity page about entries and agents."""

from endivetally_agent.records import MAX_TASK_RECORDS

from endivetally.capacity import design_load
from endivetally.capacity.figures import KILO
from endivetally.capacity.figures import DerivedFigures
from endivetally.capacity.figures import wire_bytes
from endivetally.capacity.limits import LIMITS
from endivetally.capacity.page_rows import PageRow
from endivetally.capacity.page_rows import format_number


def entry_count_rows(figures: DerivedFigures) -> list[PageRow]:
    """Compute how many entries the design load needs, and how they are loaded."""
    return [
        PageRow(
            'cores that dispatch keeps busy',
            f'{format_number(design_load.TASK_STARTS_PER_S)}/s x '
            f'{format_number(figures.task_cpu_ms)} ms + '
            f'{format_number(figures.jobs_per_s)} jobs/s x '
            f'{format_number(figures.job_cpu_ms)} ms',
            figures.busy_core_count,
            'cores',
        ),
        PageRow(
            'entries, one core each',
            f'{format_number(figures.busy_core_count)} / '
            f'{design_load.PEAK_UTILISATION}, rounded up to '
            f'{design_load.DATA_CENTRES} data centres',
            figures.entry_count,
            'entries',
        ),
        PageRow(
            'load of an entry after the loss of a data centre',
            f'{format_number(figures.busy_core_count)} / '
            f'{format_number(figures.entry_count)} x '
            f'{design_load.DATA_CENTRES}/{design_load.DATA_CENTRES - 1}',
            figures.busy_core_count
            / figures.entry_count
            * design_load.DATA_CENTRES
            / (design_load.DATA_CENTRES - 1),
            'cores',
            1,
        ),
        PageRow(
            'load of the entry with the most shards, over the average',
            'rendezvous of 64 shards over the entries',
            figures.shard_imbalance,
            'times',
            1 / design_load.PEAK_UTILISATION,
        ),
    ]


def entry_rows(figures: DerivedFigures) -> list[PageRow]:
    """Compute links, traffic, processor time and memory of one entry."""
    return [*_entry_control(figures), *_entry_memory(figures)]


def _entry_control(figures: DerivedFigures) -> list[PageRow]:
    watched, peers = figures.watched_agents, figures.peer_count
    frames_per_agent = figures.slope('entry.control.frames')
    frames_per_peer = figures.slope('entry.peers.frames')
    frames = watched * frames_per_agent + peers * frames_per_peer
    agent_bytes = figures.slope('entry.control.bytes')
    peer_bytes = figures.slope('entry.peers.bytes')
    usage_bytes = figures.slope('message.entry_state') * design_load.TEAMS
    heartbeat_bytes = wire_bytes(watched * agent_bytes + peers * peer_bytes, frames)
    demand_bytes = 2 * peers * usage_bytes
    cpu_ms_per_s = watched * figures.slope('entry.control.cpu')
    cpu_ms_per_s += peers * figures.slope('entry.peers.cpu')
    return [
        PageRow(
            'links',
            f'{design_load.WORKERS} agents + {peers} entries',
            design_load.WORKERS + peers,
            'links',
        ),
        PageRow(
            'control frames, both ways',
            f'{format_number(watched)} watched agents x '
            f'{format_number(frames_per_agent)} + {peers} entries x '
            f'{format_number(frames_per_peer)}',
            frames,
            'frames/s',
        ),
        PageRow(
            'control bytes: heartbeats with all headers',
            f'{format_number(watched)} x {format_number(agent_bytes)} + {peers} x '
            f'{format_number(peer_bytes)} + {format_number(frames)} frames x 112',
            heartbeat_bytes,
            'bytes/s',
            LIMITS.bytes_per_s,
        ),
        PageRow(
            "control bytes: teams' demand in heartbeats between entries",
            f'2 x {peers} x {design_load.TEAMS} teams x '
            f'{format_number(figures.slope("message.entry_state"))} bytes',
            demand_bytes,
            'bytes/s',
            LIMITS.bytes_per_s,
        ),
        PageRow(
            'control processor time',
            f'{format_number(watched)} x '
            f'{format_number(figures.slope("entry.control.cpu"))} ms/s + '
            f'{peers} x {format_number(figures.slope("entry.peers.cpu"))} ms/s',
            cpu_ms_per_s / KILO,
            'cores',
            LIMITS.cpu_share,
        ),
    ]


def _entry_memory(figures: DerivedFigures) -> list[PageRow]:
    floor = figures.recording.floor('entry')
    agents_mb = design_load.WORKERS * figures.slope('entry.control.private')
    peers_mb = figures.peer_count * figures.slope('entry.peers.private')
    key_count = figures.jobs_per_s * design_load.KEY_RETENTION_S / figures.entry_count
    open_task_count = (
        design_load.WORKERS * design_load.SLOTS_PER_WORKER / figures.entry_count
    )
    key_kb = figures.slope('entry.notes.memory')
    task_kb = figures.slope('entry.open.memory')
    return [
        PageRow(
            'memory that control adds',
            f'{design_load.WORKERS} x '
            f'{format_number(figures.slope("entry.control.private"))} MB + '
            f'{figures.peer_count} x '
            f'{format_number(figures.slope("entry.peers.private"))} MB',
            agents_mb + peers_mb,
            'MB',
            LIMITS.memory_mb,
        ),
        PageRow(
            'floor and control, private memory',
            f'{format_number(floor.private_mb)} + '
            f'{format_number(agents_mb + peers_mb)} MB',
            floor.private_mb + agents_mb + peers_mb,
            'MB',
            LIMITS.memory_mb,
        ),
        PageRow(
            'work: remembered keys',
            f'{format_number(figures.jobs_per_s)} jobs/s x '
            f'{design_load.KEY_RETENTION_S} s / {figures.entry_count} x '
            f'{format_number(key_kb)} kB',
            key_count * key_kb / KILO,
            'MB',
        ),
        PageRow(
            'work: tasks in progress',
            f'{design_load.WORKERS} x {design_load.SLOTS_PER_WORKER} slots / '
            f'{figures.entry_count} x {format_number(task_kb)} kB',
            open_task_count * task_kb / KILO,
            'MB',
        ),
    ]


def agent_rows(figures: DerivedFigures) -> list[PageRow]:
    """Compute links, traffic, processor time and memory of one agent."""
    return [*_agent_control(figures), *_agent_work(figures)]


def _agent_control(figures: DerivedFigures) -> list[PageRow]:
    floor = figures.recording.floor('agent')
    frames = figures.largest_size_value('agent.control.frames')
    frame_bytes = figures.largest_size_value('agent.control.bytes')
    # A negative slope is measurement noise.
    ms_per_entry = max(figures.slope('agent.control.cpu'), 0)
    base_ms = figures.intercept('agent.control.cpu')
    link_mb = figures.slope('agent.control.private')
    return [
        PageRow(
            'links',
            f'{figures.entry_count} entries',
            figures.entry_count,
            'links',
        ),
        PageRow(
            'control frames, both ways',
            'as measured at 16 entries; two of them watch',
            frames,
            'frames/s',
        ),
        PageRow(
            'control bytes with all headers',
            f'{format_number(frame_bytes)} + {format_number(frames)} frames x 112',
            wire_bytes(frame_bytes, frames),
            'bytes/s',
            LIMITS.bytes_per_s,
        ),
        PageRow(
            'idle processor time, announcements of the target included',
            f'{format_number(base_ms)} ms/s + {figures.entry_count} x '
            f'{format_number(ms_per_entry)} ms/s',
            (base_ms + figures.entry_count * ms_per_entry) / KILO,
            'cores',
            LIMITS.cpu_share,
        ),
        PageRow(
            'memory that control adds',
            f'{figures.entry_count} x {format_number(link_mb)} MB',
            figures.entry_count * link_mb,
            'MB',
            LIMITS.memory_mb,
        ),
        PageRow(
            'floor and control, private memory',
            f'{format_number(floor.private_mb)} + '
            f'{format_number(figures.entry_count * link_mb)} MB',
            floor.private_mb + figures.entry_count * link_mb,
            'MB',
            LIMITS.memory_mb,
        ),
        PageRow(
            'floor and control, resident memory with shared pages',
            f'{format_number(floor.resident_mb)} + '
            f'{format_number(figures.entry_count * link_mb)} MB',
            floor.resident_mb + figures.entry_count * link_mb,
            'MB',
            LIMITS.memory_mb,
        ),
    ]


def _agent_work(figures: DerivedFigures) -> list[PageRow]:
    task_cpu_ms = figures.slope('agent.job.cpu')
    starts_per_s = figures.task_starts_per_agent
    return [
        PageRow(
            'task starts',
            f'{format_number(design_load.TASK_STARTS_PER_S)} / {design_load.WORKERS}',
            starts_per_s,
            'starts/s',
        ),
        PageRow(
            'work: processor time, the HTTP call to the target included',
            f'{format_number(starts_per_s)}/s x {format_number(task_cpu_ms)} ms',
            starts_per_s * task_cpu_ms / KILO,
            'cores',
        ),
        PageRow(
            'work: start records in the retention of keys',
            f'{format_number(starts_per_s)}/s x {design_load.KEY_RETENTION_S} s',
            starts_per_s * design_load.KEY_RETENTION_S,
            'records',
            MAX_TASK_RECORDS,
        ),
    ]
