"""One request to a model: its stream goes on elsewhere when its endpoint dies or leaves."""

import asyncio
import collections.abc

from tornado import httpclient

from ..core.errors import CodedError
from ..observe.event import Event
from ..observe.event_log import EventLog
from .caller_request import CallerRequest
from .endpoint_table import EndpointTable
from .generation_reader import Generation
from .model_attempt import ModelAttempt
from .no_place_alone import NoPlaceAloneError
from .retry_rule import RetryRule
from .traffic import Traffic
from .work_item import Priority, WorkItem

# Most streams end by themselves in this time; a longer one is handed on, so that the
# instance can stop long before its drain would run out.
HAND_ON_AFTER_SECONDS = 3.0
FINAL_CODES = frozenset(("attempt_invalid", "request_blocked"))


class ModelCaller:
    """Runs requests to models for the callers of one entry."""

    __slots__ = ("_client", "_traffic", "_table", "_log")

    def __init__(
        self,
        client: httpclient.AsyncHTTPClient,
        traffic: Traffic,
        table: EndpointTable,
        log: EventLog,
    ) -> None:
        self._client = client
        self._traffic = traffic
        self._table = table
        self._log = log

    async def generate(
        self, caller: CallerRequest, model: str, prompt: str, max_tokens: int
    ) -> collections.abc.AsyncIterator[Generation]:
        """Yields an answer as it comes; the last piece is marked finished.

        Raises:
          CodedError: The answer will not become whole.
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
        permit = await self._traffic.admit(item)
        stream = ResumedStream(self._client, self._traffic, self._table, self._log, item)
        try:
            while True:
                generation = await stream.read()
                if generation.tokens or generation.finished:
                    yield generation
                if generation.finished:
                    return
        finally:
            stream.end()
            permit.release()


class ResumedStream:
    """One answer, read over as many attempts as it takes and the retry budget allows."""

    __slots__ = ("_client", "_traffic", "_table", "_log", "_item", "_attempt", "_tried")
    __slots__ += ("_version", "_next_token", "_hand_on_at", "_finished", "_retries")

    def __init__(
        self,
        client: httpclient.AsyncHTTPClient,
        traffic: Traffic,
        table: EndpointTable,
        log: EventLog,
        item: WorkItem,
    ) -> None:
        self._client = client
        self._traffic = traffic
        self._table = table
        self._log = log
        self._item = item
        self._retries = RetryRule(traffic, item)
        self._attempt: ModelAttempt | None = None
        self._tried: frozenset[str] = frozenset()
        self._version = ""
        self._next_token = 0
        self._hand_on_at: float | None = None
        self._finished = False

    async def read(self) -> Generation:
        """Returns the next piece of the answer, from wherever it comes.

        Raises:
          CodedError: The answer will not become whole.
        """
        while True:
            try:
                if self._attempt is None:
                    await self._start()
                generation = await self._attempt.read()
            except CodedError as error:
                await self._recover(error)
                continue
            if generation.tokens:
                self._version = generation.version
                self._next_token += len(generation.tokens)
            self._finished = generation.finished
            if not self._finished:
                await self._hand_on_if_leaving()
            return generation

    def end(self) -> None:
        """Ends whatever attempt is open; frees its slot where the answer is not whole."""
        if self._attempt is not None:
            self._attempt.end("" if self._finished else "cancelled")
            self._attempt = None

    async def _start(self) -> None:
        self._attempt = self._make_attempt(self._tried)
        await self._attempt.open()

    async def _start_again(self) -> None:
        """Starts an attempt after a failed one, in its turn where it must run alone."""
        # An endpoint that dies with more streams than there are others leaves suspects without
        # a place of their own. Their texts would end in an error half way, although endpoints
        # have room; they wait until a suspect before them has ended instead.
        waited = False
        while True:
            try:
                await self._start()
                return
            except NoPlaceAloneError:
                if not waited:
                    self._log_wait()
                waited = True
                if not await self._traffic.suspect_turns.wait(self._item.deadline):
                    raise
            except CodedError as error:
                unplaced = self._attempt is None and error.code == "no_endpoint"
                if not (
                    unplaced and await self._traffic.wait_for_endpoint(self._item, self._tried)
                ):
                    raise

    def _log_wait(self) -> None:
        self._log.write(
            Event.REQUEST_WAITING,
            request=self._item.request_id,
            workspace=self._item.workspace,
            reason="alone",
        )

    def _make_attempt(self, left_out: frozenset[str]) -> ModelAttempt:
        if self._next_token:
            # The caller holds tokens of one version; another's would make an answer that no
            # version ever gave.
            left_out |= {
                view.instance.name
                for view in self._table.views
                if view.status is None or view.status.version != self._version
            }
        placement = self._traffic.place(self._item, left_out)
        return ModelAttempt(self._client, self._table, placement, self._version, self._next_token)

    async def _recover(self, error: CodedError) -> None:
        """Prepares another attempt, or raises the error where there will be none."""
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            raise error
        name = attempt.placement.view.instance.name
        attempt.end(error.code)
        pause = None if error.code in FINAL_CODES else self._retries.pause_before(error)
        if pause is None or asyncio.get_running_loop().time() + pause >= self._item.deadline:
            raise error
        await asyncio.sleep(pause)
        self._tried |= {name}
        self._hand_on_at = None
        try:
            await self._start_again()
        except CodedError as failure:
            if self._attempt is None:
                raise error from failure
            await self._recover(failure)
            return
        self._log.write(
            Event.STREAM_RESUMED,
            request=self._item.request_id,
            endpoint=self._attempt.placement.view.instance.name,
            after=error.code,
            token=self._next_token,
        )

    async def _hand_on_if_leaving(self) -> None:
        """Moves a long stream off an endpoint that is leaving, if another can go on with it."""
        if not self._attempt.leaving:
            return
        now = asyncio.get_running_loop().time()
        if self._hand_on_at is None:
            self._hand_on_at = now + HAND_ON_AFTER_SECONDS
        if now < self._hand_on_at:
            return
        self._hand_on_at = now + HAND_ON_AFTER_SECONDS
        leaving = self._attempt.placement.view.instance.name
        try:
            successor = self._make_attempt(self._tried | {leaving})
        except CodedError:
            return
        # The old stream is dropped only once the new one has answered: a planned stop must
        # not cut a stream that nobody else can go on with.
        try:
            await successor.open()
        except BaseException as error:
            successor.end(error.code if isinstance(error, CodedError) else "cancelled")
            if isinstance(error, CodedError):
                return
            raise
        self._attempt.end("endpoint_leaving")
        self._attempt = successor
        self._hand_on_at = None
        self._log.write(
            Event.STREAM_HANDED_ON,
            request=self._item.request_id,
            endpoint=successor.placement.view.instance.name,
            token=self._next_token,
        )
