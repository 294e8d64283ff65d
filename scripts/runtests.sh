#!/bin/sh
# Runs all tests through ctest. Tests listed in KNOWN-RED.txt run and are printed, and do not change the verdict; a listed
# test that passes is reported, so that its entry can be removed.
set -eu
cd "$(dirname "$0")/.."
build="${1:-build}"
known=$(grep -v '^#' KNOWN-RED.txt 2>/dev/null | awk -F' *[|] *' 'NF { print $1 }' | paste -sd'|' -)
if [ -z "$known" ]; then
    exec ctest --test-dir "$build" --output-on-failure --no-tests=error -j 4
fi
echo "known failing tests (KNOWN-RED.txt): $known"
ctest --test-dir "$build" --output-on-failure -R "^($known)\$" || true
exec ctest --test-dir "$build" --output-on-failure --no-tests=error -j 4 -E "^($known)\$"
