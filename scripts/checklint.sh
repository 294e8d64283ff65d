#!/bin/sh
# Runs clang-tidy in parallel on all sources, with the compile commands of the given build directory
# (default: build). Skips a file when neither the file nor any header, .clang-tidy or CMakeLists.txt
# has changed since clang-tidy last passed on the file. LINT_JOBS sets the number of processes.
set -eu
cd "$(dirname "$0")/.."
build="${1:-build}"
jobs="${LINT_JOBS:-$(nproc)}"
shared_hash=$(find src platform -name '*.h' | sort | xargs cat .clang-tidy CMakeLists.txt | sha256sum | cut -c1-16)
mkdir -p "$build/lint"
export build shared_hash
find src platform -name '*.cpp' | grep -v '/generated/' | sort | xargs -P "$jobs" -I{} sh -c '
    stamp="$build/lint/$(echo "{}" | tr / _)-$shared_hash-$(sha256sum < "{}" | cut -c1-16)"
    [ -e "$stamp" ] && exit 0
    clang-tidy --quiet -p "$build" "{}" 2>/dev/null || exit 1
    touch "$stamp"'
