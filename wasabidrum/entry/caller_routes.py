"""The paths that callers reach, and the server that reads them."""

from tornado import httpserver, web

from .caller_handler import BODY_SECONDS, DISCARDED_BYTES, LINGER_SECONDS
from .caller_handler_owner import CallerHandlerOwner
from .chat_handler import ChatHandler
from .health_handler import HealthHandler
from .key_handler import KeyHandler
from .model_handler import ModelHandler
from .service_handler import ServiceHandler
from .unknown_path_handler import UnknownPathHandler

# A head that trickles in is cut after this time, as is a connection with nothing to do.
IDLE_CONNECTION_SECONDS = 60.0
LARGEST_HEAD_BYTES = 16_384


def make_caller_server(entry: CallerHandlerOwner) -> httpserver.HTTPServer:
    """Returns a server for callers that is not bound to a port yet."""
    given = {"entry": entry}
    application = web.Application(
        [
            (r"/v1/completions", ModelHandler, given),
            (r"/v1/chat/completions", ChatHandler, given),
            (r"/v1/idempotency-keys", KeyHandler, given),
            (r"/services/([A-Za-z0-9._-]+)/.*", ServiceHandler, given),
            (r"/healthz", HealthHandler, given),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=given,
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(
        application,
        max_body_size=DISCARDED_BYTES,
        max_header_size=LARGEST_HEAD_BYTES,
        body_timeout=BODY_SECONDS + LINGER_SECONDS,
        idle_connection_timeout=IDLE_CONNECTION_SECONDS,
    )
