"""Chooses which of the named versions a process downloads now.

Load pattern: versions are named faster than weights can be transferred. If each naming aborted the
download of the version before, none would ever be complete, and no caller would be served once the
bounds of all had passed. If each download were finished, a version that is replaced at once would
delay its successor by a whole transfer.

So a version of which half has arrived is finished before a newer one is begun. One of which less
has arrived is set aside, as long as the shares that were set aside since the last complete version
add up to less than half of one. A download that stalls, for instance because the origin is gone,
makes way for the other version.

A version of which some has arrived is also finished first if the newer one can still follow in
time, before it is replaced in turn. Its pieces are nearby already, whereas those of the newer one
have to come from the origin, which may fail at any moment: processes that had all set the older
version aside would then hold neither when the bound of the one in use passes.
"""

# The share of a version from which on its download is finished first: beyond it, starting over
# loses more than the newer version gains.
FINISH_FIRST_SHARE = 0.5
# With less than this of a version it is as well to begin with the newer one.
MIN_FINISH_SHARE = 0.1
# From when a version has arrived until an engine answers with it: its last requests end, and it
# loads the weights.
SWITCH_SECONDS = 1.0
# Longer than a chunk takes behind several others on a narrow link.
STALL_TIMEOUT_SECONDS = 1.5


class VersionChoice:
    """The version that is being downloaded, and the one that was set aside for it.

    Attributes:
      version: The version to download now; None before the first.
    """

    __slots__ = ("version", "_may_resume", "_set_aside", "_abandoned_share")

    def __init__(self, may_resume: bool = True) -> None:
        """Creates a choice.

        Args:
          may_resume: Whether to resume the version that was set aside when the newer one stalls.
            Processes that send weights to others must not: two of them would each wait for the
            part of the version that the other has set aside.
        """
        self.version: int | None = None
        self._may_resume = may_resume
        self._set_aside: int | None = None
        self._abandoned_share = 0.0

    def choose(
        self,
        newest: int,
        share: float,
        idle: float,
        complete: bool,
        finish_first: bool = False,
        expired: bool = False,
    ) -> int:
        """Returns the version to download now.

        Args:
          newest: The newest version that was named.
          share: The share of the current version that has arrived.
          idle: The seconds since some of it arrived, or since its download began.
          complete: All of it has arrived and is in use.
          finish_first: Whether the newer version can follow in time; see can_follow.
          expired: Whether requests may no longer be placed on the current version, so that it is
            of no use any more.
        """
        stalled = idle > STALL_TIMEOUT_SECONDS
        if self.version is None or complete:
            self.version, self._set_aside, self._abandoned_share = newest, None, 0.0
        elif self.version == newest:
            can_resume = self._may_resume and self._set_aside is not None
            if stalled and share < 1.0 and can_resume:
                self.version, self._set_aside = self._set_aside, newest
        elif expired:
            self.version, self._set_aside = newest, None
        elif stalled or (not finish_first and self._abandoned_share + share < FINISH_FIRST_SHARE):
            self._abandoned_share += share
            # Nothing is lost of a version of which nothing has arrived. Zero stands for whatever
            # version peers know as the newest, so it cannot be resumed.
            if self.version and share > 0.0:
                self._set_aside = self.version
            self.version = newest
        return self.version


def can_follow(share: float, copy_seconds: float, seconds_left: float) -> bool:
    """Returns whether a newer version can be in use in time if the current one is finished first.

    Args:
      share: The share of the current version that has arrived.
      copy_seconds: For how long a whole version takes.
      seconds_left: Until requests may no longer be placed on the current version.
    """
    if share < MIN_FINISH_SHARE:
        return False
    return (1.0 - share) * copy_seconds + copy_seconds + SWITCH_SECONDS <= seconds_left
