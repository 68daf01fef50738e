"""Routes of an entry's HTTP server."""

from typing import TYPE_CHECKING

from tornado.web import Application

from endivetally_entry.caller_handlers import AnsweringHandler
from endivetally_entry.caller_handlers import JobsHandler
from endivetally_entry.caller_handlers import RequestsHandler
from endivetally_entry.operator_handlers import BurnHandler
from endivetally_entry.operator_handlers import HealthHandler
from endivetally_entry.operator_handlers import HistoryHandler
from endivetally_entry.operator_handlers import JoinHandler
from endivetally_entry.operator_handlers import MetricsHandler
from endivetally_entry.operator_handlers import ShapingHandler
from endivetally_entry.operator_handlers import StatusHandler
from endivetally_entry.operator_handlers import TextHandler

if TYPE_CHECKING:
    from endivetally_entry.entry import Entry

_SERVICE = '/v1/services/(?P<service>[^/]+)'


def make_application(entry: 'Entry') -> Application:
    """Return the application with all handlers of an entry."""
    wiring = {'entry': entry}
    return Application(
        [
            (f'{_SERVICE}/requests', RequestsHandler, wiring),
            (f'{_SERVICE}/jobs', JobsHandler, wiring),
            (f'{_SERVICE}/jobs/(?P<key>[^/]+)', JobsHandler, wiring),
            ('/v1/text', TextHandler, wiring),
            ('/v1/text/history', HistoryHandler, wiring),
            ('/v1/status', StatusHandler, wiring),
            ('/v1/burn', BurnHandler, wiring),
            ('/internal/join', JoinHandler, wiring),
            ('/internal/shaping', ShapingHandler, wiring),
            ('/metrics', MetricsHandler, wiring),
            ('/healthz', HealthHandler, wiring),
        ],
        default_handler_class=AnsweringHandler,
        default_handler_args=wiring,
        log_function=lambda handler: None,
    )
