#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, after the build of the
# deploy file. Needs no package beyond those of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -o target/review-2/World review/standins-2/World.cpp -lpthread
