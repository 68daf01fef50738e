"""Unique names for starts of a process, and stable hashes of keys."""

import secrets
from collections.abc import Iterable
from typing import Final

import xxhash

WATCHERS_PER_AGENT: Final = 2
_INCARNATION_BYTES = 8


def new_incarnation(name: str) -> str:
    """Return a name for one start of a process, never used before.

    :param name: the configured name of the process.
    """
    return f'{name}.{secrets.token_hex(_INCARNATION_BYTES)}'


def process_name(incarnation: str) -> str:
    """Return the configured name behind an incarnation.

    >>> process_name('entry-1.00ff')
    'entry-1'
    """
    return incarnation.rpartition('.')[0]


def shard_of(team: str, key: str, shards: int) -> int:
    """Return the shard of a caller's key, from 0 below ``shards``."""
    return xxhash.xxh3_64_intdigest(f'{team}\0{key}'.encode()) % shards


def rank_by_rendezvous(subject: str, names: Iterable[str]) -> list[str]:
    """Order names by highest random weight for a subject.

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
    """Return the entries to which an agent sends its heartbeats.

    :param agent: name of the agent.
    :param entries: incarnations of the entries that it is linked to.

    >>> len(select_watchers('agent-1', ['a', 'b', 'c', 'd']))
    2
    """
    return rank_by_rendezvous(agent, entries)[:WATCHERS_PER_AGENT]
