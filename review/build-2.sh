#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 9 start: byte code of the project's own
# stand-ins and of the classes in rig_2.py, for the packages in target/deps.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/lavenderhook ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
PYTHONPATH="$PWD/target/deps:$PWD" python3 - <<'EOF'
import compileall
import sys

folders = ("standins", "features/support")
if not all(compileall.compile_dir(folder, quiet=1, maxlevels=0) for folder in folders):
    sys.exit(1)
if not compileall.compile_file("review/rig_2.py", quiet=1):
    sys.exit(1)
import review.rig_2  # noqa: F401
EOF
