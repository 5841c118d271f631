"""Runs the calls that carry keys, each at most once, and answers every copy of a call."""

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

CONFLICT_MESSAGE = "the key came with another request before; that one may have run"


class KeyedCalls:
    """Joins the ledger, which decides, with the tasks that run calls."""

    __slots__ = ("_ledger", "_tasks", "_log", "_started", "_running")

    def __init__(self, ledger: IdempotencyLedger, tasks: BackgroundTasks, log: EventLog) -> None:
        self._ledger = ledger
        self._tasks = tasks
        self._log = log
        self._started = boot_seconds()
        self._running: dict[bytes, asyncio.Task[ServiceReply]] = {}

    @property
    def uptime(self) -> float:
        """Seconds since this incarnation started; the time that keys are written in."""
        # The event loop's clock stands still while the instance is suspended. By it a charge
        # that waited in the socket would start long after its caller gave up, and the keys that
        # entries issue next would seem to come from the future: each such charge ended as
        # "unknown" for up to a minute, though none had run.
        return boot_seconds() - self._started

    @property
    def remembered(self) -> int:
        """How many keys are remembered."""
        return self._ledger.size

    def leave(self) -> None:
        """Refuses from now on every call that has not started."""
        self._ledger.refuse_new_keys()

    async def run(
        self,
        workspace: str,
        key: IdempotencyKey,
        fingerprint: bytes,
        start_before: float,
        work: Work,
    ) -> ServiceReply:
        """Runs a call, or waits for or returns the answer of an earlier copy.

        Args:
          start_before: The uptime after which the call must not start any more.

        Raises:
          CodedError: No whole answer; the outcome is proved.
        """
        verdict = self._ledger.begin(workspace, key, fingerprint, self.uptime, start_before)
        identity = record_id(workspace, key)
        if verdict.verdict is Verdict.RUN:
            self._log.write(Event.CALL_STARTED, workspace=workspace, key=str(key))
            # A task of its own: the run and its record must outlive the connection that the
            # first copy came on, or a resend would find neither an answer nor a run.
            task = self._tasks.start("keyed call", self._run(workspace, key, work))
            self._running[identity] = task
            task.add_done_callback(lambda _: self._running.pop(identity, None))
            return await self._wait(task)
        if verdict.verdict is Verdict.JOIN:
            self._log.write(Event.CALL_JOINED, workspace=workspace, key=str(key))
            task = self._running.get(identity)
            if task is None:
                raise CodedError("service_lost", "the run was ended", 504, Outcome.UNKNOWN)
            return mark_replayed(await self._wait(task))
        if verdict.verdict is Verdict.REPLAY:
            self._log.write(Event.CALL_REPLAYED, workspace=workspace, key=str(key))
            return replay(verdict.answer)
        event = Event.CALL_NOT_RUN if verdict.verdict is Verdict.NOT_RUN else Event.CALL_UNKNOWN
        self._log.write(event, workspace=workspace, key=str(key), code=verdict.code)
        raise refusal(verdict)

    async def _wait(self, task: asyncio.Task[ServiceReply]) -> ServiceReply:
        # Shielded, so that a copy whose entry gave up does not end the run for the others.
        # The error is a new one for each waiter; one exception object raised at two places
        # would show each the other's traceback.
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
    """Returns a reply marked as an earlier copy's."""
    return ServiceReply(reply.status, reply.content_type, reply.body, replayed=True)


def replay(answer: StoredAnswer) -> ServiceReply:
    """Returns a kept answer.

    Raises:
      CodedError: The call ran, and its answer's body was evicted; outcome DONE.
    """
    if answer.body is None:
        message = f"the call ran and was answered with status {answer.status}"
        raise CodedError("answer_forgotten", message, 410, Outcome.DONE)
    return ServiceReply(answer.status, answer.content_type, answer.body, replayed=True)


def refusal(verdict: IdempotencyVerdict) -> CodedError:
    """Returns the error that tells a verdict."""
    if verdict.verdict is Verdict.NOT_RUN:
        return CodedError(verdict.code, "not run, and never will be with this key", 503)
    if verdict.verdict is Verdict.CONFLICT:
        # The other request may be this one, spelt differently. "Not run" would invite a
        # caller to charge again.
        return CodedError(verdict.code, CONFLICT_MESSAGE, 422, Outcome.UNKNOWN)
    return CodedError(verdict.code, "nobody can tell any more", 504, Outcome.UNKNOWN)
