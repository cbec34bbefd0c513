#!/usr/bin/env bash
# Checks that the stand-ins of the cases 11 to 15 load with the packages of the deploy file's build.
# They are Python files of this repository and need nothing else; no network is used.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -d target/deps/lavenderhook ]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 1
fi
export PYTHONPATH="target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.rig_3, standins.queues, features.support.queue_processes"
