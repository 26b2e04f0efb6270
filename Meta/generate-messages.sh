#!/usr/bin/env bash
# Regenerates the committed protobuf code from Libraries/*/*.proto.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../Libraries"
protoc --cpp_out=. Lib*/*.proto
