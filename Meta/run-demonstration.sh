#!/usr/bin/env bash
# The demonstration: both example deployments as real processes.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
exec Build/Release/Demonstration "$@"
