"""Ledger of start credits: how the entries share the slots of one target.

The ledger keeps ``running + unused credits <= slots``, but for tasks that borrow
a slot for which another entry holds an unused credit. It decides only; the caller
sends the orders that it returns.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

# Periods after which a report of waiting tasks is out of date; longer than a
# revocation takes to be overdue.
WAITING_PERIODS: Final = 2


@dataclass(frozen=True, slots=True)
class CreditOrder:
    """What to tell one entry.

    :param grant: credits to give with `Grant`.
    :param revoke: credits to ask back with `Revoke`.
    """

    entry: str
    grant: int = 0
    revoke: int = 0


@dataclass(slots=True)
class Holding:
    """State of one linked entry.

    :param credits: granted and not yet used or given back.
    :param running: its tasks that hold a slot by a credit.
    :param borrowed: its other tasks at the target.
    :param waiting: tasks that wait there, as it said last, less later grants.
    :param waiting_age: periods since it said so.
    :param revoking: credits that it was asked to give back.
    :param void: credits that the ledger took without waiting for an answer.
    :param overdue: the revocation was already unanswered one period ago.
    """

    credits: int = 0
    running: int = 0
    borrowed: int = 0
    waiting: int = 0
    waiting_age: int = 0
    revoking: int = 0
    void: int = 0
    overdue: bool = False

    @property
    def share(self) -> int:
        """Slots that it uses or may use."""
        return self.credits + self.running

    @property
    def idle(self) -> int:
        """Credits that can be asked back: nobody waits for a slot there."""
        return 0 if self.waiting else max(self.credits - self.revoking, 0)

    def report_waiting(self, waiting: int) -> None:
        """Take in how many tasks wait there."""
        self.waiting = waiting
        self.waiting_age = 0

    def expire_waiting(self) -> None:
        """Forget waiting tasks beside unused credits, unless reported lately."""
        self.waiting_age += 1
        if self.credits and self.waiting_age > WAITING_PERIODS:
            self.waiting = 0


@dataclass(slots=True)
class SlotLedger:
    """Slots, running tasks and credits of one target."""

    slots: int = 0
    running: int = 0
    borrowed: int = 0
    _holdings: dict[str, Holding] = field(default_factory=dict)

    @property
    def unused_credits(self) -> int:
        """Credits at entries."""
        return sum(holding.credits for holding in self._holdings.values())

    @property
    def free(self) -> int:
        """Slots that are neither running nor granted."""
        held = self.running - self.borrowed + self.unused_credits
        return max(self.slots - held, 0)

    @property
    def holders_in_need(self) -> list[str]:
        """Entries with credits that they do not use while their tasks wait."""
        return [
            entry
            for entry, holding in self._holdings.items()
            if holding.credits and holding.waiting
        ]

    def credits_of(self, entry: str) -> int:
        """Return the unused credits of an entry."""
        return self._holdings[entry].credits if entry in self._holdings else 0

    def others(self, entry: str) -> int:
        """Return the tasks of other entries."""
        holding = self._holdings.get(entry, Holding())
        return max(self.running - holding.running - holding.borrowed, 0)

    def resize(self, slots: int) -> list[CreditOrder]:
        """Set the number of slots; closing (0) voids all credits."""
        if slots == self.slots:
            return []
        if slots < self.slots:
            for holding in self._holdings.values():
                _forget_credits(holding)
        self.slots = slots
        return self._share_free()

    def attach(self, entry: str) -> list[CreditOrder]:
        """Add an entry and give it a fair part of what is free or idle."""
        self._holdings[entry] = Holding()
        orders = self._share_free()
        missing = self.slots // len(self._holdings) - self.credits_of(entry)
        return orders + self._revoke_idle(missing, entry, self._fair_share())

    def detach(self, entry: str) -> list[CreditOrder]:
        """Take an entry's credits back when its link has ended."""
        self._holdings.pop(entry, None)
        return self._share_free()

    def start(
        self, entry: str, waiting: int, *, borrowed: bool = False
    ) -> list[CreditOrder]:
        """Count a task that starts, or waits here to start.

        :param waiting: tasks that still wait at the sender.
        :param borrowed: it uses no credit.
        """
        orders: list[CreditOrder] = []
        if borrowed:
            self._borrow(entry, 1)
            return orders
        if not self._use_credit(entry, waiting) and self.free == 0:
            orders = self._take_one()
        self.running += 1
        self._holdings.get(entry, Holding()).running += 1
        return orders

    def refuse(self, entry: str, waiting: int, *, withhold: bool = False) -> str:
        """Count a refused dispatch and return who gets its credit, or ''.

        :param withhold: leave the slot free until the next change, since the
            same dispatch would be refused again.
        """
        if self._use_credit(entry, waiting) and not withhold:
            return self._pass_on(entry)
        return ''

    def finish(self, entry: str, *, borrowed: bool = False) -> str:
        """Count the end of a task.

        :param entry: the entry that dispatched it.
        :return: the entry that gets the slot as a credit, or ''.
        """
        if borrowed:
            self._borrow(entry, -1)
            return ''
        self.running -= 1
        holding = self._holdings.get(entry, Holding())
        holding.running = max(holding.running - 1, 0)
        return self._pass_on(entry)

    def demand(self, entry: str, waiting: int) -> list[CreditOrder]:
        """Handle an entry whose tasks wait without a credit."""
        holding = self._holdings.get(entry)
        if holding is None:
            return []
        holding.report_waiting(waiting)
        orders = self._share_free()
        coming = sum(other.revoking for other in self._holdings.values())
        return orders + self._revoke_idle(holding.waiting - coming, entry, 0)

    def awaits_return(self, entry: str) -> bool:
        """Whether the entry was asked to give credits back."""
        holding = self._holdings.get(entry, Holding())
        return holding.revoking > 0 or holding.void > 0

    def expire_reports(self) -> list[CreditOrder]:
        """Take credits whose revocation stays unanswered; called periodically.

        Reports of waiting tasks that were not renewed are forgotten as well, so
        that idle credits do not stay with an entry whose tasks went elsewhere.
        """
        for holding in self._holdings.values():
            holding.expire_waiting()
            if holding.overdue:
                taken = min(holding.revoking, holding.credits)
                holding.credits -= taken
                holding.void += taken
                holding.revoking = 0
            holding.overdue = holding.revoking > 0
        return self._share_free()

    def give_back(self, entry: str, credits_back: int) -> list[CreditOrder]:
        """Handle an entry's answer to a revocation."""
        holding = self._holdings.get(entry)
        if holding is None:
            return []
        counted = max(credits_back - holding.void, 0)
        holding.credits = max(holding.credits - counted, 0)
        holding.revoking = 0
        holding.void = 0
        holding.overdue = False
        return self._share_free()

    def _borrow(self, entry: str, count: int) -> None:
        self.running += count
        self.borrowed += count
        holding = self._holdings.get(entry, Holding())
        holding.borrowed = max(holding.borrowed + count, 0)

    def _fair_share(self) -> int:
        return -(-self.slots // len(self._holdings))

    def _use_credit(self, entry: str, waiting: int) -> bool:
        holding = self._holdings.get(entry)
        if holding is None:
            return False
        holding.report_waiting(waiting)
        if holding.credits:
            holding.credits -= 1
            return True
        holding.void = max(holding.void - 1, 0)
        return False

    def _pass_on(self, previous: str) -> str:
        if not self.free or not self._holdings:
            return ''
        receiver = previous
        if previous not in self._holdings:
            receiver = self._most_waiting()
        elif self._holdings[previous].share >= self._fair_share():
            receiver = self._below_share() or previous
        self._grant(receiver)
        return receiver

    def _below_share(self) -> str:
        least = min(self._holdings, key=self._share_of)
        even = self.slots // len(self._holdings)
        return least if self._share_of(least) < even else ''

    def _share_of(self, entry: str) -> int:
        return self._holdings[entry].share

    def _grant(self, entry: str) -> None:
        holding = self._holdings[entry]
        holding.credits += 1
        holding.waiting = max(holding.waiting - 1, 0)

    def _most_waiting(self) -> str:
        return min(self._holdings, key=self._precedence)

    def _precedence(self, entry: str) -> tuple[int, int]:
        holding = self._holdings[entry]
        return -holding.waiting, holding.share

    def _share_free(self) -> list[CreditOrder]:
        granted: dict[str, int] = {}
        while self._holdings and self.free:
            receiver = self._most_waiting()
            self._grant(receiver)
            granted[receiver] = granted.get(receiver, 0) + 1
        return [CreditOrder(entry, grant=number) for entry, number in granted.items()]

    def _revoke_idle(self, wanted: int, entry: str, keep: int) -> list[CreditOrder]:
        orders: list[CreditOrder] = []
        for other, holding in self._holdings.items():
            revoked = min(holding.idle - keep, wanted)
            if other != entry and revoked > 0:
                holding.revoking += revoked
                wanted -= revoked
                orders.append(CreditOrder(other, revoke=revoked))
        return orders

    def _take_one(self) -> list[CreditOrder]:
        holder = max(self._holdings, key=self.credits_of, default='')
        if not self.credits_of(holder):
            return []
        holding = self._holdings[holder]
        holding.credits -= 1
        holding.void += 1
        return [CreditOrder(holder, revoke=1)]


def _forget_credits(holding: Holding) -> None:
    holding.credits = 0
    holding.revoking = 0
    holding.void = 0
