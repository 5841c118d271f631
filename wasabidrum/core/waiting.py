"""A wait with a timeout that does not lose a cancellation."""

import asyncio
import collections.abc
import typing

Result = typing.TypeVar("Result")


async def wait_for(awaitable: collections.abc.Awaitable[Result], seconds: float) -> Result:
    """Returns the result of an awaitable within some seconds, as asyncio.wait_for does.

    Before Python 3.12 asyncio.wait_for drops a cancellation that arrives in the same iteration of
    the event loop in which the awaitable completes. The caller then continues as if it had not been
    cancelled, and it is not cancelled again. Iterations are long in a busy process. The effect was
    that a request whose caller had left was sent to an endpoint, and held a slot there until its
    first event.

    Raises:
      TimeoutError: The awaitable did not complete in that time.
      asyncio.CancelledError: The task was cancelled, even if the awaitable has completed.
    """
    try:
        return await asyncio.wait_for(awaitable, seconds)
    finally:
        if asyncio.current_task().cancelling():
            raise asyncio.CancelledError
