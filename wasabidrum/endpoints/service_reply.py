"""A plain service's whole answer."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReply:
    """Status, content type and body of an answer that arrived whole.

    Attributes:
      replayed: Whether it was kept from an earlier copy of the same call.
    """

    status: int
    content_type: str
    body: bytes
    replayed: bool = False
