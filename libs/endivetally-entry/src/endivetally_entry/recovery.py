"""What former owners of a key did with it, from their journals and the agents."""

import asyncio
import itertools
import logging
import time
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import RequestError
from endivetally_core.errors import TableUnavailable
from endivetally_core.identifiers import shard_of
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Fence
from endivetally_core.messages import Outcome
from endivetally_core.messages import Recall
from endivetally_core.messages import Recalled
from endivetally_table.batches import JournalRecord
from endivetally_table.batches import iterate_journal
from endivetally_table.journal_index import JournalIndex
from endivetally_table.shards import SHARD_COUNT

from endivetally_entry.requests import CallerRequest
from endivetally_entry.requests import KeyName

if TYPE_CHECKING:
    from endivetally_table.entries import EntryRegistry
    from endivetally_table.table import Table

    from endivetally_entry.roster import AgentRoster

_log = logging.getLogger(__name__)

RECALL_TIMEOUT_S = 3


@dataclass(frozen=True, slots=True)
class FormerRequest:
    """A request in the journal of a former owner.

    :param agents: incarnations of the agents that it may have used.
    """

    owner: str
    sequence: int
    body_hash: bytes
    agents: frozenset[str]


@dataclass(frozen=True, slots=True)
class _PendingRecall:
    """A recall whose report is awaited.

    :param reported: set when the report has been taken in.
    """

    findings: '_Findings'
    reported: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class _Findings:
    """What the agents say about the tasks of one key."""

    results: dict[int, bytes] = field(default_factory=dict)
    running: set[AttemptId] = field(default_factory=set)
    failed: bool = False
    lost: bool = False
    unreachable: bool = False
    settled: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, outcome: Outcome) -> None:
        number = outcome.attempt_id.number
        self.running.discard(outcome.attempt_id)
        if not self.running:
            self.settled.set()
        if outcome.status == 'done':
            if outcome.reason:
                self.lost = True
            else:
                self.results[number] = outcome.body
        elif outcome.status == 'running':
            self.running.add(outcome.attempt_id)
        elif outcome.status != 'refused':
            self.failed = True


