"""The model attempts that run through a sidecar, so that each can be ended at any moment."""

import asyncio

REMEMBERED_CANCELS = 1024


class Attempts:
    """Tasks by attempt id, and the ids of late attempts that were cancelled already."""

    __slots__ = ("_tasks", "_cancelled")

    def __init__(self) -> None:
        self._tasks: dict[str, asyncio.Task] = {}
        self._cancelled: dict[str, None] = {}

    def begin(self, attempt_id: str, task: asyncio.Task) -> bool:
        """Registers an attempt; returns False where it must not start."""
        # A cancel travels on a connection of its own and may overtake its attempt. Without
        # this memory the attempt would then hold a slot for a caller that is long gone. A
        # duplicate on the network would hold a second slot.
        if attempt_id in self._cancelled or attempt_id in self._tasks:
            return False
        self._tasks[attempt_id] = task
        return True

    def end(self, attempt_id: str) -> None:
        """Forgets an attempt that ended."""
        self._tasks.pop(attempt_id, None)

    def cancel(self, attempt_id: str) -> bool:
        """Ends an attempt now, or when it arrives; returns whether it ran."""
        task = self._tasks.get(attempt_id)
        if task is not None:
            task.cancel()
            return True
        self._cancelled[attempt_id] = None
        while len(self._cancelled) > REMEMBERED_CANCELS:
            del self._cancelled[next(iter(self._cancelled))]
        return False
