"""Generates docs/MEASUREMENTS.md: all figures of the stored reports, then the notes."""

import json
import pathlib
import sys

from .capacity_page import MEASURED_FOLDER

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
PAGE = DOCS / "MEASUREMENTS.md"
NOTES_FOLDER = DOCS / "measurements"
HEADING = ("| bench | figure | aim | baseline | now | |", "|---|---|---|---|---|---|")


def report_lines(report: dict) -> list[str]:
    """Returns a table row for each figure of a report."""
    lines = []
    for aim in report["aims"]:
        baseline = "" if aim["baseline"] is None else f"{aim['baseline']:.4g}"
        verdict = "met" if aim["met"] else "missed"
        cells = (report["bench"], aim["name"], f"{aim['aim']:.4g}", baseline)
        lines.append(
            "| " + " | ".join((*cells, f"{aim['value']:.4g} {aim['unit']}", verdict)) + " |"
        )
    return lines


def render_page() -> str:
    """Returns the text of the page."""
    paths = sorted(MEASURED_FOLDER.glob("*.json"))
    reports = [json.loads(path.read_text(encoding="utf-8")) for path in paths]
    rows = [line for report in reports for line in report_lines(report)]
    missed = [row for row in rows if row.endswith("| missed |")]
    lines = ["# Measurements", ""]
    lines += [
        "Made by `python -m bench.measurements_page`; do not edit. The figures are those of",
        "",
    ]
    lines[-1] = "the reports under docs/measured, each from one run of `make bench-NAME`."
    lines += ["", "## Missed", "", *HEADING, *missed, "", "## All figures", "", *HEADING, *rows]
    for path in sorted(NOTES_FOLDER.glob("*.md")):
        text = path.read_text(encoding="utf-8").strip()
        title = "" if text.startswith("# ") else f"# Measurements: {path.stem}\n\n"
        lines += ["", "#" + (title + text).replace("\n## ", "\n### ")]
    return "\n".join(lines) + "\n"


def main() -> int:
    """Writes the page."""
    PAGE.write_text(render_page(), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
