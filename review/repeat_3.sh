#!/usr/bin/env bash
# Runs a case some times with and once without the disruption: repeat_3.sh FOLDER [TIMES]
cd "$(dirname "$0")/.." || exit 2
output=$(mktemp)
trap 'rm -f "$output"' EXIT
for ((run = 1; run <= ${2:-5}; run++)); do
    "review/$1/run.sh" > "$output" 2>&1
    echo "case $1, run $run: exit status $?; $(tail -n 2 "$output" | head -n 1)"
done
TROUBLE=0 "review/$1/run.sh" > "$output" 2>&1
echo "case $1 with TROUBLE=0: exit status $?; $(tail -n 2 "$output" | head -n 1)"
