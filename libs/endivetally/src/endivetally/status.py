"""Renders the status of an entry as tables for the terminal."""

from endivetally_core.status import EntryStatus
from endivetally_core.status import ServiceStatus
from endivetally_core.status import TargetStatus
from rich.console import Group
from rich.console import RenderableType
from rich.table import Table
from rich.text import Text


def render_status(status: EntryStatus) -> RenderableType:
    """Render the state of an entry, the load of its pools and its targets."""
    platform = 'answers' if status.platform else 'does not answer'
    return Group(
        Text(f'{status.name} in {status.data_centre}: {status.state}'),
        Text(f'configuration version {status.version}, table service {platform}'),
        Text(f'{status.shards} shards, entries: {", ".join(status.entries)}'),
        _render_services(status.services),
        _render_targets(status.targets),
    )


def _render_services(services: list[ServiceStatus]) -> Table:
    table = Table('pool', 'waiting', 'running')
    for service in sorted(services, key=lambda each: each.service):
        table.add_row(service.service, str(service.waiting), str(service.running))
    return table


def _render_targets(targets: list[TargetStatus]) -> Table:
    table = Table('target', 'pool', 'data centre', 'rack', 'state', 'slots', 'MB')
    for target in sorted(targets, key=lambda each: each.agent):
        table.add_row(
            target.agent,
            target.service,
            target.data_centre,
            target.rack,
            target.state,
            f'{target.running}/{target.slots}',
            str(target.memory_mb),
        )
    return table
