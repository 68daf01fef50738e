"""The file of recorded slopes."""

from collections.abc import Sequence
from pathlib import Path

import msgspec

from endivetally.capacity.fits import Fit
from endivetally.capacity.fits import Point
from endivetally.capacity.fits import fit_line


class Slope(msgspec.Struct, frozen=True):
    """How one quantity grows with one size.

    :param name: identifies the slope on the page.
    :param unit: unit of the value.
    :param per: what the size counts.
    :param run: the measurement that gave the points.
    """

    name: str
    unit: str
    per: str
    run: str
    points: list[Point]
    fit: Fit


class MemoryFloor(msgspec.Struct, frozen=True):
    """Memory of a process before any work.

    :param resident_mb: resident memory.
    :param private_mb: the part that no other process shares.
    """

    name: str
    resident_mb: float
    private_mb: float


class Recording(msgspec.Struct, frozen=True):
    """Everything that the capacity page is computed from.

    :param recorded: UTC date and time of the measurement.
    :param machine: processors and interpreter.
    """

    recorded: str
    machine: str
    slopes: list[Slope]
    floors: list[MemoryFloor]

    def slope(self, name: str) -> Slope:
        """Return the slope of that name.

        :raises KeyError: when it was not recorded.
        """
        return {slope.name: slope for slope in self.slopes}[name]

    def floor(self, name: str) -> MemoryFloor:
        """Return the floor of that name.

        :raises KeyError: when it was not recorded.
        """
        return {floor.name: floor for floor in self.floors}[name]


def make_slope(
    name: str, unit: str, per: str, run: str, points: Sequence[Point]
) -> Slope:
    """Fit points and name the result."""
    return Slope(name, unit, per, run, list(points), fit_line(points))


def load_recording(path: Path) -> Recording:
    """Read a file of slopes."""
    return msgspec.json.decode(path.read_bytes(), type=Recording)


def encode_recording(recording: Recording) -> str:
    """Return a recording as indented JSON."""
    encoded = msgspec.json.format(msgspec.json.encode(recording), indent=1)
    return f'{encoded.decode()}\n'
