"""Linear regression by least squares through measured points."""

from collections.abc import Sequence
from typing import Final

import msgspec
import numpy as np

MIN_POINTS: Final = 3


class Point(msgspec.Struct, frozen=True, array_like=True):
    """One measurement: a size and the value measured at this size."""

    size: float
    value: float


class Fit(msgspec.Struct, frozen=True):
    """A line fitted to measured points.

    :param slope: growth of the value per unit of size.
    :param intercept: value at size 0.
    :param standard_error: standard error of the slope.
    """

    slope: float
    intercept: float
    standard_error: float = msgspec.field(name='spread')


def fit_line(points: Sequence[Point]) -> Fit:
    """Fit a line by ordinary least squares.

    :param points: at least three, not all of the same size.
    :raises ValueError: when there are fewer than three points.

    >>> fit = fit_line([Point(1, 3), Point(2, 5), Point(4, 9)])
    >>> round(fit.slope, 6), round(fit.intercept, 6), round(fit.standard_error, 6)
    (2.0, 1.0, 0.0)
    """
    if len(points) < MIN_POINTS:
        raise ValueError(f'a linear fit needs {MIN_POINTS} or more points')
    sizes = np.array([point.size for point in points])
    values = np.array([point.value for point in points])
    design_matrix = np.column_stack((sizes, np.ones_like(sizes)))
    slope, intercept = np.linalg.lstsq(design_matrix, values, rcond=None)[0]
    residuals = values - design_matrix @ np.array((slope, intercept))
    degrees_of_freedom = len(points) - 2
    variance = float(residuals @ residuals) / degrees_of_freedom
    squared_deviations = float(((sizes - sizes.mean()) ** 2).sum())
    return Fit(float(slope), float(intercept), (variance / squared_deviations) ** 0.5)
