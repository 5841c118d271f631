"""Reads YAML into plain values with their locations, and refuses harmful input.

A file that is truncated, that expands without end through aliases, or that states a key twice is
refused with the line of the fault.
"""

import math

import yaml

from ..core.finding import Finding
from .located_tree import LocatedTree
from .problem import KeyPath

MAX_FILE_BYTES = 4 * 1_048_576
MAX_VALUE_COUNT = 500_000
MAX_NESTING_DEPTH = 32
TAG_PREFIX = "tag:yaml.org,2002:"
PLAIN_TAGS = frozenset(("int", "float", "bool", "null"))


class YamlReader:
    """Converts the nodes of one file to values, and records locations and faults."""

    __slots__ = ("findings", "_file", "_tree", "_constructor", "_count")

    def __init__(self, file: str) -> None:
        self.findings: list[Finding] = []
        self._file = file
        self._tree = LocatedTree(file, {})
        self._constructor = yaml.constructor.SafeConstructor()
        self._count = 0

    def read(self, content: bytes) -> LocatedTree:
        """Reads the content of a file; the values may be used only if there are no findings."""
        if len(content) > MAX_FILE_BYTES:
            message = f"{len(content)} bytes; the most is {MAX_FILE_BYTES}"
            self._report(None, "FILE-TOO-LARGE", message)
            return self._tree
        try:
            root = yaml.compose(content, Loader=yaml.CSafeLoader)
        except yaml.MarkedYAMLError as error:
            detail = " ".join(part for part in (error.context, error.problem) if part)
            self._report(error.problem_mark or error.context_mark, "YAML-BROKEN", detail)
            return self._tree
        except (yaml.YAMLError, UnicodeDecodeError) as error:
            self._report(None, "YAML-BROKEN", str(error).replace("\n", " "))
            return self._tree
        if not isinstance(root, yaml.MappingNode):
            mark = root.start_mark if root is not None else None
            self._report(mark, "NOT-A-MAP", "the file must be a map of keys to values")
            return self._tree
        start = root.start_mark
        self._tree.value_locations[()] = (start.line + 1, start.column + 1)
        self._tree.values = self._read_map(root, ())
        return self._tree

    def _report(self, mark: object, code: str, message: str) -> None:
        line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
        self.findings.append(Finding(self._file, line, column, code, message))

    def _read_value(self, node: yaml.Node, path: KeyPath) -> object:
        mark = node.start_mark
        self._tree.value_locations[path] = (mark.line + 1, mark.column + 1)
        self._count += 1
        # Through aliases of aliases, a small file can expand to billions of values. They would
        # exhaust the memory, and the tool or daemon would be killed. Counting each value where it
        # is used stops the expansion early.
        if self._count == MAX_VALUE_COUNT:
            self._report(mark, "TOO-MANY-VALUES", f"more than {MAX_VALUE_COUNT} values")
        if self._count >= MAX_VALUE_COUNT:
            return None
        if len(path) > MAX_NESTING_DEPTH:
            self._report(mark, "NESTED-TOO-DEEP", f"more than {MAX_NESTING_DEPTH} levels")
            self._count = MAX_VALUE_COUNT
            return None
        if isinstance(node, yaml.MappingNode):
            return self._read_map(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [self._read_value(item, path + (i,)) for i, item in enumerate(node.value)]
        return self._read_scalar(node)

    def _read_map(self, node: yaml.MappingNode, path: KeyPath) -> dict[str, object]:
        values: dict[str, object] = {}
        for key_node, value_node in node.value:
            mark = key_node.start_mark
            if not isinstance(key_node, yaml.ScalarNode) or key_node.tag != TAG_PREFIX + "str":
                shown = getattr(key_node, "value", "")
                shown = shown if isinstance(shown, str) else "a list or map"
                self._report(mark, "KEY-NOT-TEXT", f"the key {shown} is not text; quote it")
                continue
            key = key_node.value
            if key in values:
                first = self._tree.key_locations[path + (key,)]
                self._report(mark, "KEY-TWICE", f"{key} is stated before, at line {first[0]}")
                continue
            self._tree.key_locations[path + (key,)] = (mark.line + 1, mark.column + 1)
            values[key] = self._read_value(value_node, path + (key,))
        return values

    def _read_scalar(self, node: yaml.ScalarNode) -> object:
        kind = node.tag.removeprefix(TAG_PREFIX)
        if kind in ("str", "timestamp"):
            return node.value
        if kind not in PLAIN_TAGS:
            self._report(node.start_mark, "TAG-UNKNOWN", f"the tag {node.tag} is not supported")
            return None
        try:
            value = self._constructor.construct_object(node)
        except (ValueError, yaml.YAMLError):
            self._report(node.start_mark, "YAML-BROKEN", f"this is not a value of type {kind}")
            return None
        if isinstance(value, float) and not math.isfinite(value):
            self._report(node.start_mark, "NUMBER-NOT-FINITE", "the number must be finite")
        return value


def read_yaml(file: str, content: bytes) -> tuple[LocatedTree, list[Finding]]:
    """Reads YAML text.

    Returns:
      The values with their locations, and the faults of the text itself. If there are any, the
      values are incomplete and must not be used.
    """
    reader = YamlReader(file)
    return reader.read(content), reader.findings


def read_yaml_file(path: str) -> tuple[LocatedTree, list[Finding]]:
    """Reads a YAML file; a file that cannot be read gives a finding."""
    try:
        with open(path, "rb") as stream:
            content = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        reason = error.strerror or str(error)
        return LocatedTree(path, {}), [Finding(path, 0, 0, "FILE-UNREADABLE", reason)]
    return read_yaml(path, content)
