#!/bin/sh
# Runs all tests through ctest. Tests listed in KNOWN-RED.txt run first; their results are printed but
# do not affect the exit status. A listed test that passes shows as passed, so that its entry can be
# removed.
set -eu
cd "$(dirname "$0")/.."
build="${1:-build}"
known_failing=$(grep -v '^#' KNOWN-RED.txt 2>/dev/null | awk -F' *[|] *' 'NF { print $1 }' | paste -sd'|' -)
if [ -z "$known_failing" ]; then
    exec ctest --test-dir "$build" --output-on-failure --no-tests=error -j 4
fi
echo "known failing tests (KNOWN-RED.txt): $known_failing"
ctest --test-dir "$build" --output-on-failure -R "^($known_failing)\$" || true
exec ctest --test-dir "$build" --output-on-failure --no-tests=error -j 4 -E "^($known_failing)\$"
