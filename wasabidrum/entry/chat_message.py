"""One message of a chat."""

import msgspec


class ChatMessage(msgspec.Struct):
    """The role of the speaker and the text."""

    role: str
    content: str
