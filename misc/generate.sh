#!/usr/bin/env bash
# Regenerates the committed protocol code. Run by hand after a change to a
# .proto file; the build itself runs no generator.
# Needs: protobuf-compiler protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "$0")/../protocol"
protoc --cpp_out=. --grpc_out=. \
  --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
protoc --cpp_out=. api.proto
