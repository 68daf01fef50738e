"""URL routes of the entry's HTTP server."""

from typing import TYPE_CHECKING

from tornado.web import Application

from endivetally_entry.caller_handlers import ErrorReportingHandler
from endivetally_entry.caller_handlers import JobsHandler
from endivetally_entry.caller_handlers import RequestsHandler
from endivetally_entry.operator_handlers import BurnHandler
from endivetally_entry.operator_handlers import ConfigHandler
from endivetally_entry.operator_handlers import ConfigHistoryHandler
from endivetally_entry.operator_handlers import HealthHandler
from endivetally_entry.operator_handlers import JoinHandler
from endivetally_entry.operator_handlers import MetricsHandler
from endivetally_entry.operator_handlers import ShapingHandler
from endivetally_entry.operator_handlers import StatusHandler

if TYPE_CHECKING:
    from endivetally_entry.entry import Entry

_SERVICE = '/v1/services/(?P<service>[^/]+)'


def make_application(entry: 'Entry') -> Application:
    """Create the application with the handlers of callers, operators and peers."""
    handler_arguments = {'entry': entry}
    return Application(
        [
            (f'{_SERVICE}/requests', RequestsHandler, handler_arguments),
            (f'{_SERVICE}/jobs', JobsHandler, handler_arguments),
            (f'{_SERVICE}/jobs/(?P<key>[^/]+)', JobsHandler, handler_arguments),
            ('/v1/text', ConfigHandler, handler_arguments),
            ('/v1/text/history', ConfigHistoryHandler, handler_arguments),
            ('/v1/status', StatusHandler, handler_arguments),
            ('/v1/burn', BurnHandler, handler_arguments),
            ('/internal/join', JoinHandler, handler_arguments),
            ('/internal/shaping', ShapingHandler, handler_arguments),
            ('/metrics', MetricsHandler, handler_arguments),
            ('/healthz', HealthHandler, handler_arguments),
        ],
        default_handler_class=ErrorReportingHandler,
        default_handler_args=handler_arguments,
        log_function=lambda handler: None,
    )
