"""A caller's request to a plain service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request to a plain service as its caller sent it.

    Attributes:
      key: The caller's idempotency key, or empty.
    """

    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    key: str = ""
