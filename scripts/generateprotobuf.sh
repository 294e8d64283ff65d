#!/bin/sh
# Regenerates the committed protobuf code in src/wire/generated. Run after a change in
# src/wire/proto.
set -eu
cd "$(dirname "$0")/.."
protoc --proto_path=src/wire/proto --cpp_out=src/wire/generated src/wire/proto/*.proto
