"""Runs calls with idempotency keys, each at most once, and answers all copies of a call."""

import asyncio
import collections.abc

from ..core.background_tasks import BackgroundTasks
from ..core.boot_clock import boot_seconds
from ..core.errors import CodedError
from ..core.outcome import Outcome
from ..decisions.idempotency_key import IdempotencyKey
from ..decisions.idempotency_ledger import IdempotencyLedger, record_id
from ..decisions.idempotency_record import StoredAnswer
from ..decisions.idempotency_verdict import IdempotencyVerdict, Verdict
from ..endpoints.service_reply import ServiceReply
from ..observe.event import Event
from ..observe.event_log import EventLog

Work = collections.abc.Callable[[], collections.abc.Awaitable[ServiceReply]]

CONFLICT_MESSAGE = "the key was used with a different request before, which may have run"


class IdempotentCalls:
    """Runs each call as the ledger decides, in a task that all copies of the call share."""

    __slots__ = ("_ledger", "_tasks", "_log", "_started", "_running")

    def __init__(self, ledger: IdempotencyLedger, tasks: BackgroundTasks, log: EventLog) -> None:
        self._ledger = ledger
        self._tasks = tasks
        self._log = log
        self._started = boot_seconds()
        self._running: dict[bytes, asyncio.Task[ServiceReply]] = {}

    @property
    def uptime(self) -> float:
        """Seconds since this incarnation started; the times in keys are uptimes."""
        # The event loop's clock stops while the instance is suspended. With that clock, a call
        # that waited in the socket would start long after its caller gave up. New keys from
        # entries would appear to be issued in the future, and their calls would end as
        # "unknown" for up to a minute although none had run.
        return boot_seconds() - self._started

    @property
    def key_count(self) -> int:
        """The number of keys in the ledger."""
        return self._ledger.size

    def refuse_new_calls(self) -> None:
        """Refuses from now on all calls that have not started."""
        self._ledger.refuse_new_keys()

    async def run(
        self,
        workspace: str,
        key: IdempotencyKey,
        fingerprint: bytes,
        start_before: float,
        work: Work,
    ) -> ServiceReply:
        """Runs a call, or returns the answer to an earlier copy, once there is one.

        Args:
          start_before: The uptime after which the call must not start.
          work: Sends the call to the service.

        Raises:
          CodedError: There is no complete answer. The error's outcome is reliable.
        """
        verdict = self._ledger.begin(workspace, key, fingerprint, self.uptime, start_before)
        call_id = record_id(workspace, key)
        if verdict.verdict is Verdict.RUN:
            self._log.write(Event.CALL_STARTED, workspace=workspace, key=str(key))
            # A separate task: the run and its record must outlive the connection of the first
            # copy; otherwise a retry would find neither an answer nor a run to wait for.
            task = self._tasks.start("keyed call", self._run(workspace, key, work))
            self._running[call_id] = task
            task.add_done_callback(lambda _: self._running.pop(call_id, None))
            return await self._wait(task)
        if verdict.verdict is Verdict.JOIN:
            self._log.write(Event.CALL_JOINED, workspace=workspace, key=str(key))
            task = self._running.get(call_id)
            if task is None:
                raise CodedError("service_lost", "the run was cancelled", 504, Outcome.UNKNOWN)
            return mark_replayed(await self._wait(task))
        if verdict.verdict is Verdict.REPLAY:
            self._log.write(Event.CALL_REPLAYED, workspace=workspace, key=str(key))
            return make_replayed_reply(verdict.answer)
        event = Event.CALL_NOT_RUN if verdict.verdict is Verdict.NOT_RUN else Event.CALL_UNKNOWN
        self._log.write(event, workspace=workspace, key=str(key), code=verdict.code)
        raise make_error(verdict)

    async def _wait(self, task: asyncio.Task[ServiceReply]) -> ServiceReply:
        # Shielded, so that a copy whose entry disconnected does not cancel the run for the
        # others. Each waiter gets a new error: one exception object raised in several tasks
        # would mix up their tracebacks.
        try:
            return await asyncio.shield(task)
        except CodedError as error:
            raise CodedError(error.code, str(error), error.http_status, error.outcome) from error

    async def _run(self, workspace: str, key: IdempotencyKey, work: Work) -> ServiceReply:
        try:
            reply = await work()
        except CodedError as error:
            if error.outcome is Outcome.NOT_RUN:
                self._ledger.end_not_run(workspace, key, error.code, self.uptime)
            else:
                self._ledger.end_unknown(workspace, key, error.code, self.uptime)
            raise
        except BaseException:
            self._ledger.end_unknown(workspace, key, "service_lost", self.uptime)
            raise
        answer = StoredAnswer(reply.status, reply.content_type, reply.body)
        self._ledger.end_done(workspace, key, answer, self.uptime)
        return reply


def mark_replayed(reply: ServiceReply) -> ServiceReply:
    """Returns a reply marked as a replay of the answer to an earlier copy."""
    return ServiceReply(reply.status, reply.content_type, reply.body, replayed=True)


def make_replayed_reply(answer: StoredAnswer) -> ServiceReply:
    """Returns a stored answer as a reply.

    Raises:
      CodedError: The call ran, but the body of its answer was evicted. The outcome is DONE.
    """
    if answer.body is None:
        message = f"the stored answer was evicted; the call ran with status {answer.status}"
        raise CodedError("answer_forgotten", message, 410, Outcome.DONE)
    return ServiceReply(answer.status, answer.content_type, answer.body, replayed=True)


def make_error(verdict: IdempotencyVerdict) -> CodedError:
    """Returns the error for a verdict by which the call does not run."""
    if verdict.verdict is Verdict.NOT_RUN:
        return CodedError(verdict.code, "not run, and never will be with this key", 503)
    if verdict.verdict is Verdict.CONFLICT:
        # The other request may be this one in a different encoding. With "not run", the caller
        # might charge a second time.
        return CodedError(verdict.code, CONFLICT_MESSAGE, 422, Outcome.UNKNOWN)
    return CodedError(verdict.code, "the outcome is no longer known", 504, Outcome.UNKNOWN)
