#!/usr/bin/env bash
# Installs the tools that the checks need, where they are missing.
set -euo pipefail
bin="$(go env GOPATH)/bin"
has() { [ -x "$bin/$1" ] || command -v "$1" >/dev/null; }
has golangci-lint || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
has gofumpt || go install mvdan.cc/gofumpt@v0.12.0
has protoc-gen-go || go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
has protoc-gen-go-grpc || go install google.golang.org/grpc/cmd/protoc-gen-go-grpc@v1.6.2
if ! command -v spin >/dev/null || ! command -v protoc >/dev/null; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq spin protobuf-compiler gcc >/dev/null
fi
