"""Run the behave suite and print the result as one line."""

import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Status
from behave.runner import Runner

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"


def read_known_failures():
    """Read the scenario names listed in KNOWN-RED.txt.

    Returns
    -------
    set of str
        Names of the scenarios whose failure is recorded and does not fail the run.
    """
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    prefix = "scenario: "
    return {line.removeprefix(prefix).strip() for line in lines if line.startswith(prefix)}


def collect_scenarios(runner):
    """Return every scenario that the runner selected, in order."""
    scenarios = []
    for feature in runner.features:
        scenarios.extend(feature.walk_scenarios())
    return [s for s in scenarios if s.status not in (Status.untested, Status.skipped)]


def main(arguments):
    """Run behave with the given arguments and return the exit status."""
    sys.path.insert(0, str(ROOT))
    defaults = ["--no-capture", "--no-logcapture", "--format", "progress", "--no-timings"]
    config = Configuration([*defaults, *(arguments or [str(ROOT / "features")])])
    runner = Runner(config)
    runner.run()
    known_failures = read_known_failures()
    scenarios = collect_scenarios(runner)
    failed = [s for s in scenarios if s.status != Status.passed]
    unexpected = [s for s in failed if s.name.strip() not in known_failures]
    for scenario in failed:
        label = "FAILED" if scenario in unexpected else "known red"
        print(f"{label}: {scenario.name} ({scenario.location})")
    passed = len(scenarios) - len(failed)
    print(f"{passed} passed, {len(unexpected)} failed")
    if unexpected or not passed:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
