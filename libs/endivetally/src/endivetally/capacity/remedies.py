"""Remedies for the quantities that exceed their limits."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

NO_REMEDY: Final = 'no remedy is written down yet'

# Keyed by the beginning of the name of a quantity.
REMEDIES: Final[Mapping[str, str]] = MappingProxyType(
    {
        'load of the entry with the most shards': (
            'more shards: the spread of 64 over this many entries is uneven; with '
            '1,024 shards the map grows to about 30 kB'
        ),
        'control bytes: heartbeats': (
            'heartbeats of entries to a few peers as agents do it, or one in 2 s'
        ),
        "control bytes: teams' demand": (
            'demand by number of the team in place of its name, every 5 s, with a '
            'longer life of a report in the quotas'
        ),
        'control processor time': (
            'a transport cheaper for each frame than a pynng pair socket'
        ),
        'memory that control adds': (
            'links of an agent to some of the entries only, with relayed recalls; '
            'or a transport without a socket, listener and two buffers for each link'
        ),
        'floor and control, private': (
            'the floor is the interpreter and its libraries; a transport on '
            "asyncio's own streams saves pynng, metrics in text without "
            'aioprometheus save orjson'
        ),
        'floor and control, resident': (
            'shared pages are counted once for each process; the target and the '
            'agent share those of the interpreter when it is the same'
        ),
        'idle processor time': (
            'the lease check ten times a second and the announcement each second '
            'over HTTP; an announcement only on change, with a heartbeat'
        ),
        'work: start records': (
            'the agent keeps fewer records than the retention needs, names of '
            'older ones are refused as expired: shorter retention of idempotent '
            'records, or records by request with bit sets'
        ),
        'journal writes': (
            'built after this measurement: each entry keeps within its share of '
            'the writes and groups what gathers meanwhile, which trades response '
            'time for writes; not measured at this size'
        ),
        'processor time of one replaced entry': (
            'spread joins over a time that grows with the number of agents'
        ),
    },
)


def find_remedy(quantity: str) -> str:
    """Return the remedy for a quantity, or `NO_REMEDY` when none is known.

    :param quantity: name of the quantity on the page.

    >>> find_remedy('journal writes, all work in jobs of 10 tasks')[:11]
    'built after'
    """
    for prefix, remedy in REMEDIES.items():
        if quantity.startswith(prefix):
            return remedy
    return NO_REMEDY
