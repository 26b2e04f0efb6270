#!/bin/sh
# The stand-ins of the scripts are Python and need no build; this checks that
# they can be read.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import glob
for path in sorted(glob.glob("standins/*.py") + glob.glob("*/case.py")):
    with open(path) as file:
        compile(file.read(), path, "exec")
END
