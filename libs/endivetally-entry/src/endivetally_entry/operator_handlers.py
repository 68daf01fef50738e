"""HTTP handlers for operators, load balancers, agents and other entries."""

import hmac
from typing import TYPE_CHECKING

import msgspec
from endivetally_config.api import SUBMITTER_HEADER
from endivetally_config.api import SubmitResponse
from endivetally_core.decoding import DECODE_ERRORS
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError
from endivetally_core.joining import JoinRequest
from endivetally_core.joining import JoinResponse
from endivetally_core.links import LinkListener
from endivetally_core.metrics import render_metrics
from endivetally_core.shaping import ShapingRule

from endivetally_entry.caller_handlers import ErrorReportingHandler
from endivetally_entry.requests import JSON_CONTENT_TYPE
from endivetally_entry.requests import Response
from endivetally_entry.requests import error_response

if TYPE_CHECKING:
    from collections.abc import Awaitable


class OperatorHandler(ErrorReportingHandler):
    """Base class of the handlers that require the operator token."""

    async def prepare(self) -> None:
        """Reject the call when its token is wrong."""
        expected = self._entry.settings.operator_token.encode()
        if not hmac.compare_digest(self.get_bearer_token().encode(), expected):
            wrong = RequestError(ErrorKind.UNAUTHORISED, 'the operator token is wrong')
            await self.send_response(error_response(wrong))

    async def send_operator_response(self, work: 'Awaitable[bytes]') -> None:
        """Send the JSON body that an awaitable returns, or its error."""
        try:
            body = await work
        except RequestError as error:
            await self.send_response(error_response(error))
            return
        await self.send_response(
            Response(200, body, headers={'Content-Type': JSON_CONTENT_TYPE})
        )


class ConfigHandler(OperatorHandler):
    """``/v1/text``: the operators' configuration."""

    async def get(self) -> None:
        """Return the active configuration with its version."""
        await self.send_operator_response(self._encode_config())

    async def put(self) -> None:
        """Replace the configuration.

        The query parameter ``based_on`` is the version that the change is based on.
        """
        await self.send_operator_response(self._replace_config())

    async def _encode_config(self) -> bytes:
        return msgspec.json.encode(self._entry.active_config.current)

    async def _replace_config(self) -> bytes:
        try:
            based_on = int(self.get_query_argument('based_on'))
        except ValueError as error:
            raise RequestError(
                ErrorKind.MALFORMED_REQUEST,
                'based_on is not a version',
            ) from error
        submitter = self.request.headers.get(SUBMITTER_HEADER, 'operator')
        version = await self._entry.submit_config(
            self.request.body,
            based_on,
            submitter,
        )
        return msgspec.json.encode(SubmitResponse(version))


class ConfigHistoryHandler(OperatorHandler):
    """``/v1/text/history``: who changed the configuration, and when."""

    async def get(self) -> None:
        """Return all recorded changes."""
        await self.send_operator_response(self._entry.read_config_history())


class StatusHandler(OperatorHandler):
    """``/v1/status``: state of this entry, its peers, services and targets."""

    async def get(self) -> None:
        """Return the status as JSON."""
        await self.send_operator_response(self._encode_status())

    async def _encode_status(self) -> bytes:
        return msgspec.json.encode(self._entry.build_status())


class BurnHandler(OperatorHandler):
    """``/v1/burn``: counts for the error-budget report."""

    async def get(self) -> None:
        """Return the counts as JSON."""
        await self.send_operator_response(self._encode_counts())

    async def _encode_counts(self) -> bytes:
        return msgspec.json.encode(self._entry.snapshot_burn())


class MetricsHandler(ErrorReportingHandler):
    """``/metrics`` in the Prometheus text format."""

    async def get(self) -> None:
        """Return the current values."""
        exposition = render_metrics(self._entry.metrics.registry)
        headers = {'Content-Type': exposition.content_type}
        await self.send_response(Response(200, exposition.body, headers=headers))


class HealthHandler(ErrorReportingHandler):
    """``/healthz``: readiness, for load balancers."""

    async def get(self) -> None:
        """Return 200 when the entry accepts requests, else 503 with the reason."""
        reason = self._entry.unready_reason()
        status = 503 if reason else 200
        body = msgspec.json.encode({'ready': not reason, 'reason': reason})
        await self.send_response(Response(status, body))


class JoinHandler(ErrorReportingHandler):
    """``/internal/join``: an agent or another entry opens a link."""

    async def post(self) -> None:
        """Open a listener for the link and return its address."""
        try:
            joining = msgspec.json.decode(self.request.body, type=JoinRequest)
        except DECODE_ERRORS as error:
            malformed = RequestError(ErrorKind.MALFORMED_REQUEST, str(error))
            await self.send_response(error_response(malformed))
            return
        joiner = joining.agent or joining.entry
        if joiner is None:
            missing_identity = RequestError(ErrorKind.MALFORMED_REQUEST, 'nobody joins')
            await self.send_response(error_response(missing_identity))
            return
        if self._entry.shaper.is_partitioned(joiner.name, joiner.data_centre):
            cut = RequestError(ErrorKind.NOT_READY, 'the peer is cut off')
            await self.send_response(error_response(cut))
            return
        listener = LinkListener(self._entry.identity.address.host)
        self._entry.serve_link(joining, listener)
        joined = JoinResponse(
            listener.address,
            self._entry.identity,
            self._entry.list_connected_entries(),
            self._entry.list_fenced_entries(),
        )
        await self.send_response(Response(200, msgspec.json.encode(joined)))


class ShapingHandler(ErrorReportingHandler):
    """``/internal/shaping``: faults injected into links, for benchmarks and tests."""

    async def post(self) -> None:
        """Replace the fault rules; 401 unless the settings allow it."""
        if not self._entry.settings.allow_shaping:
            refused = RequestError(ErrorKind.UNAUTHORISED, 'shaping is off')
            await self.send_response(error_response(refused))
            return
        try:
            rules = msgspec.json.decode(self.request.body, type=tuple[ShapingRule, ...])
        except DECODE_ERRORS as error:
            malformed = RequestError(ErrorKind.MALFORMED_REQUEST, str(error))
            await self.send_response(error_response(malformed))
            return
        self._entry.shaper.replace_rules(rules)
        await self.send_response(Response(200, b'{}'))
