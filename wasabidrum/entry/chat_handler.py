"""Serves chat completions, as one response or as server-sent events."""

from ..core.decoding import decode_json
from .chat_body import ChatBody
from .completion_body import CompletionBody
from .model_handler import ModelHandler


class ChatHandler(ModelHandler):
    """Serves POST /v1/chat/completions."""

    object_name = "chat.completion"

    def decode_body(self) -> CompletionBody:
        """Decodes the body and returns it as a completion request."""
        return decode_json(self.body, ChatBody, "body_invalid", 400).as_completion()

    def choice(self, text: str, reason: str | None, complete: bool) -> dict[str, object]:
        """Returns the single choice of a chat response or of one of its events."""
        key = "message" if complete else "delta"
        content = {"role": "assistant", "content": text}
        return {"index": 0, key: content, "finish_reason": reason}
