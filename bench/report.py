"""Percentiles, tables and the description of the machine for benchmark results."""

from __future__ import annotations

import os
import platform
import subprocess
from collections.abc import Mapping, Sequence


def compute_percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile by the nearest-rank method; NaN for no values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    rank = max(1, -(-len(ordered) * percent // 100))
    return ordered[int(rank) - 1]


def describe_machine() -> dict[str, object]:
    """Return the processors, the platform and the measured commit."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
    ).stdout.strip()
    return {
        "processors": os.cpu_count(),
        "python": platform.python_version(),
        "machine": platform.machine(),
        "commit": commit,
    }


def print_table(title: str, rows: Sequence[Mapping[str, object]]) -> None:
    """Print rows of equal keys as an aligned table."""
    print(f"\n{title}")
    if not rows:
        return
    header = list(rows[0])
    cells = [header, *([_format(row[key]) for key in header] for row in rows)]
    widths = [max(len(line[n]) for line in cells) for n in range(len(header))]
    for line in cells:
        print("  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True)))


def _format(value: object) -> str:
    if isinstance(value, float):
        return f"{value:,.3f}" if abs(value) < 100 else f"{value:,.0f}"
    return str(value)
