"""Recovers results of former owners of a key from their journals and the agents."""

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
from endivetally_entry.requests import ScopedKey

if TYPE_CHECKING:
    from endivetally_table.entries import EntryRegistry
    from endivetally_table.table import Table

    from endivetally_entry.agent_registry import AgentRegistry

_log = logging.getLogger(__name__)

RECALL_TIMEOUT_S = 3


@dataclass(frozen=True, slots=True)
class FormerRequest:
    """A request found in the journal of a former owner.

    :param owner: incarnation of the former owner.
    :param agents: incarnations of the agents that it may have used.
    """

    owner: str
    sequence: int
    body_hash: bytes
    agents: frozenset[str]


@dataclass(frozen=True, slots=True)
class _PendingRecall:
    """A recall that an agent has not reported on yet.

    :param reported: set when the report has been processed.
    """

    findings: '_RecallFindings'
    reported: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class _RecallFindings:
    """Outcomes that agents report for the tasks of one key.

    :param results: results of finished tasks, by task number.
    :param running: attempts that still run.
    :param lost: whether a task finished but its result is no longer stored.
    :param unreachable: whether an agent that may have run a task did not report.
    :param none_running: set when the last running attempt ends.
    """

    results: dict[int, bytes] = field(default_factory=dict)
    running: set[AttemptId] = field(default_factory=set)
    failed: bool = False
    lost: bool = False
    unreachable: bool = False
    none_running: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, outcome: Outcome) -> None:
        number = outcome.attempt_id.number
        self.running.discard(outcome.attempt_id)
        if not self.running:
            self.none_running.set()
        if outcome.status == 'done':
            if outcome.reason:
                self.lost = True
            else:
                self.results[number] = outcome.body
        elif outcome.status == 'running':
            self.running.add(outcome.attempt_id)
        elif outcome.status != 'refused':
            self.failed = True


