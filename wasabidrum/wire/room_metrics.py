"""The metrics of what a process holds of requests."""

from ..observe.metrics import Metrics
from .request_room import RequestRoom


def add_room_metrics(metrics: Metrics, room: RequestRoom) -> None:
    """Adds what requests hold now, in bytes, and how many were refused for that."""
    metrics.add_gauge(
        "unfinished_request_bytes",
        "Held of requests that were not received whole.",
        lambda: room.unfinished,
    )
    metrics.add_gauge(
        "whole_request_bytes",
        "Held of requests that were received whole, where no other gauge counts them.",
        lambda: room.whole,
    )
    metrics.add_counter(
        "requests_gave_way",
        "Requests that were refused because requests held too much.",
        "room",
        lambda: {"requests": room.gave_way},
    )
