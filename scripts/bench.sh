#!/bin/sh
# Runs all benchmark programs of a build directory (default: build), prints their key=value lines and collects them in
# bench.txt there. Fails when a benchmark fails.
set -eu
cd "$(dirname "$0")/.."
build="${1:-build}"
results="$build/bench.txt"
failed=0
: > "$results"

# Runs one command and keeps its key=value lines.
collect()
{
    if output=$("$@"); then
        echo "$output" | grep -E '^[a-z_]+=' | tee -a "$results"
    else
        echo "$output"
        echo "benchmark failed: $*" >&2
        failed=1
    fi
}

# relaybenchmark needs a running daemon; relaybench.py starts it.
for program in $(find "$build/src/benchmarks" -maxdepth 1 -type f -executable ! -name relaybenchmark | sort); do
    collect "$program"
done
if [ -n "$(find "$build/src" -type f -name banyanwalld)" ]; then
    collect scripts/relaybench.py --build "$build"
fi
exit "$failed"
