"""Status of an entry as tables for the terminal."""

from collections.abc import Iterable

from endivetally_core.joining import EntryIdentity
from endivetally_core.status import AgentStatus
from endivetally_core.status import EntryStatus
from rich.console import Group
from rich.console import RenderableType
from rich.table import Table
from rich.text import Text


def render_status(status: EntryStatus) -> RenderableType:
    """Return the status of an entry for the terminal."""
    platform = 'answers' if status.platform_available else 'does not answer'
    return Group(
        Text(f'{status.entry.name} in {status.entry.data_centre}: {status.state}'),
        Text(f'text version {status.version}, table service {platform}'),
        Text(f'{status.in_progress} requests and bindings in progress'),
        _render_entries(status.entries),
        _render_agents(status.agents),
    )


def _render_entries(entries: Iterable[EntryIdentity]) -> Table:
    table = Table('entry', 'data centre', 'address', 'incarnation')
    for entry in sorted(entries, key=lambda each: each.name):
        table.add_row(
            entry.name,
            entry.data_centre,
            str(entry.address),
            entry.incarnation,
        )
    return table


def _render_agents(agents: Iterable[AgentStatus]) -> Table:
    table = Table(
        'agent',
        'service',
        'data centre',
        'rack',
        'state',
        'running',
        'credits',
    )
    for agent in sorted(agents, key=lambda each: each.name):
        table.add_row(
            agent.name,
            agent.service,
            agent.data_centre,
            agent.rack,
            _describe_state(agent),
            f'{agent.running}/{agent.slots}',
            str(agent.credits),
        )
    return table


def _describe_state(agent: AgentStatus) -> str:
    if agent.ejected:
        return f'{agent.state}, ejected'
    return agent.state if agent.admitted else f'{agent.state}, not admitted'
