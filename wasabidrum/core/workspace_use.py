"""What an entry tells the other entries of the use of engines by workspace."""

import msgspec

# Rates are sent as whole numbers of this unit: three bytes each up to 6.5 engines.
RATE_UNIT = 1e-4


class WorkspaceUse(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """The recent use of one workspace at one entry, as rates in RATE_UNIT.

    Fields are encoded by position and may only be appended.

    Attributes:
      used: Engine seconds per second that its placed requests take.
      refused: Engine seconds per second of its refused requests, returns not counted.
      returns: Callers per second that were recognised as returning after a refusal.
      early: Of these, the ones that returned earlier than they were told.
    """

    workspace: str
    used: int = 0
    refused: int = 0
    returns: int = 0
    early: int = 0


class UseReport(msgspec.Struct, frozen=True, array_like=True):
    """The use at one entry, of the workspaces with the highest use.

    Attributes:
      host: The instance of the entry.
      run: Identifies the run of its process.
      sequence: Counts the reports of one run.
    """

    host: str
    run: int
    sequence: int
    uses: tuple[WorkspaceUse, ...] = ()
