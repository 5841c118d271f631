"""Runs a model request; its stream is resumed elsewhere if the endpoint dies or leaves."""

import asyncio
import collections.abc

from tornado import httpclient

from ..core.errors import CodedError
from ..observe.event import Event
from ..observe.event_log import EventLog
from .caller_request import CallerRequest
from .endpoint_table import EndpointTable
from .model_attempt import ModelAttempt
from .no_exclusive_endpoint import NoExclusiveEndpointError
from .request_scheduler import RequestScheduler
from .retry_policy import RetryPolicy
from .token_stream_reader import TokenBatch
from .work_item import Priority, WorkItem

# Most streams finish by themselves within this time. A longer one is moved to another endpoint,
# so that the instance can stop long before its drain time is over.
HANDOVER_DELAY_SECONDS = 3.0
# The engine has turned the request away, and may have asked for rest.
REFUSED_CODE = "engine_refused"
NON_RETRYABLE_CODES = frozenset(("attempt_invalid", "request_blocked"))


class ModelCaller:
    """Runs model requests for the callers of one entry."""

    __slots__ = ("_client", "_scheduler", "_table", "_log")

    def __init__(
        self,
        client: httpclient.AsyncHTTPClient,
        scheduler: RequestScheduler,
        table: EndpointTable,
        log: EventLog,
    ) -> None:
        self._client = client
        self._scheduler = scheduler
        self._table = table
        self._log = log

    async def generate(
        self, caller: CallerRequest, model: str, prompt: str, max_tokens: int
    ) -> collections.abc.AsyncIterator[TokenBatch]:
        """Yields the answer in batches as they arrive; the last one is marked as finished.

        Raises:
          CodedError: The answer cannot be completed.
        """
        item = WorkItem(
            request_id=caller.request_id,
            workspace=caller.workspace,
            priority=Priority.GENERATE,
            deadline=caller.deadline,
            idempotent=True,
            model=model,
            prompt=prompt,
            max_tokens=max_tokens,
        )
        permit = await self._scheduler.admit(item)
        stream = ResumableStream(self._client, self._scheduler, self._table, self._log, item)
        try:
            while True:
                batch = await stream.read()
                if batch.tokens or batch.finished:
                    yield batch
                if batch.finished:
                    return
        finally:
            stream.end()
            permit.release()


