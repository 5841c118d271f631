"""The HTTP routes for callers and the server that serves them."""

import msgspec
from tornado import httputil, web

from ..core.outcome import Outcome
from ..wire import headers
from ..wire.ending_server import EndingServer
from ..wire.raw_response import make_response
from .caller_handler import BODY_TIMEOUT_SECONDS, LINGER_SECONDS, MAX_DISCARDED_BYTES
from .caller_handler_owner import CallerHandlerOwner
from .chat_handler import ChatHandler
from .health_handler import HealthHandler
from .key_handler import KeyHandler
from .model_handler import ModelHandler
from .service_handler import ServiceHandler
from .unknown_path_handler import UnknownPathHandler

# An idle connection, or one whose request head arrives slower than this, is closed.
IDLE_CONNECTION_SECONDS = 60.0
MAX_HEAD_BYTES = 16_384
# As it was received, decoded, encoded for a sidecar, and on its way there.
WHOLE_COPIES = 4


def make_caller_server(entry: CallerHandlerOwner) -> EndingServer:
    """Returns the HTTP server for callers, not yet bound to a port."""
    handler_args = {"entry": entry}
    application = web.Application(
        [
            (r"/v1/completions", ModelHandler, handler_args),
            (r"/v1/chat/completions", ChatHandler, handler_args),
            (r"/v1/idempotency-keys", KeyHandler, handler_args),
            (r"/services/([A-Za-z0-9._-]+)/.*", ServiceHandler, handler_args),
            (r"/healthz", HealthHandler, handler_args),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=handler_args,
        log_function=lambda handler: None,
    )
    server = EndingServer(
        application,
        max_body_size=MAX_DISCARDED_BYTES,
        max_header_size=MAX_HEAD_BYTES,
        body_timeout=BODY_TIMEOUT_SECONDS + LINGER_SECONDS,
        idle_connection_timeout=IDLE_CONNECTION_SECONDS,
    )
    leaving = "this entry is shutting down"
    late = "the connection was closed before the request came whole"
    server.leaving_response = make_refusal(503, "Service Unavailable", "entry_leaving", leaving)
    full = "this entry has as many connections as it may have"
    server.full_response = make_refusal(503, "Service Unavailable", "entry_full", full)
    memory = "this entry holds too much of other requests"
    server.memory_response = make_refusal(503, "Service Unavailable", "memory_short", memory)
    server.whole_copies = WHOLE_COPIES
    server.idle_response = make_refusal(408, "Request Timeout", "request_late", late)
    return server


def make_refusal(status: int, reason: str, code: str, message: str) -> bytes:
    """Returns the response to a request that was not received whole."""
    outcome = Outcome.NOT_RUN.value
    error = {"code": code, "message": message, "outcome": outcome, "retry_after": 1.0}
    fields = {"Content-Type": "application/json", headers.OUTCOME: outcome, "Retry-After": "1"}
    body = msgspec.json.encode({"error": error})
    return make_response(status, reason, httputil.HTTPHeaders(fields), body)
