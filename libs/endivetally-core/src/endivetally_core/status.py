"""Response of ``/v1/status``: what an entry reports about itself to operators."""

import msgspec


class TargetStatus(msgspec.Struct, frozen=True):
    """State of one target as seen by an entry.

    :param agent: name of the target's agent.
    :param service: pool that the target announced.
    :param state: ``open``, ``leaving``, ``closed`` or ``ejected``.
    :param running: number of tasks that the target ran at the last heartbeat.
    :param slots: number of tasks that the target runs concurrently.
    :param memory_mb: resident memory that the target last reported, in megabytes.
    """

    agent: str
    service: str
    data_centre: str
    rack: str
    state: str
    running: int
    slots: int
    memory_mb: int = 0


class ServiceStatus(msgspec.Struct, frozen=True):
    """Task counts of one pool of targets at one entry.

    :param service: name of the pool.
    :param waiting: number of tasks that wait for a slot.
    :param running: number of tasks that were dispatched and have not ended.
    """

    service: str
    waiting: int
    running: int


class EntryStatus(msgspec.Struct, frozen=True):
    """State of one entry and its view of the other processes.

    :param state: ``open``, ``leaving`` or the reason why it is not ready.
    :param version: version of the configuration in use.
    :param platform: whether the table service responds.
    :param shards: number of shards that the entry owns.
    :param entries: ``host:port`` of every entry that it knows, including itself.
    """

    name: str
    incarnation: str
    data_centre: str
    state: str
    version: int
    platform: bool
    shards: int
    entries: list[str]
    services: list[ServiceStatus]
    targets: list[TargetStatus]

    @property
    def open_target_count(self) -> int:
        """Number of targets that accept work."""
        return sum(target.state == 'open' for target in self.targets)
