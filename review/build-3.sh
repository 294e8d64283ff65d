#!/bin/sh
# The stand-ins of the third review, and those of the second one and of the project that its scripts start, are Python
# programs: nothing is built. Checks that they compile and that the program of the deploy file is there.
cd "$(dirname "$0")/.." || exit 1
python3 - <<'PROGRAM' || exit 1
import glob, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in glob.glob("platform/standin/*.py") + glob.glob("review/standin[23]/*.py") + glob.glob("review/1[1-5]/*.py"):
    compile(pathlib.Path(path).read_text(), path, "exec")
PROGRAM
[ -x target/platform/banyanwall-flowd ] || { echo "build the deploy file first: target/platform/banyanwall-flowd is missing"; exit 1; }
