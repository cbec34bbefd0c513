#!/usr/bin/env bash
# Runs a case some times with and once without the disruption: repeat_3.sh FOLDER [TIMES]
cd "$(dirname "$0")/.." || exit 2
for ((run = 1; run <= ${2:-5}; run++)); do
    "review/$1/run.sh" > "/tmp/case-$1-$run.txt" 2>&1
    echo "case $1, run $run: exit status $?; $(tail -n 2 "/tmp/case-$1-$run.txt" | head -n 1)"
done
TROUBLE=0 "review/$1/run.sh" > "/tmp/case-$1-0.txt" 2>&1
echo "case $1 with TROUBLE=0: exit status $?; $(tail -n 2 "/tmp/case-$1-0.txt" | head -n 1)"
