#!/bin/sh
# The stand-ins are one Python 3 module without dependencies (standins.py) and a script a case: there is nothing to
# compile. This checks that an interpreter is here and reads all of them.
set -eu
cd "$(dirname "$0")"
. ./python.sh
"$PYTHON" - <<'CHECK'
import ast, glob, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in ["standins.py"] + glob.glob("[0-9]/play.py"):
    ast.parse(open(name).read(), name)
print("stand-ins: ready")
CHECK