class RequestRecovery:
    """Determines what the requests of former owners ran, and recovers their results.

    :param entry_registry: lists the entries that are live.
    :param retention_s: age in seconds above which journal records are ignored.
    """

    def __init__(
        self,
        table: 'Table',
        entry_registry: 'EntryRegistry',
        agent_registry: 'AgentRegistry',
        retention_s: float,
    ) -> None:
        self._table = table
        self._entry_registry = entry_registry
        self._retention_s = retention_s
        self._ended_owners: set[str] = set()
        self._agent_registry = agent_registry
        self._histories: dict[str, list[JournalIndex]] = {}
        self._never_started: set[tuple[ScopedKey, str]] = set()
        self._read_shards: dict[str, frozenset[int]] = {}
        self._recall_ids = itertools.count(1)
        self._pending_recalls: dict[int, _PendingRecall] = {}
        self._running_attempts: dict[AttemptId, _RecallFindings] = {}

    def find_unread_shards(self, owner: str, shards: frozenset[int]) -> frozenset[int]:
        """Return those shards for which a former owner's journal has not been read."""
        return shards - self._read_shards.get(owner, frozenset())

    async def read_history(self, owner: str, shards: frozenset[int]) -> None:
        """Read a former owner's journal records for shards that it has lost.

        Shards whose records have been read before are skipped.

        :raises TableUnavailable: when the table service is unavailable.
        """
        unread = self.find_unread_shards(owner, shards)
        oldest = time.time() - self._retention_s
        history = await JournalIndex.build(
            iterate_journal(self._table, owner),
            lambda journal_record: journal_record.written_at >= oldest
            and _shard_of(journal_record) in unread,
        )
        self._histories.setdefault(owner, []).append(history)
        self._read_shards[owner] = self._read_shards.get(owner, frozenset()) | shards
        _log.info('journal of a former owner read', extra={'owner': owner})

    def find_former_requests(self, scoped_key: ScopedKey) -> list[FormerRequest]:
        """Return the requests that former owners journalled for a key.

        Requests that never started are left out.
        """
        former: list[FormerRequest] = []
        for owner, histories in self._histories.items():
            if (scoped_key, owner) in self._never_started:
                continue
            for history in histories:
                former.extend(_find_requests(history, owner, scoped_key))
        return former

    def mark_never_started(self, scoped_key: ScopedKey, owner: str) -> None:
        """Ignore a key's requests at a former owner that will never start them."""
        self._never_started.add((scoped_key, owner))

    async def recover_results(
        self,
        request: CallerRequest,
    ) -> dict[int, bytes]:
        """Return the results that tasks of the request have under former owners.

        Every agent that a former owner may have used is told to fence that owner.
        After that, a task without a result has not started under the former owner
        and never will.

        :raises RequestError: when the key was used with another body, a task failed,
            a result is lost, a former owner may still be live, or an agent that may
            have run a task does not respond.
        """
        former_requests = self.find_former_requests(request.scoped_key)
        if not former_requests:
            return {}
        if any(
            former_request.body_hash != request.body_hash
            for former_request in former_requests
        ):
            raise RequestError(ErrorKind.KEY_CONFLICT)
        findings = _RecallFindings()
        for former_request in former_requests:
            await self._check_owner_ended(former_request.owner)
            await self._recall_from_agents(former_request, findings)
        await self._wait_for_running(findings, request.deadline)
        self._check_findings(findings, request)
        return findings.results

    def handle_recall_report(self, message: Recalled) -> None:
        """Process the report that an agent sends in reply to a recall."""
        recall = self._pending_recalls.pop(message.recall_id, None)
        if recall is None:
            return
        for outcome in message.outcomes:
            recall.findings.add(outcome)
            if outcome.status == 'running':
                # The outcome may arrive directly after the report, before the
                # coroutine that waits for the report is resumed.
                self._running_attempts[outcome.attempt_id] = recall.findings
        recall.reported.set()

    def handle_recalled_outcome(self, outcome: Outcome) -> bool:
        """Process the outcome of an attempt that was running when it was recalled.

        :returns: whether the outcome belongs to such an attempt.
        """
        findings = self._running_attempts.pop(outcome.attempt_id, None)
        if findings is None:
            return False
        findings.add(outcome)
        return True

    async def _check_owner_ended(self, owner: str) -> None:
        """Check that a former owner has ended, as a live one must not be fenced.

        :raises RequestError: when the former owner may be live, or the table service is
            unavailable.
        """
        if owner in self._ended_owners:
            return
        try:
            has_ended = await self._entry_registry.has_ended(owner)
        except TableUnavailable as error:
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, 'table is down') from error
        if not has_ended:
            raise RequestError(
                ErrorKind.OUTCOME_UNKNOWN,
                'a former owner of the key does not answer',
            )
        self._ended_owners.add(owner)

    async def _recall_from_agents(
        self,
        former_request: FormerRequest,
        findings: _RecallFindings,
    ) -> None:
        reports = await asyncio.gather(
            *(
                self._recall_request(former_request, agent, findings)
                for agent in former_request.agents
            ),
        )
        findings.unreachable = findings.unreachable or not all(reports)

    async def _recall_request(
        self,
        former_request: FormerRequest,
        agent: str,
        findings: _RecallFindings,
    ) -> bool:
        """Ask an agent for its report and return whether it came in time."""
        registered = self._agent_registry.get(agent)
        if registered is None or registered.link is None:
            return False
        recall_id = next(self._recall_ids)
        recall = _PendingRecall(findings)
        self._pending_recalls[recall_id] = recall
        self._agent_registry.post(agent, Fence(former_request.owner))
        self._agent_registry.post(
            agent, Recall(recall_id, former_request.owner, former_request.sequence)
        )
        try:
            await asyncio.wait_for(recall.reported.wait(), RECALL_TIMEOUT_S)
        except TimeoutError:
            self._pending_recalls.pop(recall_id, None)
            return recall.reported.is_set()
        return True

    async def _wait_for_running(
        self, findings: _RecallFindings, deadline: float
    ) -> None:
        if not findings.running:
            return
        findings.none_running.clear()
        left_s = deadline - asyncio.get_running_loop().time()
        try:
            await asyncio.wait_for(findings.none_running.wait(), left_s)
        except TimeoutError as error:
            raise RequestError(
                ErrorKind.DEADLINE_EXCEEDED,
                'it still runs',
                execution_state=ExecutionState.RAN,
            ) from error

    def _check_findings(
        self, findings: _RecallFindings, request: CallerRequest
    ) -> None:
        if findings.failed:
            raise RequestError(ErrorKind.TASK_FAILED)
        if findings.lost:
            raise RequestError(ErrorKind.RESULT_LOST)
        if findings.unreachable and len(findings.results) < len(request.tasks):
            raise RequestError(
                ErrorKind.OUTCOME_UNKNOWN,
                'an agent that may have run it does not answer',
            )


def _find_requests(
    history: JournalIndex,
    owner: str,
    scoped_key: ScopedKey,
) -> Iterator[FormerRequest]:
    for journal_record in history.find_records(scoped_key.team, scoped_key.key):
        if journal_record.service == scoped_key.service:
            agents = history.find_possible_agents(journal_record.sequence)
            yield FormerRequest(
                owner, journal_record.sequence, journal_record.body_hash, agents
            )


def _shard_of(journal_record: JournalRecord) -> int:
    return shard_of(journal_record.team, journal_record.key, SHARD_COUNT)
