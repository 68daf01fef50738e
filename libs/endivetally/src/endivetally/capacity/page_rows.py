"""Table rows of the capacity page, each with a quantity and its limit."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

HEADER: Final = (
    '| quantity | arithmetic | result | limit | |\n| --- | --- | --- | --- | --- |'
)


@dataclass(frozen=True, slots=True)
class PageRow:
    """One quantity, computed for the design load.

    :param quantity: name of the quantity.
    :param arithmetic: formula with the figures filled in.
    :param amount: result of the formula.
    :param unit: unit of the amount and of the limit.
    :param limit: highest permitted amount; ``None`` when there is no limit.
    """

    quantity: str
    arithmetic: str
    amount: float
    unit: str
    limit: float | None = None

    @property
    def limit_ratio(self) -> float:
        """The amount divided by its limit; 0 when there is no limit."""
        return self.amount / self.limit if self.limit else 0

    @property
    def is_within_limit(self) -> bool:
        """Whether the amount is at most its limit, or has none."""
        return self.limit_ratio <= 1


def format_number(amount: float) -> str:
    """Format a number with three significant digits.

    From 100 on, it is rounded to an integer with thousands separators.

    >>> [format_number(amount) for amount in (71000, 0.22164, 12.345, 0)]
    ['71,000', '0.222', '12.3', '0']
    """
    if not amount:
        return '0'
    if abs(amount) >= 100:
        return f'{amount:,.0f}'
    return f'{amount:.3g}'


def render_table(rows: Iterable[PageRow]) -> str:
    """Return the rows as a Markdown table with a header."""
    return '\n'.join([HEADER, *(_render_row(row) for row in rows)])


def _render_row(row: PageRow) -> str:
    limit = '' if row.limit is None else f'{format_number(row.limit)} {row.unit}'
    comparison = ''
    if row.limit is not None:
        comparison = (
            'fits' if row.is_within_limit else f'**{row.limit_ratio:.1f} times over**'
        )
    amount = f'{format_number(row.amount)} {row.unit}'
    return f'| {row.quantity} | {row.arithmetic} | {amount} | {limit} | {comparison} |'
