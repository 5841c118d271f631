"""The body of /v1/chat/completions."""

import msgspec

from .chat_message import ChatMessage
from .completion_body import DEFAULT_MAX_TOKENS, CompletionBody, MaxTokens


class ChatBody(msgspec.Struct):
    """The supported keys of a chat request; other keys of the usual API are ignored."""

    model: str
    messages: list[ChatMessage]
    max_tokens: MaxTokens = DEFAULT_MAX_TOKENS
    stream: bool = False

    def as_completion(self) -> CompletionBody:
        """Returns the equivalent completion request, with the messages joined into a prompt."""
        prompt = "\n".join(f"{message.role}: {message.content}" for message in self.messages)
        return CompletionBody(self.model, prompt, self.max_tokens, self.stream)
