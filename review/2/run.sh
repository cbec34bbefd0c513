#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays it without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
export PYTHONPATH="target/deps:review:." PYTHONDONTWRITEBYTECODE=1
python3 -c "import scenario" || exit 2
exec python3 "$folder/case.py"
