#!/bin/sh
# Runs clang-tidy on all sources of the given build directory (default: build) in parallel. Files whose content, headers
# and settings did not change since their last clean run are skipped.
set -eu
cd "$(dirname "$0")/.."
build="${1:-build}"
jobs="${LINT_JOBS:-$(nproc)}"
headers=$(find src platform -name '*.h' | sort | xargs cat .clang-tidy CMakeLists.txt | sha256sum | cut -c1-16)
mkdir -p "$build/lint"
export build headers
find src platform -name '*.cpp' | grep -v '/generated/' | sort | xargs -P "$jobs" -I{} sh -c '
    stamp="$build/lint/$(echo "{}" | tr / _)-$headers-$(sha256sum < "{}" | cut -c1-16)"
    [ -e "$stamp" ] && exit 0
    clang-tidy --quiet -p "$build" "{}" 2>/dev/null || exit 1
    touch "$stamp"'
