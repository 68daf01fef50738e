"""HTTP API of the agent: announcements, metrics and health checks."""

from abc import ABC
from abc import abstractmethod
from http import HTTPStatus
from typing import Any

import msgspec
from endivetally_core.decoding import DECODE_ERRORS
from endivetally_core.joining import Announcement
from endivetally_core.metrics import Exposition
from endivetally_core.shaping import RuleShaper
from endivetally_core.shaping import ShapingRule
from tornado.web import Application
from tornado.web import RequestHandler


class AgentFacade(ABC):
    """Operations of the agent that the HTTP handlers use."""

    @abstractmethod
    def apply_announcement(self, announcement: Announcement) -> None:
        """Apply an announcement of the target."""

    @abstractmethod
    def unready_reason(self) -> str:
        """Return why the agent can't accept work, or ''."""

    @abstractmethod
    def metrics(self) -> Exposition:
        """Return the current metrics."""


class _AgentHandler(RequestHandler):
    def initialize(self, agent: AgentFacade) -> None:
        self.agent = agent

    def data_received(self, chunk: bytes) -> None:
        """Do nothing; Tornado buffers the whole body."""

    def respond_malformed(self, detail: str) -> None:
        self.set_status(HTTPStatus.BAD_REQUEST)
        self.finish({'error': {'code': 'malformed_request', 'detail': detail}})


class AnnounceHandler(_AgentHandler):
    """Handles ``POST /announce``."""

    def post(self) -> None:
        """Apply the announcement in the body; 400 if it is malformed."""
        try:
            announcement = msgspec.json.decode(self.request.body, type=Announcement)
        except DECODE_ERRORS as error:
            self.respond_malformed(str(error))
            return
        self.agent.apply_announcement(announcement)
        self.set_status(HTTPStatus.NO_CONTENT)


class MetricsHandler(_AgentHandler):
    """Handles ``GET /metrics``."""

    def get(self) -> None:
        """Respond with the current metrics."""
        exposition = self.agent.metrics()
        self.set_header('Content-Type', exposition.content_type)
        self.finish(exposition.body)


class HealthHandler(_AgentHandler):
    """Handles ``GET /healthz``."""

    def get(self) -> None:
        """Respond with 200 if the agent can accept work, else with 503."""
        reason = self.agent.unready_reason()
        if reason:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish({'ready': not reason, 'reason': reason})


class ShapingHandler(RequestHandler):
    """Handles ``POST /internal/shaping``."""

    def initialize(self, shaper: RuleShaper) -> None:
        """Set the shaper.

        :param shaper: applies the received rules.
        """
        self._shaper = shaper

    def data_received(self, chunk: bytes) -> None:
        """Do nothing; Tornado buffers the whole body."""

    def post(self) -> None:
        """Replace the shaping rules by those in the body; 400 if malformed."""
        try:
            rules = msgspec.json.decode(self.request.body, type=tuple[ShapingRule, ...])
        except DECODE_ERRORS as error:
            self.set_status(HTTPStatus.BAD_REQUEST)
            self.finish(str(error))
            return
        self._shaper.replace_rules(rules)
        self.set_status(HTTPStatus.NO_CONTENT)


def make_application(agent: AgentFacade, shaper: RuleShaper | None) -> Application:
    """Return the HTTP application of an agent.

    :param shaper: ``None`` leaves out ``/internal/shaping``.
    """
    handler_arguments = {'agent': agent}
    routes: list[Any] = [
        ('/announce', AnnounceHandler, handler_arguments),
        ('/metrics', MetricsHandler, handler_arguments),
        ('/healthz', HealthHandler, handler_arguments),
    ]
    if shaper is not None:
        routes.append(('/internal/shaping', ShapingHandler, {'shaper': shaper}))
    return Application(routes)
