"""Reads and writes the file of recorded slopes."""

from collections.abc import Sequence
from pathlib import Path

import msgspec

from endivetally.capacity.fits import Fit
from endivetally.capacity.fits import Point
from endivetally.capacity.fits import fit_line


class Slope(msgspec.Struct, frozen=True):
    """Growth of one measured quantity with one size, such as the number of agents.

    :param name: identifier of the quantity in the file and on the page.
    :param unit: unit of the measured values.
    :param per: what the size counts.
    :param run: name of the measurement that produced the points.
    :param points: measured values, in the order of measurement.
    :param fit: line that was fitted to the points.
    """

    name: str
    unit: str
    per: str
    run: str
    points: list[Point]
    fit: Fit


class MemoryFloor(msgspec.Struct, frozen=True):
    """Memory of an interpreter that has only imported modules.

    :param name: name of the group of imports.
    :param resident_mb: resident memory, including shared pages.
    :param private_mb: resident memory that is not shared with other processes.
    """

    name: str
    resident_mb: float
    private_mb: float


class Recording(msgspec.Struct, frozen=True):
    """All measurements that the capacity page is computed from.

    :param recorded: date and time of the measurement in UTC.
    :param machine: number of processors and version of the interpreter.
    :param slopes: measured growth of each quantity.
    :param floors: memory of the interpreter for each group of imports.
    """

    recorded: str
    machine: str
    slopes: list[Slope]
    floors: list[MemoryFloor]

    def slope(self, name: str) -> Slope:
        """Return the slope with this name.

        :raises KeyError: when it was not recorded.
        """
        return {slope.name: slope for slope in self.slopes}[name]

    def floor(self, name: str) -> MemoryFloor:
        """Return the memory floor with this name.

        :raises KeyError: when it was not recorded.
        """
        return {floor.name: floor for floor in self.floors}[name]


def make_slope(
    name: str, unit: str, per: str, run: str, points: Sequence[Point]
) -> Slope:
    """Fit a line to measured points; the parameters are the fields of `Slope`.

    :param points: at least three, not all of the same size.
    :raises ValueError: when there are fewer than three points.
    """
    return Slope(name, unit, per, run, list(points), fit_line(points))


def load_recording(path: Path) -> Recording:
    """Read a recording from a JSON file."""
    return msgspec.json.decode(path.read_bytes(), type=Recording)


def encode_recording(recording: Recording) -> str:
    """Encode a recording as indented JSON that ends in a newline."""
    encoded = msgspec.json.format(msgspec.json.encode(recording), indent=1)
    return f'{encoded.decode()}\n'
