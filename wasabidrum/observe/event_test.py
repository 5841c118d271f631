"""Checks that docs/EVENTS.md, the event catalogue and the code that logs events agree."""

import ast
import collections
import pathlib
import re
import unittest

from .event import Event

ROOT = pathlib.Path(__file__).resolve().parents[2]
ROW = re.compile(r"^\| (\d{4}) \| `(\w+)` \| ([^|]*) \|", re.MULTILINE)


def read_page() -> tuple[dict[int, str], dict[str, set[str]], set[str]]:
    """Returns names by number, fields by name, and the names listed as not logged yet."""
    page = (ROOT / "docs" / "EVENTS.md").read_text(encoding="utf-8")
    rows = ROW.findall(page)
    names = {int(number): name for number, name, _ in rows}
    facts = {name: set(re.findall(r"`(\w+)`", cell)) for _, name, cell in rows}
    unwritten = page.split("## Not written yet\n")[1] if "## Not written yet\n" in page else ""
    return names, facts, set(re.findall(r"`(\w+)`", unwritten))


def read_code() -> dict[str, set[str]]:
    """Returns the fields that the code passes with each event that it mentions."""
    facts: dict[str, set[str]] = collections.defaultdict(set)
    for path in (ROOT / "wasabidrum").rglob("*.py"):
        if path.name.endswith("_test.py") or path.name in ("event.py", "metrics.py"):
            continue
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if is_event(node):
                facts[node.attr.lower()] |= set()
            if isinstance(node, ast.Call) and node.args and is_event(node.args[0]):
                named = {keyword.arg for keyword in node.keywords if keyword.arg is not None}
                facts[node.args[0].attr.lower()] |= named
    return facts


def is_event(node: ast.AST) -> bool:
    """Returns whether a node is Event.NAME."""
    if not isinstance(node, ast.Attribute) or not isinstance(node.value, ast.Name):
        return False
    return node.value.id == "Event" and node.attr.isupper()


class EventTest(unittest.TestCase):
    """Every logged event and each of its fields is documented for operators."""

    maxDiff = None

    def test_the_catalogue_lists_the_events_of_the_code(self) -> None:
        names, _, _ = read_page()
        self.assertEqual(names, {int(event): event.name.lower() for event in Event})

    def test_every_event_is_logged_or_listed_as_not_logged(self) -> None:
        _, _, unwritten = read_page()
        written = read_code().keys()
        self.assertEqual(unwritten, {event.name.lower() for event in Event} - written)

    def test_every_logged_field_is_documented(self) -> None:
        _, explained, _ = read_page()
        missing = {
            name: facts - explained.get(name, set())
            for name, facts in read_code().items()
            if not facts <= explained.get(name, set())
        }
        self.assertEqual(missing, {})
