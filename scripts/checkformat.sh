#!/bin/sh
# Fails when a source file differs from the output of clang-format.
set -eu
cd "$(dirname "$0")/.."
find src platform -name '*.h' -o -name '*.cpp' | grep -v '/generated/' | sort | xargs clang-format --dry-run --Werror
