"""A fault found in a file, with its location."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One fault. Lines and columns count from one; zero means that the location is unknown."""

    file: str
    line: int
    column: int
    code: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}: {self.code} {self.message}"
