"""A call to a plain service as its caller sent it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceOrder:
    """What is to be sent to which service.

    Attributes:
      key: The caller's idempotency key, or empty.
    """

    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    key: str = ""
