"""Which of the versions that were named a process brings now.

Load pattern: versions are named faster than weights travel. Where each naming ends the work for
the one before, none is ever complete, and once the bounds of all have passed nobody is served.
Where each is finished, a version that is replaced at once delays its successor by a whole
transfer.

So a version of which half is here is finished before a newer one is begun. One of which less is
here is set aside, as long as all that was set aside since the last complete version is less than
half of one. What stalls, as where the origin goes away, makes way for the other.
"""

# The share of a version from which on it is finished first: beyond it, what is lost by beginning
# anew is more than the newer version gains.
FINISHED_FIRST = 0.5
# Longer than a chunk takes behind several others on a narrow link.
STALLED_SECONDS = 1.5


class VersionChoice:
    """The version that is being brought, and the one that was set aside for it.

    Attributes:
      version: The one to bring now; None before the first.
    """

    __slots__ = ("version", "_returns", "_set_aside", "_abandoned")

    def __init__(self, returns: bool = True) -> None:
        """Takes whether it goes back to what was set aside where the newer version stalls.

        Those that give weights to others do not: each would wait for what the other has left.
        """
        self.version: int | None = None
        self._returns = returns
        self._set_aside: int | None = None
        self._abandoned = 0.0

    def choose(self, newest: int, share: float, idle: float, complete: bool) -> int:
        """Returns which version to bring now.

        Args:
          newest: The newest version that was named.
          share: The share of the current version that is here.
          idle: The seconds since anything of it came, or since it was begun.
          complete: All of it is here and in use.
        """
        stalled = idle > STALLED_SECONDS
        if self.version is None or complete:
            self.version, self._set_aside, self._abandoned = newest, None, 0.0
        elif self.version == newest:
            may_return = self._returns and self._set_aside is not None
            if stalled and share < 1.0 and may_return:
                self.version, self._set_aside = self._set_aside, newest
        elif stalled or self._abandoned + share < FINISHED_FIRST:
            self._abandoned += share
            # Of a version of which nothing is here, nothing is lost; zero stands for whichever one
            # peers know as the newest, which is no version to go back to.
            if self.version and share > 0.0:
                self._set_aside = self.version
            self.version = newest
        return self.version
