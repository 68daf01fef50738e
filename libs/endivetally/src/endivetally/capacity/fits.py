"""Straight lines through measured points, by least squares."""

from collections.abc import Sequence
from typing import Final

import msgspec
import numpy as np

MIN_POINTS: Final = 3


class Point(msgspec.Struct, frozen=True, array_like=True):
    """One measurement: a size and what was measured there."""

    size: float
    value: float


class Fit(msgspec.Struct, frozen=True):
    """A line through points.

    :param slope: growth of the value for each unit of size.
    :param intercept: value at size 0.
    :param standard_error: standard error of the slope.
    """

    slope: float
    intercept: float
    standard_error: float = msgspec.field(name='spread')


def fit_line(points: Sequence[Point]) -> Fit:
    """Fit a line.

    :param points: at least three, of different sizes.

    >>> fit = fit_line([Point(1, 3), Point(2, 5), Point(4, 9)])
    >>> round(fit.slope, 6), round(fit.intercept, 6), round(fit.standard_error, 6)
    (2.0, 1.0, 0.0)
    """
    if len(points) < MIN_POINTS:
        raise ValueError(f'a fit needs {MIN_POINTS} points')
    sizes = np.array([point.size for point in points])
    measured = np.array([point.value for point in points])
    design = np.column_stack((sizes, np.ones_like(sizes)))
    slope, intercept = np.linalg.lstsq(design, measured, rcond=None)[0]
    residuals = measured - design @ np.array((slope, intercept))
    freedom = len(points) - 2
    variance = float(residuals @ residuals) / freedom
    scatter = float(((sizes - sizes.mean()) ** 2).sum())
    return Fit(float(slope), float(intercept), (variance / scatter) ** 0.5)
