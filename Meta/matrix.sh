#!/usr/bin/env bash
# The fault matrix, whole; arguments as Tests/Matrix/Matrix.cpp describes them.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
exec Build/Release/Matrix --threads "${CAROBHINGE_JOBS:-$(nproc)}" "$@"
