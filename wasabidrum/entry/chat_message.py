"""One message of a chat."""

import msgspec


class ChatMessage(msgspec.Struct):
    """Who said what."""

    role: str
    content: str
