"""Classifies how a connection was closed, and how far its latest request had come by then.

Load pattern: thousands of kept connections are closed a day, nearly all of them between two
requests. One that is closed with a request that was received in part or whole leaves its caller
without a word, and no other log line need tell of it.
"""

import dataclasses
import enum


class CloseCause(enum.Enum):
    """Why a connection was closed.

    NO_ROOM is for another one, or at once, as the server had as many as it may have. OTHER is its
    caller, its request's handler or a library.
    """

    IDLE_LIMIT = "idle_limit"
    HEAD_LIMIT = "head_limit"
    BODY_LIMIT = "body_limit"
    CALLER_GONE = "caller_gone"
    NO_ROOM = "no_room"
    SERVER_ENDS = "server_ends"
    UNREAD = "unread"
    OTHER = "other"


class CloseStage(enum.Enum):
    """What had become of the latest request on a connection that was closed."""

    UNREAD = "unread"
    PART = "part"
    WHOLE = "whole"
    ANSWERING = "answering"
    ANSWERED = "answered"


@dataclasses.dataclass(frozen=True, slots=True)
class LatestRequest:
    """The latest request on a connection.

    Attributes:
      begun: Whether a part of it was received.
      received: Whether it was received completely.
      answered: Whether an answer to it was begun.
      finished: Whether the answer was passed on completely.
    """

    begun: bool
    received: bool
    answered: bool
    finished: bool


def close_stage(request: LatestRequest) -> CloseStage:
    """Returns what had become of a request when its connection was closed."""
    if request.finished:
        return CloseStage.ANSWERED
    if request.answered:
        return CloseStage.ANSWERING
    if request.received:
        return CloseStage.WHOLE
    return CloseStage.PART if request.begun else CloseStage.UNREAD


def leaves_caller_without_answer(cause: CloseCause, stage: CloseStage) -> bool:
    """Returns whether a close is this process's own, with a request that is not answered whole."""
    if cause is CloseCause.OTHER:
        return False
    return stage in (CloseStage.PART, CloseStage.WHOLE, CloseStage.ANSWERING)
