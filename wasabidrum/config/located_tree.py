"""The values of a YAML file, with the line and column of each."""

import dataclasses

from ..core.finding import Finding
from .problem import KeyPath, Problem

UNKNOWN_LOCATION = (0, 0)


@dataclasses.dataclass(slots=True)
class LocatedTree:
    """The values of one file and their locations.

    Attributes:
      file: The name of the file for findings.
      values: The values as nested maps, lists and scalars.
      key_locations: Line and column of each key, by path; both count from one.
      value_locations: Line and column of each value, by path.
    """

    file: str
    values: dict[str, object]
    key_locations: dict[KeyPath, tuple[int, int]] = dataclasses.field(default_factory=dict)
    value_locations: dict[KeyPath, tuple[int, int]] = dataclasses.field(default_factory=dict)

    def depth_known(self, path: KeyPath) -> int:
        """Returns how many of the leading keys of a path this file states."""
        for length in range(len(path), 0, -1):
            if path[:length] in self.value_locations:
                return length
        return 0

    def locate(self, problem: Problem) -> Finding:
        """Returns the finding for a problem; a missing key is located at the map that lacks it."""
        path = problem.path[: self.depth_known(problem.path)]
        locations = self.value_locations
        # The location of a map is its first key, usually a line below the key of the map itself,
        # which is easier to recognise.
        is_map = isinstance(self._value_at(path), dict)
        if path and path in self.key_locations and (is_map or problem.at_key):
            locations = self.key_locations
        line, column = locations.get(path, UNKNOWN_LOCATION)
        return Finding(self.file, line, column, problem.code, problem.message)

    def subtree(self, path: KeyPath) -> "LocatedTree":
        """Returns the subtree at a path as if it were a separate file."""
        length = len(path)

        def keep(locations: dict[KeyPath, tuple[int, int]]) -> dict[KeyPath, tuple[int, int]]:
            return {
                key[length:]: location
                for key, location in locations.items()
                if key[:length] == path
            }

        values = self._value_at(path)
        values = values if isinstance(values, dict) else {}
        return LocatedTree(self.file, values, keep(self.key_locations), keep(self.value_locations))

    def _value_at(self, path: KeyPath) -> object:
        value: object = self.values
        for part in path:
            value = value[part]
        return value
