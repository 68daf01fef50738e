"""Lines of the entry and of the agent."""

from endivetally_agent.records import MAX_TASK_RECORDS

from endivetally.capacity import design_load
from endivetally.capacity.figures import MS_PER_S
from endivetally.capacity.figures import Figures
from endivetally.capacity.figures import wire_bytes
from endivetally.capacity.limits import LIMITS
from endivetally.capacity.page_rows import Line
from endivetally.capacity.page_rows import number


def entry_count_lines(figures: Figures) -> list[Line]:
    """Compute how many entries are needed."""
    return [
        Line(
            'cores that dispatch keeps busy',
            f'{number(design_load.STARTS_PER_S)}/s x {number(figures.task_ms)} ms + '
            f'{number(figures.jobs_per_s)} jobs/s x {number(figures.job_ms)} ms',
            figures.busy_cores,
            'cores',
        ),
        Line(
            'entries, one core each',
            f'{number(figures.busy_cores)} / {design_load.BUSY_SHARE}, rounded up to '
            f'{design_load.DATA_CENTRES} data centres',
            figures.entries,
            'entries',
        ),
        Line(
            'load of an entry after the loss of a data centre',
            f'{number(figures.busy_cores)} / {number(figures.entries)} x '
            f'{design_load.DATA_CENTRES}/{design_load.DATA_CENTRES - 1}',
            figures.busy_cores
            / figures.entries
            * design_load.DATA_CENTRES
            / (design_load.DATA_CENTRES - 1),
            'cores',
            1,
        ),
        Line(
            'load of the entry with the most shards, over the average',
            'rendezvous of 64 shards over the entries',
            figures.largest_shard_share,
            'times',
            1 / design_load.BUSY_SHARE,
        ),
    ]


def entry_lines(figures: Figures) -> list[Line]:
    """Compute state, messages, processor time and memory of one entry."""
    return [*_entry_control(figures), *_entry_memory(figures)]


def _entry_control(figures: Figures) -> list[Line]:
    watched, peers = figures.watched, figures.peers
    per_agent = figures.slope('entry.control.frames')
    per_peer = figures.slope('entry.peers.frames')
    frames = watched * per_agent + peers * per_peer
    agent_bytes = figures.slope('entry.control.bytes')
    peer_bytes = figures.slope('entry.peers.bytes')
    usage = figures.slope('message.entry_state') * design_load.TEAMS
    beats = wire_bytes(watched * agent_bytes + peers * peer_bytes, frames)
    reports = 2 * peers * usage
    cpu = watched * figures.slope('entry.control.cpu')
    cpu += peers * figures.slope('entry.peers.cpu')
    return [
        Line(
            'links',
            f'{design_load.WORKERS} agents + {peers} entries',
            design_load.WORKERS + peers,
            'links',
        ),
        Line(
            'control frames, both ways',
            f'{number(watched)} watched agents x {number(per_agent)} + {peers} '
            f'entries x {number(per_peer)}',
            frames,
            'frames/s',
        ),
        Line(
            'control bytes: heartbeats with all headers',
            f'{number(watched)} x {number(agent_bytes)} + {peers} x '
            f'{number(peer_bytes)} + {number(frames)} frames x 112',
            beats,
            'bytes/s',
            LIMITS.bytes_per_s,
        ),
        Line(
            "control bytes: teams' demand in heartbeats between entries",
            f'2 x {peers} x {design_load.TEAMS} teams x '
            f'{number(figures.slope("message.entry_state"))} bytes',
            reports,
            'bytes/s',
            LIMITS.bytes_per_s,
        ),
        Line(
            'control processor time',
            f'{number(watched)} x {number(figures.slope("entry.control.cpu"))} ms/s + '
            f'{peers} x {number(figures.slope("entry.peers.cpu"))} ms/s',
            cpu / MS_PER_S,
            'cores',
            LIMITS.cpu_share,
        ),
    ]


