#!/usr/bin/env bash
# Regenerates the committed protobuf code from proto/. Needed only after a change of a schema file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf src/generated/wisteriahoist
protoc --proto_path=proto --cpp_out=src/generated proto/wisteriahoist/v1/*.proto