class Recovery:
    """History of former owners, and the recall of what their requests did.

    :param registry: tells which former owners have ended.
    :param retention_s: older journal entries are not read.
    """

    def __init__(
        self,
        table: 'Table',
        registry: 'EntryRegistry',
        roster: 'AgentRoster',
        retention_s: float,
    ) -> None:
        self._table = table
        self._registry = registry
        self._retention_s = retention_s
        self._ended: set[str] = set()
        self._roster = roster
        self._histories: dict[str, list[JournalIndex]] = {}
        self._settled: set[tuple[KeyName, str]] = set()
        self._read: dict[str, frozenset[int]] = {}
        self._recall_ids = itertools.count(1)
        self._recalls: dict[int, _PendingRecall] = {}
        self._late: dict[AttemptId, _Findings] = {}

    def unread(self, owner: str, shards: frozenset[int]) -> frozenset[int]:
        """Return the shards whose history at a former owner is not known here."""
        return shards - self._read.get(owner, frozenset())

    async def read_history(self, owner: str, shards: frozenset[int]) -> None:
        """Read what a former owner journalled for shards that it has lost.

        :raises TableUnavailable: when the table does not answer.
        """
        unread = self.unread(owner, shards)
        oldest = time.time() - self._retention_s
        history = await JournalIndex.build(
            iterate_journal(self._table, owner),
            lambda entry: entry.written_at >= oldest and _shard_of(entry) in unread,
        )
        self._histories.setdefault(owner, []).append(history)
        self._read[owner] = self._read.get(owner, frozenset()) | shards
        _log.info('journal read', extra={'owner': owner})

    def former_requests(self, name: KeyName) -> list[FormerRequest]:
        """Return what former owners journalled for a key, by owner."""
        former: list[FormerRequest] = []
        for owner, histories in self._histories.items():
            if (name, owner) in self._settled:
                continue
            for history in histories:
                former.extend(_find(history, owner, name))
        return former

    def settle(self, name: KeyName, owner: str) -> None:
        """Drop what a former owner says never started and never will."""
        self._settled.add((name, owner))

    async def results_of_former_owners(
        self,
        request: CallerRequest,
    ) -> dict[int, bytes]:
        """Return results that tasks of the key have had already.

        Fences the former owners at every agent that they may have used. A task
        without a result then has not started and never will under their names.

        :raises RequestError: when the key had another body, a task failed, a
            result is lost or an agent that may have run a task is silent.
        """
        former = self.former_requests(request.name)
        if not former:
            return {}
        if any(prior.body_hash != request.body_hash for prior in former):
            raise RequestError(ErrorKind.KEY_CONFLICT)
        findings = _Findings()
        for prior in former:
            await self._check_ended(prior.owner)
            await self._recall_everywhere(prior, findings)
        await self._wait_for_running(findings, request.deadline)
        self._check(findings, request)
        return findings.results

    def recalled(self, message: Recalled) -> None:
        """Take an agent's report."""
        recall = self._recalls.pop(message.recall_id, None)
        if recall is None:
            return
        for outcome in message.outcomes:
            recall.findings.add(outcome)
            if outcome.status == 'running':
                # Its end may stand right behind the report.
                self._late[outcome.attempt_id] = recall.findings
        recall.reported.set()

    def outcome_received(self, outcome: Outcome) -> bool:
        """Take the outcome of a binding that still ran when it was recalled."""
        findings = self._late.pop(outcome.attempt_id, None)
        if findings is None:
            return False
        findings.add(outcome)
        return True

    async def _check_ended(self, owner: str) -> None:
        """Make sure that no live owner is fenced at the agents.

        :raises RequestError: when the table says that it lives, or is down.
        """
        if owner in self._ended:
            return
        try:
            live = await self._registry.list_live_entries()
        except TableUnavailable as error:
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, 'table is down') from error
        if any(identity.incarnation == owner for identity in live):
            raise RequestError(
                ErrorKind.OUTCOME_UNKNOWN,
                'a former owner of the key does not answer',
            )
        self._ended.add(owner)

    async def _recall_everywhere(
        self,
        prior: FormerRequest,
        findings: _Findings,
    ) -> None:
        reports = await asyncio.gather(
            *(self._recall(prior, agent, findings) for agent in prior.agents),
        )
        findings.unreachable = findings.unreachable or not all(reports)

    async def _recall(
        self,
        prior: FormerRequest,
        agent: str,
        findings: _Findings,
    ) -> bool:
        """Take in an agent's report; return whether it came in time."""
        known = self._roster.get(agent)
        if known is None or known.link is None:
            return False
        recall_id = next(self._recall_ids)
        recall = _PendingRecall(findings)
        self._recalls[recall_id] = recall
        self._roster.post(agent, Fence(prior.owner))
        self._roster.post(agent, Recall(recall_id, prior.owner, prior.sequence))
        try:
            await asyncio.wait_for(recall.reported.wait(), RECALL_TIMEOUT_S)
        except TimeoutError:
            self._recalls.pop(recall_id, None)
            return recall.reported.is_set()
        return True

    async def _wait_for_running(self, findings: _Findings, deadline: float) -> None:
        if not findings.running:
            return
        findings.settled.clear()
        left_s = deadline - asyncio.get_running_loop().time()
        try:
            await asyncio.wait_for(findings.settled.wait(), left_s)
        except TimeoutError as error:
            raise RequestError(
                ErrorKind.DEADLINE_EXCEEDED,
                'it still runs',
                ran=ExecutionState.RAN,
            ) from error

    def _check(self, findings: _Findings, request: CallerRequest) -> None:
        if findings.failed:
            raise RequestError(ErrorKind.TASK_FAILED)
        if findings.lost:
            raise RequestError(ErrorKind.RESULT_LOST)
        if findings.unreachable and len(findings.results) < len(request.tasks):
            raise RequestError(
                ErrorKind.OUTCOME_UNKNOWN,
                'an agent that may have run it does not answer',
            )


def _find(
    history: JournalIndex,
    owner: str,
    name: KeyName,
) -> Iterator[FormerRequest]:
    for entry in history.find_records(name.team, name.key):
        if entry.service == name.service:
            agents = history.possible_agents(entry.sequence)
            yield FormerRequest(owner, entry.sequence, entry.body_hash, agents)


def _shard_of(entry: JournalRecord) -> int:
    return shard_of(entry.team, entry.key, SHARD_COUNT)
