#!/usr/bin/env bash
# Builds the stand-ins of the cases: compiles them, and the project's own that they use.
# Needs only what the build command of deploy/system.toml has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:review:."
python3 -m compileall -q review/common standins
python3 -c "import common.scenario"
