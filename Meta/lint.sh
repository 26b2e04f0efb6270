#!/usr/bin/env bash
# Formatter and linter in check mode. A source that passed the linter is not
# read again until it, a header or the linter's settings change.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

sources=$(git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.')
# shellcheck disable=SC2086
clang-format --dry-run -Werror $sources

# shellcheck disable=SC2086
python3 Meta/check-coroutines.py $sources

stamps=Build/LintStamps
mkdir -p "$stamps"
# shellcheck disable=SC2086
common=$(cat .clang-tidy Meta/CMake/*.cmake CMakeLists.txt \
  $(git ls-files -co --exclude-standard '*.h') | sha256sum | cut -c1-32)

check() { # check FILE COMMON STAMPS
  local stamp
  stamp=$3/$( { echo "$1 $2"; cat "$1"; } | sha256sum | cut -c1-32)
  [ -f "$stamp" ] && return 0
  if clang-tidy -p Build/Release --quiet "$1" >"$stamp.out" 2>"$stamp.err"; then
    rm -f "$stamp.out" "$stamp.err"
    touch "$stamp"
  else
    cat "$stamp.out"
    grep -v 'warnings generated' "$stamp.err" | head -n 20
    rm -f "$stamp.out" "$stamp.err"
    return 1
  fi
}
export -f check

printf '%s\n' "$sources" | grep '\.cpp$' | grep -v '^Fuzz/' |
  xargs -P "${CAROBHINGE_JOBS:-$(nproc)}" -I{} bash -c 'check "$@"' _ {} "$common" "$stamps"
echo "lint: clean"
