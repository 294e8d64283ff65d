#!/bin/sh
# Runs the benchmark programs and prints their key=value lines. Arguments: build directory, then the groups to run
# (flow, request, control, relay; default: all that exist).
set -eu
cd "$(dirname "$0")/.."
build="${1:-build}"
[ $# -gt 0 ] && shift
groups="${*:-control flow request relay}"
for group in $groups; do
    program="$build/src/benchmarks/${group}benchmark"
    [ -x "$program" ] || continue
    echo "# $group"
    "$program"
done
