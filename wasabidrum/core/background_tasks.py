"""Background tasks of a daemon, whose failures must be reported."""

import asyncio
import collections.abc


class BackgroundTasks:
    """Starts tasks, reports those that fail, and cancels all of them together."""

    __slots__ = ("_tasks", "_on_failure")

    def __init__(self, on_failure: collections.abc.Callable[[str, BaseException], None]) -> None:
        self._tasks: set[asyncio.Task] = set()
        self._on_failure = on_failure

    def start(self, name: str, work: collections.abc.Coroutine) -> asyncio.Task:
        """Starts a task, which runs until it ends or cancel_all is called."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    async def cancel_all(self) -> None:
        """Cancels every task and waits until all have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._on_failure(task.get_name(), task.exception())
