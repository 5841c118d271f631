"""The configuration in force at one site, each value with its file, line and column."""

import collections.abc
import dataclasses
import json
import re

from .fleet_files import FleetFiles
from .located_tree import LocatedTree
from .overlay import merge_overlay
from .problem import KeyPath, show_path

PLAIN_KEY = re.compile(r"[A-Za-z_/][A-Za-z0-9_./-]*")
# Words that YAML does not read as text.
SPECIAL_WORDS = frozenset(("null", "true", "false", "yes", "no", "on", "off", "y", "n"))
INDENT = "  "


@dataclasses.dataclass(frozen=True, slots=True)
class RenderedValue:
    """One value that is not a map, with its source as FILE:LINE:COLUMN."""

    path: KeyPath
    value: object
    source: str

    @property
    def name(self) -> str:
        """The path of the value, formatted for operators."""
        return show_path(self.path)


@dataclasses.dataclass(slots=True)
class Rendering:
    """The base with one overlay applied, or the base alone."""

    tree: dict[str, object]
    files: tuple[LocatedTree, ...]

    def values(self) -> collections.abc.Iterator[RenderedValue]:
        """Yields all values in the order of the files; a list counts as one value."""
        yield from self._walk(self.tree, ())

    def lines(self, sources: bool) -> collections.abc.Iterator[str]:
        """Yields the lines of a YAML file, with the sources of values as comments on request."""
        yield from self._lines(self.tree, (), sources)

    def _walk(self, tree: object, path: KeyPath) -> collections.abc.Iterator[RenderedValue]:
        if isinstance(tree, dict) and tree:
            for key, value in tree.items():
                yield from self._walk(value, (*path, key))
        else:
            yield RenderedValue(path, tree, self._source(path))

    def _lines(
        self, tree: dict[str, object], path: KeyPath, sources: bool
    ) -> collections.abc.Iterator[str]:
        for key, value in tree.items():
            start = INDENT * len(path) + show_key(key) + ":"
            if isinstance(value, dict) and value:
                yield start
                yield from self._lines(value, (*path, key), sources)
                continue
            line = f"{start} {json.dumps(value, ensure_ascii=False)}"
            yield f"{line}  # {self._source((*path, key))}" if sources else line

    def _source(self, path: KeyPath) -> str:
        # The overlay comes after the base and takes precedence where both state the complete path.
        known = [file for file in self.files if file.depth_known(path) == len(path)]
        if not known:
            return ""
        line, column = known[-1].value_locations[path]
        return f"{known[-1].file}:{line}:{column}"


def show_key(key: str) -> str:
    """Returns a key as YAML, quoted where necessary."""
    plain = PLAIN_KEY.fullmatch(key) is not None and key.lower() not in SPECIAL_WORDS
    return key if plain else json.dumps(key, ensure_ascii=False)


def render(files: FleetFiles, site: str = "") -> Rendering:
    """Returns the configuration of a site, or of the base alone."""
    overlay = files.overlays.get(site)
    if overlay is None:
        return Rendering(files.base.values, (files.base,))
    tree = merge_overlay(files.base.values, overlay.values)
    return Rendering(tree, (files.base, overlay))