class ResumableStream:
    """One answer, read over as many attempts as needed and as the retry budget allows."""

    __slots__ = ("_client", "_scheduler", "_table", "_log", "_item", "_attempt", "_tried")
    __slots__ += ("_version", "_next_token", "_handover_at", "_finished", "_retries")

    def __init__(
        self,
        client: httpclient.AsyncHTTPClient,
        scheduler: RequestScheduler,
        table: EndpointTable,
        log: EventLog,
        item: WorkItem,
    ) -> None:
        self._client = client
        self._scheduler = scheduler
        self._table = table
        self._log = log
        self._item = item
        self._retries = RetryPolicy(scheduler, item)
        self._attempt: ModelAttempt | None = None
        self._tried: frozenset[str] = frozenset()
        self._version = ""
        self._next_token = 0
        self._handover_at: float | None = None
        self._finished = False

    async def read(self) -> TokenBatch:
        """Returns the next batch of the answer, from whichever endpoint serves it.

        Raises:
          CodedError: The answer cannot be completed.
        """
        while True:
            try:
                if self._attempt is None:
                    await self._start()
                batch = await self._attempt.read()
            except CodedError as error:
                await self._recover(error)
                continue
            if batch.tokens:
                self._version = batch.version
                self._next_token += len(batch.tokens)
            self._finished = batch.finished
            if not self._finished:
                await self._hand_over_if_leaving()
            return batch

    def end(self) -> None:
        """Ends the open attempt, if any; an incomplete one is cancelled at the engine."""
        if self._attempt is not None:
            self._attempt.end("" if self._finished else "cancelled")
            self._attempt = None

    async def _start(self) -> None:
        self._attempt = self._make_attempt(self._tried)
        await self._attempt.open()

    async def _restart(self) -> None:
        """Starts another attempt after a failed one, waiting if no endpoint can take it yet."""
        # When an engine dies, every request that was in progress there becomes a suspect, and a
        # suspect runs only at an endpoint without another suspect. If there are more suspects
        # than endpoints, some find none although endpoints have room. They wait until another
        # suspect has ended; otherwise their streams would end in an error half way.
        waited = False
        while True:
            try:
                await self._start()
                return
            except NoExclusiveEndpointError:
                if not waited:
                    self._log_wait()
                waited = True
                if not await self._scheduler.suspect_ends.wait(self._item.deadline):
                    raise
            except CodedError as error:
                unplaced = self._attempt is None and error.code == "no_endpoint"
                if not (
                    unplaced and await self._scheduler.wait_for_endpoint(self._item, self._tried)
                ):
                    raise

    def _log_wait(self) -> None:
        self._log.write(
            Event.REQUEST_WAITING,
            request=self._item.request_id,
            workspace=self._item.workspace,
            reason="alone",
        )

    def _make_attempt(self, excluded: frozenset[str]) -> ModelAttempt:
        if self._next_token:
            # The caller already has tokens of one version. Continuing with another version would
            # produce an answer that neither version would have given.
            excluded |= {
                view.instance.name
                for view in self._table.views
                if view.status is None or view.status.version != self._version
            }
        placement = self._scheduler.place(self._item, excluded)
        return ModelAttempt(self._client, self._table, placement, self._version, self._next_token)

    async def _recover(self, error: CodedError) -> None:
        """Starts another attempt, or raises the error if there will be none."""
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            raise error
        name = attempt.placement.view.instance.name
        attempt.end(error.code)
        pause = (
            None if error.code in NON_RETRYABLE_CODES else self._retries.delay_before_retry(error)
        )
        if pause is None or asyncio.get_running_loop().time() + pause >= self._item.deadline:
            raise self._with_return(error)
        await asyncio.sleep(pause)
        self._tried |= {name}
        self._handover_at = None
        try:
            await self._restart()
        except CodedError as failure:
            if self._attempt is None:
                raise self._with_return(error) from failure
            await self._recover(failure)
            return
        self._log.write(
            Event.STREAM_RESUMED,
            request=self._item.request_id,
            endpoint=self._attempt.placement.view.instance.name,
            after=error.code,
            token=self._next_token,
        )

    def _with_return(self, error: CodedError) -> CodedError:
        """Returns an error that tells its caller when an engine takes requests again."""
        if error.code == REFUSED_CODE:
            error.retry_after = self._scheduler.seconds_until_return(self._item)
        return error

    async def _hand_over_if_leaving(self) -> None:
        """Moves a long stream away from a leaving endpoint if another endpoint can resume it."""
        if not self._attempt.leaving:
            return
        now = asyncio.get_running_loop().time()
        if self._handover_at is None:
            self._handover_at = now + HANDOVER_DELAY_SECONDS
        if now < self._handover_at:
            return
        self._handover_at = now + HANDOVER_DELAY_SECONDS
        leaving = self._attempt.placement.view.instance.name
        try:
            successor = self._make_attempt(self._tried | {leaving})
        except CodedError:
            return
        # The old stream is dropped only once the new one has started: a planned stop must not
        # interrupt a stream that no other endpoint can resume.
        try:
            await successor.open()
        except BaseException as error:
            successor.end(error.code if isinstance(error, CodedError) else "cancelled")
            if isinstance(error, CodedError):
                return
            raise
        self._attempt.end("endpoint_leaving")
        self._attempt = successor
        self._handover_at = None
        self._log.write(
            Event.STREAM_HANDED_ON,
            request=self._item.request_id,
            endpoint=successor.placement.view.instance.name,
            token=self._next_token,
        )
