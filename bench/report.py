"""The report of a bench: one JSON line of measured values beside their targets."""

import json
import os
import pathlib

import msgspec

OUTPUT_FOLDER = pathlib.Path(__file__).resolve().parent.parent / "out"


class Aim(msgspec.Struct, frozen=True):
    """A measured value and its target: an upper bound, or a lower one with at_least."""

    name: str
    value: float
    unit: str
    aim: float
    baseline: float | None = None
    at_least: bool = False

    @property
    def met(self) -> bool:
        """Whether the value meets its target."""
        return self.value >= self.aim if self.at_least else self.value <= self.aim


def is_quick() -> bool:
    """Returns whether QUICK=1 is set, which selects the short form of a bench."""
    return os.environ.get("QUICK") == "1"


def print_report(bench: str, aims: list[Aim], details: dict[str, object] | None = None) -> None:
    """Prints the last line of a bench and saves it with its details in out/BENCH.json."""
    lines = [msgspec.to_builtins(aim) | {"met": aim.met} for aim in aims]
    for line in lines:
        line.pop("at_least")
    report = {"bench": bench, "aims": lines}
    OUTPUT_FOLDER.mkdir(exist_ok=True)
    whole = report | {"quick": is_quick(), "details": details or {}}
    (OUTPUT_FOLDER / f"{bench}.json").write_text(json.dumps(whole, indent=1), encoding="utf-8")
    print(json.dumps(report), flush=True)
