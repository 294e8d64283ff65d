#!/bin/sh
# Regenerates the committed protobuf code in src/wire/generated after a change under src/wire/proto.
set -eu
cd "$(dirname "$0")/.."
protoc --proto_path=src/wire/proto --cpp_out=src/wire/generated src/wire/proto/*.proto
