"""An endpoint's answer that arrived whole."""

import dataclasses

from ..core.request_head import ReplyHead


@dataclasses.dataclass(frozen=True, slots=True)
class WholeReply:
    """Head and body, for a caller."""

    head: ReplyHead
    body: bytes
