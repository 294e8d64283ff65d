#!/bin/sh
# Runs the benchmark programs, prints their key=value lines and writes these to bench.txt in the
# build directory. Fails when a benchmark fails.
# Arguments: build directory (default: build), then the groups to run (control, spread, flow,
# opening, evidence, directory, request, relay, packet, fault; default: all). A group whose program
# is not built is skipped.
set -eu
cd "$(dirname "$0")/.."
build="${1:-build}"
[ $# -gt 0 ] && shift
groups="${*:-control spread flow opening evidence directory request relay packet fault}"
results="$build/bench.txt"
failed=0
: > "$results"

# Runs one command, prints its output and appends it to the results if the command succeeds.
run_benchmark()
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
        # The script starts the whole system that this benchmark measures.
        run_benchmark scripts/faultbench.py --build "$build"
        continue
    fi
    program="$build/src/benchmarks/${group}benchmark"
    [ -x "$program" ] || program="$build/platform/benchmarks/${group}benchmark"
    [ -x "$program" ] || continue
    echo "# $group"
    if [ "$group" = relay ]; then
        # The script starts the relays that relaybenchmark measures.
        run_benchmark scripts/relaybench.py --build "$build"
    else
        run_benchmark "$program"
    fi
done
exit "$failed"
