"""Tests of the allocation of slots by start credits."""

import pytest
from endivetally_agent.slots import REPORT_VALID_PERIODS
from endivetally_agent.slots import CreditChange
from endivetally_agent.slots import SlotAllocator
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

ENTRIES = ('entry-1', 'entry-2', 'entry-3')


def _make_allocator(slots=8, entries=ENTRIES):
    allocator = SlotAllocator()
    for entry in entries:
        allocator.add_entry(entry)
    allocator.set_slots(slots)
    return allocator


class TestSharing:
    @pytest.mark.parametrize(
        ('slots', 'credits_per_entry'), [(8, [2, 3, 3]), (3, [1, 1, 1]), (1, [0, 0, 1])]
    )
    def test_free_slots_are_spread_evenly(self, slots, credits_per_entry):
        allocator = _make_allocator(slots)
        assert (
            sorted(allocator.credits_of(entry) for entry in ENTRIES)
            == credits_per_entry
        )

    def test_a_joining_entry_gets_a_share_of_the_idle_credits(self):
        allocator = _make_allocator(entries=['entry-1'])
        assert allocator.add_entry('entry-2') == [CreditChange('entry-1', revoke=4)]
        assert allocator.record_credit_return('entry-1', 4) == [
            CreditChange('entry-2', grant=4)
        ]

    def test_credits_of_a_closed_link_go_to_the_other_entries(self):
        allocator = _make_allocator(entries=ENTRIES[:2])
        assert allocator.remove_entry('entry-1') == [CreditChange('entry-2', grant=4)]

    def test_a_closed_target_has_no_credits(self):
        allocator = _make_allocator()
        assert allocator.set_slots(0) == []
        assert allocator.unused_credits == 0


class TestReassignment:
    @pytest.mark.parametrize('waiting', [0, 5])
    def test_the_slot_of_an_ended_task_stays_with_its_entry(self, waiting):
        allocator = _make_allocator(2, ENTRIES[:2])
        allocator.record_start('entry-1', 0)
        allocator.record_start('entry-2', waiting)
        assert allocator.record_end('entry-1') == 'entry-1'

    def test_a_slot_moves_from_an_entry_above_its_share_to_one_below(self):
        allocator = _make_allocator(2, ENTRIES[:1])
        allocator.record_start('entry-1', 0)
        allocator.record_start('entry-1', 0)
        assert allocator.add_entry('entry-2') == []
        assert allocator.record_end('entry-1') == 'entry-2'
        assert allocator.record_end('entry-1') == 'entry-1'

    def test_a_used_credit_is_granted_again_when_the_task_ends(self):
        allocator = _make_allocator(2, ENTRIES[:2])
        allocator.record_start('entry-1', 0)
        assert allocator.record_end('entry-1') == 'entry-1'

    def test_no_credit_is_granted_while_leaving(self):
        allocator = _make_allocator(2)
        allocator.record_start('entry-1', 0)
        allocator.set_slots(0)
        assert not allocator.record_end('entry-1')


class TestDemand:
    def test_idle_credits_are_revoked_once(self):
        allocator = _make_allocator(8, ENTRIES[:2])
        changes = allocator.record_demand('entry-1', 3)
        assert changes == [CreditChange('entry-2', revoke=3)]
        assert allocator.record_demand('entry-1', 3) == []
        assert allocator.record_credit_return('entry-2', 3) == [
            CreditChange('entry-1', grant=3)
        ]

    def test_credits_of_a_waiting_entry_are_not_revoked(self):
        allocator = _make_allocator(8, ENTRIES[:2])
        allocator.record_demand('entry-2', 1)
        assert allocator.record_demand('entry-1', 3) == []

    def test_an_overdue_revocation_takes_effect(self):
        allocator = _make_allocator(8, ENTRIES[:2])
        allocator.record_demand('entry-1', 3)
        assert allocator.expire_overdue_revocations() == []
        assert allocator.expire_overdue_revocations() == [
            CreditChange('entry-1', grant=3)
        ]
        assert allocator.record_credit_return('entry-2', 3) == []
        assert allocator.credits_of('entry-2') == 1

    def test_a_report_that_is_not_renewed_protects_no_idle_credits(self):
        allocator = _make_allocator(8, ENTRIES[:2])
        allocator.record_demand('entry-2', 1)
        for _ in range(REPORT_VALID_PERIODS + 1):
            allocator.expire_overdue_revocations()
        assert allocator.record_demand('entry-1', 3) == [
            CreditChange('entry-2', revoke=3)
        ]


