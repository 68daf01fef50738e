"""What a soak found."""

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class SoakReport:
    """Result of one or more seeds.

    :param faults: faults played, by name.
    :param requests: calls by their ends.
    :param violations: broken promises, each with its seed.
    """

    seeds: list[int] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)
    requests: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def add(self, other: 'SoakReport') -> None:
        """Add the result of other seeds."""
        self.seeds.extend(other.seeds)
        self.violations.extend(other.violations)
        for mine, theirs in (
            (self.faults, other.faults),
            (self.requests, other.requests),
        ):
            for name, count in theirs.items():
                mine[name] = mine.get(name, 0) + count

    def as_dict(self) -> dict[str, object]:
        """Return the report for JSON."""
        return asdict(self)
