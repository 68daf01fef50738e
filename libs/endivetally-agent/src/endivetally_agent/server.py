"""HTTP server of the agent: announcements, metrics and health."""

from abc import ABC
from abc import abstractmethod
from http import HTTPStatus
from typing import Any

import msgspec
from endivetally_core.joining import Announcement
from endivetally_core.metrics import Exposition
from endivetally_core.shaping import RuleShaper
from endivetally_core.shaping import ShapingRule
from tornado.web import Application
from tornado.web import RequestHandler


class AgentFacade(ABC):
    """What the HTTP server needs from its agent."""

    @abstractmethod
    def apply_announcement(self, announcement: Announcement) -> None:
        """Take in an announcement of the target."""

    @abstractmethod
    def unready_reason(self) -> str:
        """Return why the agent can't take work, or ''."""

    @abstractmethod
    def metrics(self) -> Exposition:
        """Return the current metrics."""


class _AgentHandler(RequestHandler):
    def initialize(self, agent: AgentFacade) -> None:
        self.agent = agent

    def data_received(self, chunk: bytes) -> None:
        """Bodies are read whole."""

    def refuse(self, detail: str) -> None:
        self.set_status(HTTPStatus.BAD_REQUEST)
        self.finish({'error': {'code': 'malformed_request', 'detail': detail}})


class AnnounceHandler(_AgentHandler):
    """``POST /announce``."""

    def post(self) -> None:
        """Take in an announcement."""
        try:
            announcement = msgspec.json.decode(self.request.body, type=Announcement)
        except msgspec.DecodeError as error:
            self.refuse(str(error))
            return
        self.agent.apply_announcement(announcement)
        self.set_status(HTTPStatus.NO_CONTENT)


class MetricsHandler(_AgentHandler):
    """``GET /metrics``."""

    def get(self) -> None:
        """Answer with the current metrics."""
        exposition = self.agent.metrics()
        self.set_header('Content-Type', exposition.content_type)
        self.finish(exposition.body)


class HealthHandler(_AgentHandler):
    """``GET /healthz``."""

    def get(self) -> None:
        """Answer 200 when the agent can take work."""
        reason = self.agent.unready_reason()
        if reason:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish({'ready': not reason, 'reason': reason})


class ShapingHandler(RequestHandler):
    """``POST /internal/shaping``."""

    def initialize(self, shaper: RuleShaper) -> None:
        """Keep the shaper.

        :param shaper: takes the rules.
        """
        self._shaper = shaper

    def data_received(self, chunk: bytes) -> None:
        """Bodies are read whole."""

    def post(self) -> None:
        """Put rules in force."""
        try:
            rules = msgspec.json.decode(self.request.body, type=tuple[ShapingRule, ...])
        except msgspec.DecodeError as error:
            self.set_status(HTTPStatus.BAD_REQUEST)
            self.finish(str(error))
            return
        self._shaper.replace_rules(rules)
        self.set_status(HTTPStatus.NO_CONTENT)


def make_application(agent: AgentFacade, shaper: RuleShaper | None) -> Application:
    """Return the HTTP application of an agent.

    :param shaper: set when ``/internal/shaping`` is allowed.
    """
    parts = {'agent': agent}
    routes: list[Any] = [
        ('/announce', AnnounceHandler, parts),
        ('/metrics', MetricsHandler, parts),
        ('/healthz', HealthHandler, parts),
    ]
    if shaper is not None:
        routes.append(('/internal/shaping', ShapingHandler, {'shaper': shaper}))
    return Application(routes)
