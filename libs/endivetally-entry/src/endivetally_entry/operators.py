"""HTTP handlers for operators, the balancer and other processes."""

import hmac
from typing import TYPE_CHECKING

import msgspec
from endivetally_config.api import SUBMITTER_HEADER
from endivetally_config.api import SubmitResponse
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError
from endivetally_core.joining import JoinRequest
from endivetally_core.joining import JoinResponse
from endivetally_core.links import LinkListener
from endivetally_core.metrics import render_metrics
from endivetally_core.shaping import ShapingRule

from endivetally_entry.callers import AnsweringHandler
from endivetally_entry.requests import JSON_TYPE
from endivetally_entry.requests import Answer
from endivetally_entry.requests import error_answer

if TYPE_CHECKING:
    from collections.abc import Awaitable


class OperatorHandler(AnsweringHandler):
    """Base of the calls that need the operators' token."""

    async def prepare(self) -> None:
        """Refuse the call when its token is wrong."""
        expected = self._entry.settings.operator_token.encode()
        if not hmac.compare_digest(self.bearer_token().encode(), expected):
            wrong = RequestError(ErrorKind.UNAUTHORISED, 'the operator token is wrong')
            await self.answer_with(error_answer(wrong))

    async def answer_operator(self, work: 'Awaitable[bytes]') -> None:
        """Answer with the body that the work returns, or with its error."""
        try:
            body = await work
        except RequestError as error:
            await self.answer_with(error_answer(error))
            return
        await self.answer_with(Answer(200, body, headers={'Content-Type': JSON_TYPE}))


class TextHandler(OperatorHandler):
    """``/v1/text``: the operators' text."""

    async def get(self) -> None:
        """Return the text in force with its version."""
        await self.answer_operator(self._show())

    async def put(self) -> None:
        """Submit a text that is based on a version."""
        await self.answer_operator(self._submit())

    async def _show(self) -> bytes:
        return msgspec.json.encode(self._entry.keeper.current)

    async def _submit(self) -> bytes:
        try:
            based_on = int(self.get_query_argument('based_on'))
        except ValueError as error:
            raise RequestError(
                ErrorKind.MALFORMED_REQUEST,
                'based_on is not a version',
            ) from error
        submitter = self.request.headers.get(SUBMITTER_HEADER, 'operator')
        version = await self._entry.submit_text(
            self.request.body,
            based_on,
            submitter,
        )
        return msgspec.json.encode(SubmitResponse(version))


class HistoryHandler(OperatorHandler):
    """``/v1/text/history``: who changed the text, and when."""

    async def get(self) -> None:
        """Return the versions."""
        await self.answer_operator(self._entry.text_history())


class StatusHandler(OperatorHandler):
    """``/v1/status``: what this entry sees."""

    async def get(self) -> None:
        """Return the status."""
        await self.answer_operator(self._show())

    async def _show(self) -> bytes:
        return msgspec.json.encode(self._entry.status())


class BurnHandler(OperatorHandler):
    """``/v1/burn``: counts for the report on service-level burn."""

    async def get(self) -> None:
        """Return the counts."""
        await self.answer_operator(self._show())

    async def _show(self) -> bytes:
        return msgspec.json.encode(self._entry.burn())


class MetricsHandler(AnsweringHandler):
    """``/metrics`` in the Prometheus text format."""

    async def get(self) -> None:
        """Return the metrics."""
        exposition = render_metrics(self._entry.measures.metrics)
        headers = {'Content-Type': exposition.content_type}
        await self.answer_with(Answer(200, exposition.body, headers=headers))


class HealthHandler(AnsweringHandler):
    """``/healthz`` for the balancer."""

    async def get(self) -> None:
        """Answer 200 when the entry takes requests, else 503 with the reason."""
        reason = self._entry.unready_reason()
        status = 503 if reason else 200
        body = msgspec.json.encode({'ready': not reason, 'reason': reason})
        await self.answer_with(Answer(status, body))


class JoinHandler(AnsweringHandler):
    """``/internal/join``: introduction of an agent or an entry."""

    async def post(self) -> None:
        """Open a listener for the joining process."""
        try:
            joining = msgspec.json.decode(self.request.body, type=JoinRequest)
        except msgspec.DecodeError as error:
            malformed = RequestError(ErrorKind.MALFORMED_REQUEST, str(error))
            await self.answer_with(error_answer(malformed))
            return
        joiner = joining.agent or joining.entry
        if joiner is None:
            nobody = RequestError(ErrorKind.MALFORMED_REQUEST, 'nobody joins')
            await self.answer_with(error_answer(nobody))
            return
        if self._entry.shaper.is_cut(joiner.name, joiner.data_centre):
            cut = RequestError(ErrorKind.NOT_READY, 'the peer is cut off')
            await self.answer_with(error_answer(cut))
            return
        listener = LinkListener(self._entry.identity.address.host)
        self._entry.serve_link(joining, listener)
        answer = JoinResponse(
            listener.address,
            self._entry.identity,
            self._entry.known_identities(),
            self._entry.fenced_entries(),
        )
        await self.answer_with(Answer(200, msgspec.json.encode(answer)))


class ShapingHandler(AnsweringHandler):
    """``/internal/shaping``: faults on links, for bench and scenarios."""

    async def post(self) -> None:
        """Replace the rules."""
        if not self._entry.settings.allow_shaping:
            refused = RequestError(ErrorKind.UNAUTHORISED, 'shaping is off')
            await self.answer_with(error_answer(refused))
            return
        rules = msgspec.json.decode(self.request.body, type=tuple[ShapingRule, ...])
        self._entry.shaper.replace_rules(rules)
        await self.answer_with(Answer(200, b'{}'))
