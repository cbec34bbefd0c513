"""Human-readable tables."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

COLUMN_SEPARATOR = "  "


def render_table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> Iterator[str]:
    """Return the lines of a table with aligned columns."""
    cells = [[header.upper() for header in headers]]
    cells.extend([render_cell(value) for value in row] for row in rows)
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    for row in cells:
        padded = (text.ljust(width) for text, width in zip(row, widths, strict=True))
        yield COLUMN_SEPARATOR.join(padded).rstrip()


def render_cell(value: object) -> str:
    """Return a value as text, with control characters escaped, as they could move the cursor.

    Parameters
    ----------
    value : object
        Plain data from a response.
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
