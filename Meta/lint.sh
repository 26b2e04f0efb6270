#!/usr/bin/env bash
# Formatter and linter in check mode. A source that passed the linter is not
# read again until it, a header that it includes or the settings change.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

mapfile -t sources < <(git ls-files -co --exclude-standard '*.cpp' '*.h' |
  grep -v '\.pb\.')
clang-format --dry-run -Werror "${sources[@]}"
python3 Meta/check-coroutines.py "${sources[@]}"
python3 Meta/check-argument-order.py "${sources[@]}"

stamps=Build/LintStamps
mkdir -p "$stamps"

check() { # check KEY FILE STAMPS
  local stamp=$3/$1 output
  [ -f "$stamp" ] && return 0
  if output=$(clang-tidy -p Build/Release --quiet "$2" 2>&1); then
    touch "$stamp"
  else
    grep -E 'error|warning: ' <<<"$output" | grep -v 'generated' | head -n 20
    return 1
  fi
}
export -f check

# The fuzz targets are built with other flags and are not in the database.
mapfile -t linted < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$' |
  grep -v '^Fuzz/')
python3 Meta/lint-keys.py "${linted[@]}" |
  xargs -P "${CAROBHINGE_JOBS:-$(nproc)}" -L 1 \
    bash -c 'check "$1" "$2" "$0"' "$stamps"
echo "lint: clean"
