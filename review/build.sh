#!/usr/bin/env bash
# Checks that the stand-ins of the cases, and the project's own that they use, can be loaded from
# what the build command of deploy/system.toml has put into target/deps; they need no other build.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:review:." PYTHONDONTWRITEBYTECODE=1
python3 -c "import scenario, standins.queues"
