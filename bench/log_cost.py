"""What the lines of one request cost an entry in processor time, written and not written.

python -m bench.log_cost [--requests N]
"""

import argparse
import sys
import time

import logbook

from wasabidrum.observe import event_log
from wasabidrum.observe.event import Event
from wasabidrum.observe.event_log import EventLog, OutputHandler
from wasabidrum.observe.nonblocking_output import NonBlockingOutput


def make_log(output: NonBlockingOutput | None) -> EventLog:
    """Returns a log that writes each line to an output, or without one only counts."""
    logger = logbook.Logger("bench", level=logbook.INFO if output else logbook.CRITICAL)
    if output is not None:
        logger.handlers.append(OutputHandler(output))
    return EventLog(logger, "front-a-1")


def write_request(log: EventLog, number: int) -> None:
    """Logs what an entry logs for a successful stream."""
    request = f"{number:016x}"
    log.write(
        Event.REQUEST_PLACED,
        request=request,
        workspace="till",
        route="r-1",
        service="text",
        endpoint="i-8565670940",
        weights=1,
        forecast=0.133,
        in_progress=4,
        after="",
    )
    log.write(
        Event.REQUEST_DONE,
        request=request,
        seconds=1.2034,
        revision=3,
        evidence_age=0.8,
        route="r-1",
        workspace="till",
        outcome="done",
        endpoint="i-8565670940",
        events=21,
        first_token=0.1712,
        attempts=1,
    )


def microseconds_each(log: EventLog, requests: int) -> float:
    """Returns the processor time of one request's lines."""
    began = time.process_time()
    for number in range(requests):
        write_request(log, number)
    return 1e6 * (time.process_time() - began) / requests


def main() -> int:
    """Measures and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    options = parser.parse_args()
    # Routine events are rate-limited under high load; here every line has to be written.
    event_log.ROUTINE_EVENTS = frozenset()
    with open("/dev/null", "wb", buffering=0) as sink:
        written = microseconds_each(make_log(NonBlockingOutput(sink.fileno())), options.requests)
    silent = microseconds_each(make_log(None), options.requests)
    print(f"lines of a request written: {written:.0f} us of processor time")
    print(f"the same counted and kept in memory, not written: {silent:.0f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main())
