#!/usr/bin/env bash
# Runs each fuzz target for a bounded number of rounds with a fixed seed, from
# the committed corpus. Finds of a run stay under Build and are not committed.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
RUNS=${CAROBHINGE_FUZZ_RUNS:-20000}
SEED=${CAROBHINGE_FUZZ_SEED:-20261203}
folder=$PWD/Build/Fuzz
targets=(Settings Intent Messages Reports HttpAnswers HttpRequests)

if [ ! -f "$folder/build.ninja" ]; then
  cmake -S . -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE=Sanitize \
    -DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++ \
    -DCMAKE_CXX_FLAGS=-fsanitize=fuzzer-no-link -DCAROBHINGE_FUZZ=ON \
    >"$folder.log" 2>&1 || { cat "$folder.log"; exit 1; }
fi
ninja -C "$folder" -j "${CAROBHINGE_JOBS:-$(nproc)}" --quiet "${targets[@]/#/Fuzz}"

for target in "${targets[@]}"; do
  runs=$RUNS
  # Each run has connections of its own.
  [[ $target == Http* ]] && runs=$(((RUNS + 9) / 10))
  grown=$folder/Grown$target
  rm -rf "$grown"
  mkdir -p "$grown"
  if ! "$folder/Fuzz$target" -runs="$runs" -seed="$SEED" -max_len=8192 \
    -timeout=10 -rss_limit_mb=2048 -artifact_prefix="$grown/" \
    "$grown" "Fuzz/Corpus/$target" >"$folder/$target.log" 2>&1; then
    tail -n 40 "$folder/$target.log"
    echo "fuzz: $target failed, seed=$SEED" >&2
    exit 1
  fi
  echo "fuzz: $target runs=$runs seed=$SEED clean"
done
