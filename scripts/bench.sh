#!/bin/sh
# Runs the benchmark programs, prints their key=value lines and collects them in bench.txt of the build directory.
# Arguments: build directory, then the groups to run (flow, opening, evidence, directory, request, control, spread, relay, packet, fault;
# default: all that exist). Fails when a benchmark fails.
set -eu
cd "$(dirname "$0")/.."
build="${1:-build}"
[ $# -gt 0 ] && shift
groups="${*:-control spread flow opening evidence directory request relay packet fault}"
results="$build/bench.txt"
failed=0
: > "$results"

# Runs one command and keeps its output.
collect()
{
    if output=$("$@"); then
        echo "$output" | tee -a "$results"
    else
        echo "$output"
        echo "benchmark failed: $*" >&2
        failed=1
    fi
}

for group in $groups; do
    if [ "$group" = fault ]; then
        echo "# $group"
        # Needs a whole system; the script starts it.
        collect scripts/faultbench.py --build "$build"
        continue
    fi
    program="$build/src/benchmarks/${group}benchmark"
    [ -x "$program" ] || program="$build/platform/benchmarks/${group}benchmark"
    [ -x "$program" ] || continue
    echo "# $group"
    if [ "$group" = relay ]; then
        # Needs running relays; the script starts them.
        collect scripts/relaybench.py --build "$build"
    else
        collect "$program"
    fi
done
exit "$failed"
