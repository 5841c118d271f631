"""The body of /v1/chat/completions."""

import msgspec

from .chat_message import ChatMessage
from .completion_body import DEFAULT_MAX_TOKENS, CompletionBody, MaxTokens


class ChatBody(msgspec.Struct):
    """What a caller may say of a chat; other keys of the usual API are passed over."""

    model: str
    messages: list[ChatMessage]
    max_tokens: MaxTokens = DEFAULT_MAX_TOKENS
    stream: bool = False

    def as_completion(self) -> CompletionBody:
        """Returns the completion that this chat asks for, its messages joined into a prompt."""
        prompt = "\n".join(f"{message.role}: {message.content}" for message in self.messages)
        return CompletionBody(self.model, prompt, self.max_tokens, self.stream)
