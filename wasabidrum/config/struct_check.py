"""Finds every deviation of a tree of values from a struct type, in one pass.

msgspec's own conversion stops at the first fault. It decides whether a tree is accepted; this
check runs where it fails, and on overlays, to report all faults.
"""

import functools
import re
import typing

import msgspec
from msgspec import inspect

from .problem import KeyPath, Problem, show_path

SIMILARITY_CUTOFF = 0.6


class StructCheck:
    """Collects the problems of one tree.

    With partial, the tree is an overlay: keys may be missing, and null removes a key.
    """

    __slots__ = ("problems", "_partial")

    def __init__(self, partial: bool) -> None:
        self.problems: list[Problem] = []
        self._partial = partial

    def check(self, value: object, kind: inspect.Type, path: KeyPath) -> None:
        """Checks one value against its type."""
        if value is None and self._partial and path:
            return
        CHECKS[type(kind)](self, value, kind, path)

    def check_struct(self, value: object, kind: inspect.StructType, path: KeyPath) -> None:
        """Checks a map against a struct: unknown keys, missing keys, then each value."""
        if not isinstance(value, dict):
            self._wrong_type(value, "a map", path)
            return
        fields = {field.encode_name: field for field in kind.fields}
        for key in value:
            if key not in fields:
                self._unknown_key(str(key), list(fields), path)
        for name, field in fields.items():
            if name in value:
                self.check(value[name], field.type, path + (name,))
            elif field.required and not self._partial:
                self._add(path, "KEY-MISSING", f"{show_path(path)} lacks the key {name}")

    def check_map(self, value: object, kind: inspect.DictType, path: KeyPath) -> None:
        """Checks each value of a map with arbitrary keys."""
        if not isinstance(value, dict):
            self._wrong_type(value, "a map", path)
            return
        for key, item in value.items():
            self.check(item, kind.value_type, path + (key,))

    def check_list(self, value: object, kind: inspect.VarTupleType, path: KeyPath) -> None:
        """Checks each item of a list."""
        if not isinstance(value, (list, tuple)):
            self._wrong_type(value, "a list", path)
            return
        for index, item in enumerate(value):
            if item is None:
                self._wrong_type(item, "a value", path + (index,))
            else:
                self.check(item, kind.item_type, path + (index,))

    def check_text(self, value: object, kind: inspect.StrType, path: KeyPath) -> None:
        """Checks a text against its pattern. The message omits the text, which may be a secret."""
        if not isinstance(value, str):
            self._wrong_type(value, "text", path)
        elif kind.pattern is not None and re.search(kind.pattern, value) is None:
            self._add(path, "VALUE-FORM", f"{show_path(path)} must match {kind.pattern}")

    def check_number(self, value: object, kind: inspect.IntType, path: KeyPath) -> None:
        """Checks a number against its range."""
        whole = isinstance(kind, inspect.IntType)
        if isinstance(value, bool) or not isinstance(value, int if whole else (int, float)):
            self._wrong_type(value, "a whole number" if whole else "a number", path)
            return
        too_low = kind.ge is not None and value < kind.ge
        too_low = too_low or (kind.gt is not None and value <= kind.gt)
        too_high = kind.le is not None and value > kind.le
        too_high = too_high or (kind.lt is not None and value >= kind.lt)
        if too_low or too_high:
            message = f"{show_path(path)} is {value}; it must be {describe_range(kind)}"
            self._add(path, "VALUE-RANGE", message)

    def check_flag(self, value: object, kind: inspect.BoolType, path: KeyPath) -> None:
        """Checks that a value is true or false."""
        if not isinstance(value, bool):
            self._wrong_type(value, "true or false", path)

    def check_choice(self, value: object, kind: inspect.Type, path: KeyPath) -> None:
        """Checks that a value is one that an enumeration or a literal allows."""
        allowed = list(kind.values) if isinstance(kind, inspect.LiteralType) else list(kind.cls)
        if value not in allowed:
            message = f"{show_path(path)} must be one of {', '.join(map(str, allowed))}"
            self._add(path, "VALUE-UNKNOWN", message + suggest(str(value), map(str, allowed)))

    def check_union(self, value: object, kind: inspect.UnionType, path: KeyPath) -> None:
        """Checks an optional value; unions of a type with None are the only ones in use."""
        if value is not None:
            (other,) = (one for one in kind.types if not isinstance(one, inspect.NoneType))
            self.check(value, other, path)

    def check_any(self, value: object, kind: inspect.Type, path: KeyPath) -> None:
        """Accepts any value."""

    def _unknown_key(self, key: str, known: list[str], path: KeyPath) -> None:
        message = f"{show_path(path)} has no key {key}" + suggest(key, known)
        self.problems.append(Problem(path + (key,), "KEY-UNKNOWN", message, at_key=True))

    def _wrong_type(self, value: object, wanted: str, path: KeyPath) -> None:
        message = f"{show_path(path)} must be {wanted}, not {describe(value)}"
        self._add(path, "VALUE-TYPE", message)

    def _add(self, path: KeyPath, code: str, message: str) -> None:
        self.problems.append(Problem(path, code, message))


CHECKS: dict[type, typing.Callable] = {
    inspect.StructType: StructCheck.check_struct,
    inspect.DictType: StructCheck.check_map,
    inspect.ListType: StructCheck.check_list,
    inspect.VarTupleType: StructCheck.check_list,
    inspect.StrType: StructCheck.check_text,
    inspect.IntType: StructCheck.check_number,
    inspect.FloatType: StructCheck.check_number,
    inspect.BoolType: StructCheck.check_flag,
    inspect.EnumType: StructCheck.check_choice,
    inspect.LiteralType: StructCheck.check_choice,
    inspect.UnionType: StructCheck.check_union,
    inspect.AnyType: StructCheck.check_any,
}


def suggest(given: str, known: typing.Iterable[str]) -> str:
    """Returns "; did you mean ...?" where a known name is similar, else an empty text."""
    # Imported only here, so that a daemon with valid files does not load it.
    import difflib

    nearest = difflib.get_close_matches(given, list(known), 1, SIMILARITY_CUTOFF)
    return f"; did you mean {nearest[0]}?" if nearest else ""


def describe(value: object) -> str:
    """Returns the kind of a value, without the value itself."""
    names = {dict: "a map", list: "a list", str: "text", bool: "true or false", int: "a number"}
    names |= {float: "a number", type(None): "nothing"}
    return names.get(type(value), type(value).__name__)


def describe_range(kind: inspect.IntType | inspect.FloatType) -> str:
    """Returns the range of a number in words."""
    words = {"ge": "at least", "gt": "more than", "le": "at most", "lt": "less than"}
    bounds = [(words[name], getattr(kind, name)) for name in words]
    return " and ".join(f"{word} {bound}" for word, bound in bounds if bound is not None)


@functools.cache
def describe_type(struct: type) -> inspect.Type:
    """Returns msgspec's description of a struct type."""
    return inspect.type_info(struct)


def check_struct(tree: object, struct: type[msgspec.Struct], partial: bool) -> list[Problem]:
    """Returns every deviation of a tree from a struct type."""
    walk = StructCheck(partial)
    walk.check(tree, describe_type(struct), ())
    return walk.problems
