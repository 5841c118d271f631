"""The catalogue of numbered events; docs/EVENTS.md explains each."""

import enum


class Event(enum.IntEnum):
    """Every event that a daemon logs. Numbers are stable; a number is never reused."""

    # 1000: the process.
    DAEMON_STARTED = 1001
    DAEMON_LEAVING = 1002
    DAEMON_STOPPED = 1003
    TASK_FAILED = 1004

    # 2000: requests.
    REQUEST_PLACED = 2001
    REQUEST_REFUSED = 2002
    REQUEST_DONE = 2003
    REQUEST_FAILED = 2004
    REQUEST_CANCELLED = 2005

    # 3000: weights.
    VERSION_WANTED = 3001
    VERSION_STAGED = 3002
    VERSION_IN_FORCE = 3003
    VERSION_FAILED = 3004
    VERSION_SUPERSEDED = 3005

    # 4000: configuration and membership.
    REVISION_IN_FORCE = 4001
    REVISION_REFUSED = 4002
    CONFIGURATION_UNREACHABLE = 4003

    # 5000: calls with keys, and streams that go on elsewhere.
    CALL_STARTED = 5001
    CALL_JOINED = 5002
    CALL_REPLAYED = 5003
    CALL_NOT_RUN = 5004
    CALL_UNKNOWN = 5005
    CALL_ASKED_AGAIN = 5006
    CALL_PLACED_AGAIN = 5007
    STREAM_RESUMED = 5008
    STREAM_HANDED_ON = 5009
    KEY_ISSUED = 5010
    WORK_WHILE_LEAVING = 5011

    # 6000: the process's surroundings.
    HANDLER_FAILED = 6001
    CERTIFICATES_IN_FORCE = 6002
    CERTIFICATES_REFUSED = 6003
