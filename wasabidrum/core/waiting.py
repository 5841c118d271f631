"""Waits for a limited time without losing a cancellation."""

import asyncio
import collections.abc
import typing

Result = typing.TypeVar("Result")


async def wait_for(awaitable: collections.abc.Awaitable[Result], seconds: float) -> Result:
    """Returns what an awaitable gives within some seconds, as asyncio.wait_for does.

    Before Python 3.12 asyncio.wait_for drops a cancellation that comes in the turn of the event
    loop in which the awaitable ends: its caller goes on as if nobody had cancelled it, and nobody
    does so again. Turns are long in a busy process. A request whose caller has left was then sent
    to an endpoint, and held a place there until its first event.

    Raises:
      TimeoutError: It gave nothing in that time.
      asyncio.CancelledError: The task was cancelled, whatever the awaitable has given.
    """
    try:
        return await asyncio.wait_for(awaitable, seconds)
    finally:
        if asyncio.current_task().cancelling():
            raise asyncio.CancelledError
