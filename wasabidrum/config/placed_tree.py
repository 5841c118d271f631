"""A YAML file as plain values, with the line and column of each."""

import dataclasses

from ..core.finding import Finding
from .problem import KeyPath, Problem

UNKNOWN_PLACE = (0, 0)


@dataclasses.dataclass(slots=True)
class PlacedTree:
    """The values of one file and where they stand.

    Attributes:
      file: The name that findings show.
      values: The file's values as maps, lists and scalars.
      key_places: Line and column of each key, by path; both count from one.
      value_places: Line and column of each value, by path.
    """

    file: str
    values: dict[str, object]
    key_places: dict[KeyPath, tuple[int, int]] = dataclasses.field(default_factory=dict)
    value_places: dict[KeyPath, tuple[int, int]] = dataclasses.field(default_factory=dict)

    def depth_known(self, path: KeyPath) -> int:
        """Returns how many of the path's keys this file states."""
        for length in range(len(path), 0, -1):
            if path[:length] in self.value_places:
                return length
        return 0

    def place(self, problem: Problem) -> Finding:
        """Returns the finding for a problem; a missing key is shown at the map that lacks it."""
        path = problem.path[: self.depth_known(problem.path)]
        places = self.value_places
        # A map's own place is its first key, one line too far down to recognise it by.
        is_map = isinstance(self._value_at(path), dict)
        if path and path in self.key_places and (is_map or problem.at_key):
            places = self.key_places
        line, column = places.get(path, UNKNOWN_PLACE)
        return Finding(self.file, line, column, problem.code, problem.message)

    def subtree(self, path: KeyPath) -> "PlacedTree":
        """Returns the part under some keys as if it were a file of its own."""
        length = len(path)

        def keep(places: dict[KeyPath, tuple[int, int]]) -> dict[KeyPath, tuple[int, int]]:
            return {key[length:]: place for key, place in places.items() if key[:length] == path}

        values = self._value_at(path)
        values = values if isinstance(values, dict) else {}
        return PlacedTree(self.file, values, keep(self.key_places), keep(self.value_places))

    def _value_at(self, path: KeyPath) -> object:
        value: object = self.values
        for part in path:
            value = value[part]
        return value
