"""Run the model checks and print a table: `python -m model [--deep] [--write-traces] [NAME...]`."""

import argparse
import sys
import time

from .calibration import find_checker_errors
from .engine import Report, RuleOrigin, check_specification
from .registry import SPECIFICATIONS, find_specification, find_stale_traces, write_trace


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="python -m model", description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help="specifications (default: all)")
    parser.add_argument("--deep", action="store_true", help="check at the larger bounds")
    parser.add_argument("--write-traces", action="store_true", help="rewrite model/traces")
    parser.add_argument("--trace", metavar="RULE", help="print the trace found without this rule")
    return parser.parse_args(arguments)


def print_report(report: Report) -> None:
    """Print the results of one specification."""
    name = report.specification.name
    print(f"{name}: {report.specification.covers}")
    for result in report.searches:
        exhaustive = "exhaustive" if result.exhaustive else "NOT EXHAUSTIVE"
        print(f"  {result.configuration:<34} {result.states:>9,} states  {exhaustive}")
        for invariant in result.violated_invariants:
            print(f"    VIOLATED {invariant}:")
            for step in result.trace[1:]:
                print(f"      {step['label']}")
        for witness in result.unreached_witnesses:
            print(f"    NEVER REACHED: {witness}")
    refuted_invariants = {r.mutant.invariant for r in report.refutations}
    print(f"  invariants with a refuted mutant: {', '.join(sorted(refuted_invariants))}")
    for refutation in report.refutations:
        mutant = refutation.mutant
        suffix = " (not in design)" if mutant.origin is RuleOrigin.UNSTATED else ""
        print(f"    without {mutant.rule + suffix:<48} refuted in {refutation.length:>2} steps")
    for mutant in report.surviving_mutants:
        print(f"    without {mutant.rule:<48} SURVIVED")
    for invariant in report.untargeted_invariants:
        print(f"    NO MUTANT for {invariant}")
    print(f"  {report.seconds:.1f} s")


def print_trace(report: Report, rule: str) -> None:
    """Print the steps that refute the mutant without a rule."""
    for refutation in report.refutations:
        if refutation.mutant.rule == rule:
            for step in refutation.steps:
                print(f"    {step['label'] or '(initial)'}")


def print_summary(reports: list[Report]) -> None:
    """Print a table with one row per specification; "steps" is the range of trace lengths."""
    headings = ("specification", "invariants", "states", "exhaustive", "mutants refuted", "steps")
    print("\n{:<14} {:>10} {:>10} {:>10} {:>16} {:>8}".format(*headings))
    for report in reports:
        bounds = next(iter(report.specification.list_configurations(False).values()))
        invariants = report.specification(bounds).list_invariants()
        state_count = sum(s.states for s in report.searches)
        exhaustive = "yes" if all(s.exhaustive for s in report.searches) else "NO"
        refuted_count = f"{len(report.refutations)} of {len(report.specification.mutants)}"
        lengths = [r.length for r in report.refutations] or [0]
        trace_lengths = f"{min(lengths)}-{max(lengths)}"
        name = report.specification.name
        row = f"{name:<14} {len(invariants):>10} {state_count:>10,}"
        print(f"{row} {exhaustive:>10} {refuted_count:>16} {trace_lengths:>8}")


def main(arguments: list[str]) -> int:
    """Check the specifications and return the exit status.

    Returns
    -------
    int
        0 when every search is exhaustive, no invariant is violated, every witness is reached and
        every mutant is refuted with the trace stored under `model/traces`; 1 otherwise.
    """
    options = parse_arguments(arguments)
    started_at = time.perf_counter()
    problems = find_checker_errors()
    selected = [find_specification(n) for n in options.names] or SPECIFICATIONS
    reports = []
    for specification in selected:
        report = check_specification(specification, options.deep)
        reports.append(report)
        print_report(report)
        if options.trace:
            print_trace(report, options.trace)
        if options.write_traces:
            for refutation in report.refutations:
                write_trace(refutation)
        problems += [f"stale trace: {name}" for name in find_stale_traces(report.refutations)]
        if not report.passed:
            problems.append(f"{specification.name}: failed")
    print_summary(reports)
    print(f"{time.perf_counter() - started_at:.1f} s in total")
    for problem in problems:
        print(f"FAILED {problem}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
