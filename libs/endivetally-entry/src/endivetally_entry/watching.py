"""Which agents send their heartbeats to this entry."""

from collections.abc import Iterable
from collections.abc import Mapping

from endivetally_core.identifiers import watchers_of


class Watching:
    """Agents that this entry watches, and since when.

    An agent sends heartbeats to few of the entries. The others hear from it
    only when it works for them, and learn of its silence from its watchers.

    :param incarnation: incarnation of this entry.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._entries: frozenset[str] = frozenset()
        self._known: dict[str, float | None] = {}

    def refresh(
        self,
        entries: Iterable[str],
        agents: Mapping[str, str],
        now: float,
    ) -> dict[str, float]:
        """Return the watched agents' incarnations with the start of the watch.

        :param entries: incarnations of the linked entries, this one included.
        :param agents: names of the known agents by incarnation.
        """
        current = frozenset(entries)
        if current != self._entries:
            self._entries = current
            self._rank_again(agents, now)
        for incarnation in self._known.keys() - agents.keys():
            self._known.pop(incarnation)
        for incarnation in agents.keys() - self._known.keys():
            watched = self._is_watcher_of(agents[incarnation])
            self._known[incarnation] = now if watched else None
        return {name: since for name, since in self._known.items() if since is not None}

    def _rank_again(self, agents: Mapping[str, str], now: float) -> None:
        for incarnation, since in list(self._known.items()):
            name = agents.get(incarnation)
            if name is None or not self._is_watcher_of(name):
                self._known[incarnation] = None
            elif since is None:
                self._known[incarnation] = now

    def _is_watcher_of(self, agent: str) -> bool:
        return self._incarnation in watchers_of(agent, self._entries)
