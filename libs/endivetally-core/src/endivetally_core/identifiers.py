"""Incarnation names of processes, sharding of keys and rendezvous hashing."""

import secrets
from collections.abc import Iterable
from typing import Final

import xxhash

# Number of entries that receive the heartbeats of each agent.
WATCHERS_PER_AGENT: Final = 2
# Random bytes in an incarnation; 16 hexadecimal digits.
_INCARNATION_BYTES = 8


def new_incarnation(name: str) -> str:
    """Return a unique name for one run of a process.

    :param name: configured name of the process.
    """
    return f'{name}.{secrets.token_hex(_INCARNATION_BYTES)}'


def process_name(incarnation: str) -> str:
    """Return the configured name of the process that an incarnation belongs to.

    >>> process_name('entry-1.00ff')
    'entry-1'
    """
    return incarnation.rpartition('.')[0]


def shard_of(team: str, key: str, shard_count: int) -> int:
    """Return the shard of a caller's key, by a hash that is equal in every process.

    :param team: team of the caller.
    :param shard_count: number of shards; they are numbered from 0.
    """
    return xxhash.xxh3_64_intdigest(f'{team}\0{key}'.encode()) % shard_count


def rank_by_rendezvous(subject: str, names: Iterable[str]) -> list[str]:
    """Rank names for a subject by rendezvous hashing, highest weight first.

    >>> rank_by_rendezvous('shard-1', ['a', 'b']) == rank_by_rendezvous(
    ...     'shard-1', ['b', 'a']
    ... )
    True
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{subject}\0{name}'.encode()),
        reverse=True,
    )


def select_watchers(agent: str, entries: Iterable[str]) -> list[str]:
    """Choose the entries that receive the heartbeats of an agent.

    :param agent: name of the agent.
    :param entries: incarnations of the entries that the agent is linked to.

    >>> len(select_watchers('agent-1', ['a', 'b', 'c', 'd']))
    2
    """
    return rank_by_rendezvous(agent, entries)[:WATCHERS_PER_AGENT]