class TestStartWithoutCredit:
    def test_a_credit_of_another_entry_is_voided(self):
        allocator = _make_allocator(2, ENTRIES[:2])
        allocator.record_start('entry-1', 0)
        assert allocator.record_start('entry-1', 0) == [
            CreditChange('entry-2', revoke=1)
        ]
        assert allocator.record_credit_return('entry-2', 1) == []
        assert allocator.unused_credits == 0


class TestBorrowing:
    def test_a_borrowed_task_neither_uses_nor_moves_credits(self):
        allocator = _make_allocator(2, ENTRIES[:2])
        assert allocator.record_start('entry-1', 0, borrowed=True) == []
        assert allocator.unused_credits == 2
        assert allocator.count_other_tasks('entry-1') == 0
        assert allocator.count_other_tasks('entry-2') == 1
        assert not allocator.record_end('entry-1', borrowed=True)
        assert allocator.unused_credits == 2


class AllocatorModel:
    """Applies a sequence of events to an allocator and checks its invariants."""

    def __init__(self):
        self.allocator = SlotAllocator()
        self.linked = set()
        self.running = []

    def apply(self, step, entry, number):
        getattr(self, f'_{step}')(entry, number)
        allocator = self.allocator
        assert allocator.running == len(self.running)
        assert allocator.unused_credits >= 0
        assert allocator.borrowed == sum(borrowed for _entry, borrowed in self.running)
        occupied = allocator.running - allocator.borrowed
        if allocator.slots and occupied <= allocator.slots:
            assert occupied + allocator.unused_credits <= allocator.slots

    def _attach(self, entry, _number):
        if entry not in self.linked:
            self.linked.add(entry)
            self.allocator.add_entry(entry)

    def _detach(self, entry, _number):
        self.linked.discard(entry)
        self.allocator.remove_entry(entry)

    def _resize(self, _entry, number):
        self.allocator.set_slots(number)

    def _start(self, entry, number):
        allocator = self.allocator
        if allocator.running < allocator.slots or allocator.credits_of(entry):
            allocator.record_start(entry, number)
            self.running.append((entry, False))

    def _borrow(self, entry, number):
        self.allocator.record_start(entry, number, borrowed=True)
        self.running.append((entry, True))

    def _finish(self, _entry, number):
        if self.running:
            entry, borrowed = self.running.pop(number % len(self.running))
            self.allocator.record_end(entry, borrowed=borrowed)

    def _refuse(self, entry, number):
        self.allocator.record_refusal(entry, number)

    def _demand(self, entry, number):
        self.allocator.record_demand(entry, number)

    def _give_back(self, entry, number):
        self.allocator.record_credit_return(entry, number)

    def _expire(self, _entry, _number):
        self.allocator.expire_overdue_revocations()


STEPS = strategies.tuples(
    strategies.sampled_from(
        [
            'attach',
            'detach',
            'resize',
            'start',
            'borrow',
            'finish',
            'refuse',
            'demand',
            'give_back',
            'expire',
        ]
    ),
    strategies.sampled_from(ENTRIES),
    strategies.integers(0, 9),
)


class TestInvariant:
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(strategies.lists(STEPS, max_size=60))
    def test_running_and_credits_never_exceed_the_slots(self, steps):
        model = AllocatorModel()
        for step, entry, number in steps:
            model.apply(step, entry, number)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(strategies.lists(STEPS, max_size=60))
    def test_no_free_slot_is_withheld_from_linked_entries(self, steps):
        model = AllocatorModel()
        model.apply('attach', 'entry-1', 0)
        for step, entry, number in steps:
            if (step, entry) != ('detach', 'entry-1'):
                model.apply(step, entry, number)
        model.apply('demand', 'entry-1', 1)
        assert model.allocator.free_slots == 0
