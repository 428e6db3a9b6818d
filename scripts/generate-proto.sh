#!/usr/bin/env bash
# Regenerates the committed protobuf code after a change to proto/*.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p proto/generated
protoc --proto_path=proto --cpp_out=proto/generated proto/*.proto
