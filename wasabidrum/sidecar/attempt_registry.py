"""The model attempts that run through a sidecar, so that each can be cancelled at any time."""

import asyncio

MAX_REMEMBERED_CANCELS = 1024


class AttemptRegistry:
    """Tasks by attempt id, and the ids of attempts that were cancelled before they arrived."""

    __slots__ = ("_tasks", "_cancelled")

    def __init__(self) -> None:
        self._tasks: dict[str, asyncio.Task] = {}
        self._cancelled: dict[str, None] = {}

    def begin(self, attempt_id: str, task: asyncio.Task) -> bool:
        """Registers an attempt; returns False if it must not start."""
        # A cancel uses a connection of its own and may arrive before its attempt. If it were
        # not remembered, the attempt would occupy a slot for a caller that has disconnected. A
        # duplicate of a running attempt would occupy a second slot.
        if attempt_id in self._cancelled or attempt_id in self._tasks:
            return False
        self._tasks[attempt_id] = task
        return True

    def end(self, attempt_id: str) -> None:
        """Unregisters an attempt that has ended."""
        self._tasks.pop(attempt_id, None)

    def cancel(self, attempt_id: str) -> bool:
        """Cancels an attempt now, or when it arrives; returns whether it was running."""
        task = self._tasks.get(attempt_id)
        if task is not None:
            task.cancel()
            return True
        self._cancelled[attempt_id] = None
        while len(self._cancelled) > MAX_REMEMBERED_CANCELS:
            del self._cancelled[next(iter(self._cancelled))]
        return False
