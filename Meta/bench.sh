#!/usr/bin/env bash
# Runs one benchmark program by its lower-case name.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
if [ $# -eq 0 ]; then
  for source in Benchmarks/Bench*.cpp; do
    name=${source##*/Bench}
    name=${name%.cpp}
    echo "${name,,}"
  done
  exit 0
fi
for program in Build/Release/Bench*; do
  name=${program##*/Bench}
  if [ "${name,,}" = "${1,,}" ]; then
    shift
    exec "$program" "$@"
  fi
done
echo "no benchmark named $1" >&2
exit 2
