#!/usr/bin/env bash
# Makes the committed protobuf and gRPC sources anew. Needs protobuf-compiler and protobuf-compiler-grpc.
set -euo pipefail
source "$(dirname "$0")/common.sh"
out=$root/proto/generated
mkdir -p "$out"
protoc -I "$root/proto" --cpp_out="$out" --grpc_out="$out" \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" "$root"/proto/*.proto
