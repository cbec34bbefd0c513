"""Run seeds: ``python -m soak --seeds 50`` or ``--fresh 5``."""

import argparse
import secrets
import signal
import sys
import time

from .run import run_seed

REGRESSION_SEEDS = ()  # seeds that failed before, each with its cause


def main():
    """Run the seeds and print a line for each."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument(
        "--fresh", type=int, default=0, help="number of new seeds to run instead; printed"
    )
    parser.add_argument(
        "--seconds", type=float, help="duration of the faults in each run; by size if not given"
    )
    options = parser.parse_args()
    seeds = [*REGRESSION_SEEDS, *range(options.first, options.first + options.seeds)]
    if options.fresh:
        seeds = [secrets.randbelow(10**9) for _ in range(options.fresh)]
    # SystemExit lets the current run stop its processes before the program exits.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    failed = []
    for seed in seeds:
        started_at = time.monotonic()
        violations = run_seed(seed, options.seconds)
        verdict = "violated" if violations else "held"
        print(
            f"seed {seed}: invariants {verdict} in {time.monotonic() - started_at:.0f} s",
            flush=True,
        )
        for violation in violations:
            print(f"  {violation}", flush=True)
        if violations:
            failed.append(seed)
    print(
        f"invariants held in {len(seeds) - len(failed)} of {len(seeds)} seeds; violated in {failed}"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
