#!/usr/bin/env bash
# Generates the Go code of the schemas under api/. Needs protoc, protoc-gen-go and protoc-gen-go-grpc.
set -euo pipefail
cd "$(dirname "$0")/.."
for f in api/*/v1/*.proto; do
  protoc -I . --go_out=. --go_opt=paths=source_relative \
    --go-grpc_out=. --go-grpc_opt=paths=source_relative "$f"
done
