"""What an entry tells operators about itself: the answer of ``/v1/status``."""

import msgspec


class TargetStatus(msgspec.Struct, frozen=True):
    """A target as one entry sees it.

    :param agent: name of the agent beside it.
    :param service: pool that it announced.
    :param state: ``open``, ``leaving``, ``closed`` or ``ejected``.
    :param running: tasks at the target, by its last heartbeat.
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
    """Work of one pool of targets at one entry.

    :param service: name of the pool.
    :param waiting: tasks that wait for a slot.
    :param running: tasks sent and not answered.
    """

    service: str
    waiting: int
    running: int


class EntryStatus(msgspec.Struct, frozen=True):
    """One entry with what it sees of the others.

    :param state: ``open``, ``leaving`` or why it is not ready.
    :param version: version of the operators' text in force.
    :param platform: whether the table service answers.
    :param shards: shards that the entry owns.
    :param entries: ``host:port`` of every entry that it knows, itself included.
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
        """How many targets take work."""
        return sum(target.state == 'open' for target in self.targets)
