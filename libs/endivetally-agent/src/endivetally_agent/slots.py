"""Shares the slots of one target among the entries by means of start credits.

The allocator keeps ``running + unused credits <= slots``; borrowed tasks, which use a
slot for which another entry holds an unused credit, do not count. It only decides; the
caller sends the changes that it returns.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

# A report of waiting tasks is outdated after this many periods, which are the
# intervals between calls of `SlotAllocator.expire_overdue_revocations`. It is
# longer than it takes for an unanswered revocation to become overdue.
REPORT_VALID_PERIODS: Final = 2


@dataclass(frozen=True, slots=True)
class CreditChange:
    """Change of credits to send to one entry.

    :param grant: credits to grant with a `Grant`.
    :param revoke: credits to revoke with a `Revoke`.
    """

    entry: str
    grant: int = 0
    revoke: int = 0


@dataclass(slots=True)
class EntryCredits:
    """Credits and tasks of one linked entry.

    :param credits: granted and neither used nor returned yet.
    :param running: number of its tasks that occupy a slot through a credit.
    :param borrowed: number of its other tasks, which run or are queued here without
        a credit.
    :param waiting: number of tasks that wait at the entry, as last reported, less
        the credits granted since.
    :param report_age: periods since that report.
    :param revoking: credits that it was asked to return.
    :param voided: credits that the allocator withdrew without waiting for the entry
        to return them.
    :param overdue: the revocation was already unanswered one period ago.
    """

    credits: int = 0
    running: int = 0
    borrowed: int = 0
    waiting: int = 0
    report_age: int = 0
    revoking: int = 0
    voided: int = 0
    overdue: bool = False

    @property
    def claimed_slots(self) -> int:
        """Number of slots that it occupies or may occupy with its credits."""
        return self.credits + self.running

    @property
    def idle_credits(self) -> int:
        """Credits that may be revoked; 0 while tasks wait at the entry."""
        return 0 if self.waiting else max(self.credits - self.revoking, 0)

    def report_waiting(self, waiting: int) -> None:
        """Record how many tasks wait at the entry."""
        self.waiting = waiting
        self.report_age = 0

    def expire_waiting(self) -> None:
        """Clear an outdated report of waiting tasks if the entry has unused credits."""
        self.report_age += 1
        if self.credits and self.report_age > REPORT_VALID_PERIODS:
            self.waiting = 0


@dataclass(slots=True)
class SlotAllocator:
    """Slots, running tasks and start credits of one target."""

    slots: int = 0
    running: int = 0
    borrowed: int = 0
    _entries: dict[str, EntryCredits] = field(default_factory=dict)

    @property
    def unused_credits(self) -> int:
        """Number of credits that entries hold and have not used."""
        return sum(held.credits for held in self._entries.values())

    @property
    def free_slots(self) -> int:
        """Number of slots that are neither occupied nor granted as credits."""
        occupied = self.running - self.borrowed + self.unused_credits
        return max(self.slots - occupied, 0)

    @property
    def entries_with_starved_tasks(self) -> list[str]:
        """Entries that hold unused credits while their tasks wait."""
        return [
            entry
            for entry, held in self._entries.items()
            if held.credits and held.waiting
        ]

    def credits_of(self, entry: str) -> int:
        """Return the number of unused credits of an entry."""
        return self._entries[entry].credits if entry in self._entries else 0

    def count_other_tasks(self, entry: str) -> int:
        """Return the number of tasks of other entries."""
        held = self._entries.get(entry, EntryCredits())
        return max(self.running - held.running - held.borrowed, 0)

    def set_slots(self, slots: int) -> list[CreditChange]:
        """Set the number of slots; a decrease voids all credits first."""
        if slots == self.slots:
            return []
        if slots < self.slots:
            for held in self._entries.values():
                _reset_credits(held)
        self.slots = slots
        return self._grant_free_slots()

    def add_entry(self, entry: str) -> list[CreditChange]:
        """Add an entry and give it a fair share of the free slots and idle credits."""
        self._entries[entry] = EntryCredits()
        changes = self._grant_free_slots()
        wanted_credits = self.slots // len(self._entries) - self.credits_of(entry)
        return changes + self._revoke_idle(wanted_credits, entry, self._fair_share())

    def remove_entry(self, entry: str) -> list[CreditChange]:
        """Remove an entry whose link has closed and reallocate its credits."""
        self._entries.pop(entry, None)
        return self._grant_free_slots()

    def record_start(
        self, entry: str, waiting: int, *, borrowed: bool = False
    ) -> list[CreditChange]:
        """Count a task that starts or is queued at the agent.

        :param waiting: number of tasks that still wait at the entry.
        :param borrowed: the task uses no credit.
        """
        changes: list[CreditChange] = []
        if borrowed:
            self._count_borrowed(entry, 1)
            return changes
        if not self._spend_credit(entry, waiting) and self.free_slots == 0:
            changes = self._void_credit()
        self.running += 1
        self._entries.get(entry, EntryCredits()).running += 1
        return changes

    def record_refusal(
        self, entry: str, waiting: int, *, withhold: bool = False
    ) -> str:
        """Count a refused dispatch.

        :param waiting: number of tasks that still wait at the entry.
        :param withhold: leave the slot free until the next change, because the same
            dispatch would be refused again.
        :return: the entry that is granted the credit, or ''.
        """
        if self._spend_credit(entry, waiting) and not withhold:
            return self._reassign_slot(entry)
        return ''

    def record_end(self, entry: str, *, borrowed: bool = False) -> str:
        """Count the end of a task.

        :param entry: the entry that dispatched it.
        :return: the entry that is granted a credit for the slot, or ''.
        """
        if borrowed:
            self._count_borrowed(entry, -1)
            return ''
        self.running -= 1
        held = self._entries.get(entry, EntryCredits())
        held.running = max(held.running - 1, 0)
        return self._reassign_slot(entry)

    def record_demand(self, entry: str, waiting: int) -> list[CreditChange]:
        """Handle a report of tasks that wait at an entry for a credit.

        :param waiting: number of these tasks.
        """
        held = self._entries.get(entry)
        if held is None:
            return []
        held.report_waiting(waiting)
        changes = self._grant_free_slots()
        being_revoked = sum(other.revoking for other in self._entries.values())
        return changes + self._revoke_idle(held.waiting - being_revoked, entry, 0)

    def awaits_credit_return(self, entry: str) -> bool:
        """Whether the entry has been asked to return credits and has not responded."""
        held = self._entries.get(entry, EntryCredits())
        return held.revoking > 0 or held.voided > 0

    def expire_overdue_revocations(self) -> list[CreditChange]:
        """Void credits whose revocation is overdue; called once per period.

        Reports of waiting tasks that were not renewed are cleared as well, so that
        idle credits do not stay with an entry whose tasks went to other agents.
        """
        for held in self._entries.values():
            held.expire_waiting()
            if held.overdue:
                voided = min(held.revoking, held.credits)
                held.credits -= voided
                held.voided += voided
                held.revoking = 0
            held.overdue = held.revoking > 0
        return self._grant_free_slots()

    def record_credit_return(self, entry: str, credits_back: int) -> list[CreditChange]:
        """Handle an entry's response to a revocation.

        :param credits_back: credits that it returns; those voided before are not
            counted twice.
        """
        held = self._entries.get(entry)
        if held is None:
            return []
        returned = max(credits_back - held.voided, 0)
        held.credits = max(held.credits - returned, 0)
        held.revoking = 0
        held.voided = 0
        held.overdue = False
        return self._grant_free_slots()

    def _count_borrowed(self, entry: str, count: int) -> None:
        self.running += count
        self.borrowed += count
        held = self._entries.get(entry, EntryCredits())
        held.borrowed = max(held.borrowed + count, 0)

    def _fair_share(self) -> int:
        return -(-self.slots // len(self._entries))

    def _spend_credit(self, entry: str, waiting: int) -> bool:
        held = self._entries.get(entry)
        if held is None:
            return False
        held.report_waiting(waiting)
        if held.credits:
            held.credits -= 1
            return True
        held.voided = max(held.voided - 1, 0)
        return False

    def _reassign_slot(self, last_entry: str) -> str:
        if not self.free_slots or not self._entries:
            return ''
        receiver = last_entry
        if last_entry not in self._entries:
            receiver = self._choose_receiver()
        elif self._entries[last_entry].claimed_slots >= self._fair_share():
            receiver = self._find_entry_below_share() or last_entry
        self._grant(receiver)
        return receiver

    def _find_entry_below_share(self) -> str:
        lowest = min(self._entries, key=self._claimed_slots)
        min_share = self.slots // len(self._entries)
        return lowest if self._claimed_slots(lowest) < min_share else ''

    def _claimed_slots(self, entry: str) -> int:
        return self._entries[entry].claimed_slots

    def _grant(self, entry: str) -> None:
        held = self._entries[entry]
        held.credits += 1
        held.waiting = max(held.waiting - 1, 0)

    def _choose_receiver(self) -> str:
        return min(self._entries, key=self._receiver_order)

    def _receiver_order(self, entry: str) -> tuple[int, int]:
        held = self._entries[entry]
        return -held.waiting, held.claimed_slots

    def _grant_free_slots(self) -> list[CreditChange]:
        granted: dict[str, int] = {}
        while self._entries and self.free_slots:
            receiver = self._choose_receiver()
            self._grant(receiver)
            granted[receiver] = granted.get(receiver, 0) + 1
        return [CreditChange(entry, grant=number) for entry, number in granted.items()]

    def _revoke_idle(
        self, wanted: int, entry: str, kept_credits: int
    ) -> list[CreditChange]:
        changes: list[CreditChange] = []
        for other, held in self._entries.items():
            revoked = min(held.idle_credits - kept_credits, wanted)
            if other != entry and revoked > 0:
                held.revoking += revoked
                wanted -= revoked
                changes.append(CreditChange(other, revoke=revoked))
        return changes

    def _void_credit(self) -> list[CreditChange]:
        holder = max(self._entries, key=self.credits_of, default='')
        if not self.credits_of(holder):
            return []
        held = self._entries[holder]
        held.credits -= 1
        held.voided += 1
        return [CreditChange(holder, revoke=1)]


def _reset_credits(held: EntryCredits) -> None:
    held.credits = 0
    held.revoking = 0
    held.voided = 0
