"""Report of a soak test."""

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class SoakReport:
    """Result of one or more seeds.

    :param faults: number of injected faults by name.
    :param requests: number of calls by result.
    :param violations: broken guarantees, each with its seed.
    """

    seeds: list[int] = field(default_factory=list)
    faults: dict[str, int] = field(default_factory=dict)
    requests: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def add(self, other: 'SoakReport') -> None:
        """Add the result of other seeds."""
        self.seeds.extend(other.seeds)
        self.violations.extend(other.violations)
        for own_counts, other_counts in (
            (self.faults, other.faults),
            (self.requests, other.requests),
        ):
            for name, count in other_counts.items():
                own_counts[name] = own_counts.get(name, 0) + count

    def as_dict(self) -> dict[str, object]:
        """Return the report as a dictionary that can be encoded as JSON."""
        return asdict(self)
