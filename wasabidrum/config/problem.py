"""A fault in a tree of values, identified by the path of keys to it."""

import dataclasses

KeyPath = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One fault. A finding is a problem with its path resolved to a line of a file.

    Attributes:
      path: The keys and list indices from the root to the fault.
      at_key: Whether the fault is the last key itself and not its value.
    """

    path: KeyPath
    code: str
    message: str
    at_key: bool = False

    def __str__(self) -> str:
        return f"{self.code} {self.message}"


def show_path(path: KeyPath) -> str:
    """Formats a path for operators, such as a.b[2].c."""
    shown = ""
    for part in path:
        if isinstance(part, int):
            shown += f"[{part}]"
        else:
            shown += f".{part}" if shown else part
    return shown or "the file"
