"""Tables for people."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

GAP = "  "


def render_table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> Iterator[str]:
    """Return the lines of a table with aligned columns."""
    cells = [[header.upper() for header in headers]]
    cells.extend([render_cell(value) for value in row] for row in rows)
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    for row in cells:
        padded = (text.ljust(width) for text, width in zip(row, widths, strict=True))
        yield GAP.join(padded).rstrip()


def render_cell(value: object) -> str:
    """Return the text of one value; control characters, which could move the cursor, are escaped.

    Parameters
    ----------
    value : object
        Plain data from a view.
    """
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, dict):
        return ",".join(f"{name}={render_cell(inner)}" for name, inner in value.items()) or "-"
    if isinstance(value, list | tuple):
        return ",".join(render_cell(inner) for inner in value) or "-"
    text = str(value)
    return text if text.isprintable() else repr(text)[1:-1]
