"""Lines of the capacity page: a quantity with its arithmetic and its limit."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

HEADER: Final = (
    '| quantity | arithmetic | result | limit | |\n| --- | --- | --- | --- | --- |'
)


@dataclass(frozen=True, slots=True)
class PageRow:
    """One computed quantity.

    :param arithmetic: how it is computed, with the figures.
    :param limit: the most that it may be; ``None`` when nothing bounds it.
    """

    quantity: str
    arithmetic: str
    amount: float
    unit: str
    limit: float | None = None

    @property
    def limit_ratio(self) -> float:
        """The amount as a multiple of its limit, 0 without one."""
        return self.amount / self.limit if self.limit else 0

    @property
    def is_within_limit(self) -> bool:
        """Whether the amount is within its limit."""
        return self.limit_ratio <= 1


def format_number(amount: float) -> str:
    """Format a number with three digits, or more before the point.

    >>> [format_number(amount) for amount in (71000, 0.22164, 12.345, 0)]
    ['71,000', '0.222', '12.3', '0']
    """
    if not amount:
        return '0'
    if abs(amount) >= 100:
        return f'{amount:,.0f}'
    return f'{amount:.3g}'


def render_table(lines: Iterable[PageRow]) -> str:
    """Return lines as a Markdown table."""
    return '\n'.join([HEADER, *(_render(line) for line in lines)])


def _render(line: PageRow) -> str:
    limit = '' if line.limit is None else f'{format_number(line.limit)} {line.unit}'
    verdict = ''
    if line.limit is not None:
        verdict = (
            'fits' if line.is_within_limit else f'**{line.limit_ratio:.1f} times over**'
        )
    amount = f'{format_number(line.amount)} {line.unit}'
    return f'| {line.quantity} | {line.arithmetic} | {amount} | {limit} | {verdict} |'
