#!/usr/bin/env bash
# run_case.sh FOLDER PROGRAM: runs a case and writes FOLDER/record.txt.
#
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
set -uo pipefail
ROOT="$(cd "$(dirname "$0")/.." && pwd)"
RECORD="$1/record.txt"
program="$ROOT/target/review/release/$2"
[ -x "$program" ] && [ -x "$ROOT/target/release/honeypulley-edge" ] || exit 2
WORK_DIR="$(mktemp -d)" || exit 2
export ROOT RECORD WORK_DIR

# Ends the daemons that the program has started, by their ids, if it could not end them itself.
clean_up() {
    while read -r pid; do
        if [ "$(readlink "/proc/$pid/exe")" = "$ROOT/target/release/honeypulley-edge" ]; then
            kill -KILL "$pid"
        fi
    done <"$WORK_DIR/pids"
    rm -rf "$WORK_DIR"
} 2>/dev/null
trap clean_up EXIT

timeout --signal=TERM --kill-after=2 112 "$program"
code=$?
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
