#!/bin/sh
# The stand-ins of the scripts are Python and need no build; this checks that the
# machine's Python can run them.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(glob.glob("standins/*.py") + glob.glob("*/case.py")):
    with open(path) as file:
        compile(file.read(), path, "exec")
END
