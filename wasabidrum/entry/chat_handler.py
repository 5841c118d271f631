"""Answers chats, whole or as server-sent events."""

import msgspec

from .chat_body import ChatBody
from .completion_body import CompletionBody
from .model_handler import ModelHandler


class ChatHandler(ModelHandler):
    """POST /v1/chat/completions."""

    object_name = "chat.completion"

    def read_body(self) -> CompletionBody:
        """Returns what the caller asks for."""
        return msgspec.json.decode(self.body, type=ChatBody).as_completion()

    def choice(self, text: str, reason: str | None, whole: bool) -> dict[str, object]:
        """Returns the only choice of a chat."""
        key = "message" if whole else "delta"
        content = {"role": "assistant", "content": text}
        return {"index": 0, key: content, "finish_reason": reason}
