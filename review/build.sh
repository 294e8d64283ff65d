#!/bin/sh
# Checks that Python can compile the stand-ins of the cases. They need nothing beyond its standard library.
set -eu
cd "$(dirname "$0")"
python3 - standin/*.py */play.py <<'EOF'
import sys
assert sys.version_info >= (3, 10), "Python 3.10 or later is needed"
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
EOF
