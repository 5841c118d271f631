"""Background tasks of a daemon, whose failures must be reported."""

import asyncio
import collections.abc

FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 2.0

Work = collections.abc.Callable[[], collections.abc.Coroutine]


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

    def keep_running(self, name: str, work: Work) -> asyncio.Task:
        """Starts a task that is to run for as long as the daemon does.

        An error is reported, and the work begins anew after a pause. The pauses grow while one
        error follows another.

        Args:
          work: Called for each beginning; the task ends where what it returns ends without error.
        """
        return self.start(name, self._run_again(name, work))

    async def cancel_all(self) -> None:
        """Cancels every task and waits until all have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_again(self, name: str, work: Work) -> None:
        loop = asyncio.get_running_loop()
        pause = FIRST_PAUSE_SECONDS
        while True:
            began = loop.time()
            try:
                await work()
                return
            except Exception as error:
                self._on_failure(name, error)
            if loop.time() - began > MAX_PAUSE_SECONDS:
                pause = FIRST_PAUSE_SECONDS
            await asyncio.sleep(pause)
            pause = min(MAX_PAUSE_SECONDS, 2.0 * pause)

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._on_failure(task.get_name(), task.exception())