def _entry_memory(figures: Figures) -> list[Line]:
    floor = figures.recording.floor('entry')
    agents = design_load.WORKERS * figures.slope('entry.control.private')
    peers = figures.peers * figures.slope('entry.peers.private')
    keys = figures.jobs_per_s * design_load.KEY_RETENTION_S / figures.entries
    open_tasks = design_load.WORKERS * design_load.SLOTS_PER_WORKER / figures.entries
    key_kb = figures.slope('entry.notes.memory')
    task_kb = figures.slope('entry.open.memory')
    return [
        Line(
            'memory that control adds',
            f'{design_load.WORKERS} x {number(figures.slope("entry.control.private"))} MB + '
            f'{figures.peers} x {number(figures.slope("entry.peers.private"))} MB',
            agents + peers,
            'MB',
            LIMITS.memory_mb,
        ),
        Line(
            'floor and control, private memory',
            f'{number(floor.private_mb)} + {number(agents + peers)} MB',
            floor.private_mb + agents + peers,
            'MB',
            LIMITS.memory_mb,
        ),
        Line(
            'work: remembered keys',
            f'{number(figures.jobs_per_s)} jobs/s x {design_load.KEY_RETENTION_S} s / '
            f'{figures.entries} x {number(key_kb)} kB',
            keys * key_kb / MS_PER_S,
            'MB',
        ),
        Line(
            'work: tasks in progress',
            f'{design_load.WORKERS} x {design_load.SLOTS_PER_WORKER} slots / {figures.entries} '
            f'x {number(task_kb)} kB',
            open_tasks * task_kb / MS_PER_S,
            'MB',
        ),
    ]


def agent_lines(figures: Figures) -> list[Line]:
    """Compute state, messages, processor time and memory of one agent."""
    return [*_agent_control(figures), *_agent_work(figures)]


def _agent_control(figures: Figures) -> list[Line]:
    floor = figures.recording.floor('agent')
    frames = figures.last('agent.control.frames')
    frame_bytes = figures.last('agent.control.bytes')
    # A slope below zero is scatter.
    slope = max(figures.slope('agent.control.cpu'), 0)
    base = figures.intercept('agent.control.cpu')
    link_mb = figures.slope('agent.control.private')
    return [
        Line('links', f'{figures.entries} entries', figures.entries, 'links'),
        Line(
            'control frames, both ways',
            'as measured at 16 entries; two of them watch',
            frames,
            'frames/s',
        ),
        Line(
            'control bytes with all headers',
            f'{number(frame_bytes)} + {number(frames)} frames x 112',
            wire_bytes(frame_bytes, frames),
            'bytes/s',
            LIMITS.bytes_per_s,
        ),
        Line(
            'idle processor time, announcements of the target included',
            f'{number(base)} ms/s + {figures.entries} x {number(slope)} ms/s',
            (base + figures.entries * slope) / MS_PER_S,
            'cores',
            LIMITS.cpu_share,
        ),
        Line(
            'memory that control adds',
            f'{figures.entries} x {number(link_mb)} MB',
            figures.entries * link_mb,
            'MB',
            LIMITS.memory_mb,
        ),
        Line(
            'floor and control, private memory',
            f'{number(floor.private_mb)} + {number(figures.entries * link_mb)} MB',
            floor.private_mb + figures.entries * link_mb,
            'MB',
            LIMITS.memory_mb,
        ),
        Line(
            'floor and control, resident memory with shared pages',
            f'{number(floor.resident_mb)} + {number(figures.entries * link_mb)} MB',
            floor.resident_mb + figures.entries * link_mb,
            'MB',
            LIMITS.memory_mb,
        ),
    ]


def _agent_work(figures: Figures) -> list[Line]:
    task_ms = figures.slope('agent.job.cpu')
    starts = figures.starts_per_agent
    return [
        Line(
            'task starts',
            f'{number(design_load.STARTS_PER_S)} / {design_load.WORKERS}',
            starts,
            'starts/s',
        ),
        Line(
            'work: processor time, the HTTP call to the target included',
            f'{number(starts)}/s x {number(task_ms)} ms',
            starts * task_ms / MS_PER_S,
            'cores',
        ),
        Line(
            'work: start records in the retention of keys',
            f'{number(starts)}/s x {design_load.KEY_RETENTION_S} s',
            starts * design_load.KEY_RETENTION_S,
            'records',
            MAX_TASK_RECORDS,
        ),
    ]
