"""Play seeds: ``python -m soak --seeds 50`` or ``--fresh 5``."""

import argparse
import secrets
import signal
import sys
import time

from .run import play

REGRESSIONS = ()  # seeds that ever failed, each with a line on its cause


def main():
    """Play the seeds and print a line for each."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--fresh", type=int, default=0, help="new seeds, which are printed")
    parser.add_argument("--seconds", type=float, default=8.0, help="of faults in each run")
    options = parser.parse_args()
    seeds = [*REGRESSIONS, *range(options.first, options.first + options.seeds)]
    if options.fresh:
        seeds = [secrets.randbelow(10**9) for _ in range(options.fresh)]
    # Ends the processes of the present run when the soak itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    failed = []
    for seed in seeds:
        begun = time.monotonic()
        violations = play(seed, options.seconds)
        verdict = "broken" if violations else "kept"
        print(f"seed {seed}: {verdict} in {time.monotonic() - begun:.0f} s", flush=True)
        for violation in violations:
            print(f"  {violation}", flush=True)
        if violations:
            failed.append(seed)
    print(f"{len(seeds) - len(failed)} of {len(seeds)} seeds kept all promises; broken: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
