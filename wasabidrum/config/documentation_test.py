"""Tests that docs/CONFIGURATION.md agrees with the types of the settings and fleet files."""

import collections.abc
import json
import pathlib
import re
import unittest

import msgspec
from msgspec import inspect

from ..core.fleet import Fleet
from . import (
    bundle_check,
    fleet_check,
    fleet_files,
    settings_file,
    struct_check,
    tree_check,
    yaml_file,
)
from .settings import Settings
from .struct_check import describe_range

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "CONFIGURATION.md"
CODE_FORM = re.compile(r'"([A-Z]+(?:-[A-Z]+)+)"')
CHECKING_MODULES = (bundle_check, fleet_check, fleet_files, settings_file, struct_check)
CHECKING_MODULES += (tree_check, yaml_file)

# Key, kind of value, default.
Row = tuple[str, str, str]


def list_keys(kind: inspect.Type, path: str) -> collections.abc.Iterator[Row]:
    """Yields a row for every key that a struct type allows, nested ones included."""
    for field in kind.fields:
        key = f"{path}.{field.encode_name}".lstrip(".")
        default = "required" if field.required else show_default(field)
        yield from list_field(field.type, key, default)


def list_field(kind: inspect.Type, key: str, default: str) -> collections.abc.Iterator[Row]:
    """Yields the rows of one field: its own, or those of its keys where it is a struct or map."""
    if isinstance(kind, inspect.UnionType):
        (kind,) = (one for one in kind.types if not isinstance(one, inspect.NoneType))
    if isinstance(kind, inspect.DictType):
        yield from list_field(kind.value_type, key + ".NAME", default)
    elif isinstance(kind, inspect.VarTupleType) and isinstance(kind.item_type, inspect.StructType):
        yield from list_keys(kind.item_type, key + "[]")
    elif isinstance(kind, inspect.StructType):
        yield from list_keys(kind, key)
    else:
        yield key, show_kind(kind), default


def show_kind(kind: inspect.Type) -> str:
    """Returns a description of the allowed values, as the page has it."""
    if isinstance(kind, inspect.VarTupleType):
        return f"list of {show_kind(kind.item_type)}"
    if isinstance(kind, inspect.LiteralType):
        return "one of " + ", ".join(kind.values)
    if isinstance(kind, inspect.StrType):
        return f"text like `{kind.pattern}`" if kind.pattern else "text"
    if isinstance(kind, inspect.BoolType):
        return "true or false"
    name = "whole number" if isinstance(kind, inspect.IntType) else "number"
    return f"{name} {describe_range(kind)}".strip()


def show_default(field: inspect.Field) -> str:
    """Returns a default value, as the page has it."""
    value = field.default
    if value is msgspec.NODEFAULT:
        value = field.default_factory()
    if value is None:
        return "none"
    return f"`{json.dumps(msgspec.to_builtins(value))}`"


def read_rows(heading: str) -> list[Row]:
    """Returns the first three cells of each row of the table under a heading."""
    section = PAGE.read_text(encoding="utf-8").split(f"## {heading}\n")[1].split("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("| `")]
    rows = [[cell.strip() for cell in line.strip("|").split(" | ")] for line in lines]
    return [(row[0].strip("`"), row[1], row[2]) for row in rows]


class DocumentationTest(unittest.TestCase):
    """The page describes every key and code, and no others."""

    maxDiff = None

    def test_every_key_of_the_settings_is_described(self) -> None:
        self.assertEqual(read_rows("Settings"), list(list_keys(inspect.type_info(Settings), "")))

    def test_every_key_of_the_fleet_files_is_described(self) -> None:
        self.assertEqual(read_rows("Fleet files"), list(list_keys(inspect.type_info(Fleet), "")))

    def test_every_code_of_a_finding_is_described(self) -> None:
        codes: set[str] = {"TLS-INVALID"}
        for module in CHECKING_MODULES:
            codes |= set(CODE_FORM.findall(pathlib.Path(module.__file__).read_text()))
        section = PAGE.read_text(encoding="utf-8").split("## Findings\n")[1].split("\n## ")[0]
        described = re.findall(r"^\| `([A-Z-]+)` \|", section, re.MULTILINE)
        self.assertEqual(described, sorted(codes))
